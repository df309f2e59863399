#include "request/retrybudget.h"

#include <algorithm>

namespace lycheecleat
{

auto withRequest(RetryBudget budget) -> RetryBudget
{
    return { std::min(budget.saved_ + retryShare, maximumSavedRetries) };
}

auto mayRetry(RetryBudget budget) -> bool
{
    return budget.saved_ >= 1.0;
}

auto withRetry(RetryBudget budget) -> RetryBudget
{
    return { budget.saved_ - 1.0 };
}

}
