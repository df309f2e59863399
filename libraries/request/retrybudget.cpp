#include "request/retrybudget.h"

#include <algorithm>

namespace lycheecleat
{

auto withRequest(RetryBudget budget) -> RetryBudget
{
    budget.saved_ = std::min(budget.saved_ + budget.share_, budget.maximumSaved_);
    return budget;
}

auto mayRetry(RetryBudget budget) -> bool
{
    return budget.saved_ >= 1.0;
}

auto withRetry(RetryBudget budget) -> RetryBudget
{
    budget.saved_ -= 1.0;
    return budget;
}

}
