#include "request/retrybudget.h"

#include <algorithm>

namespace lycheecleat
{

auto withRequest(RetryBudget budget) -> RetryBudget
{
    budget.tokens_ = std::min(budget.tokens_ + budget.ratio_, budget.maximumTokens_);
    return budget;
}

auto mayRetry(RetryBudget budget) -> bool
{
    return budget.tokens_ >= 1.0;
}

auto withRetry(RetryBudget budget) -> RetryBudget
{
    budget.tokens_ -= 1.0;
    return budget;
}

}
