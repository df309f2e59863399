#include "process/retrybudgets.h"

namespace lycheecleat
{

auto RetryBudgets::countRequest(const std::string &service, const RetryBudget &initial) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    auto &budget = budgets_.try_emplace(service, initial).first->second;
    // The settings may have changed since the budget was created.
    budget = withRequest({ budget.tokens_, initial.ratio_, initial.maximumTokens_ });
}

auto RetryBudgets::takeRetry(const std::string &service) -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    const auto found = budgets_.find(service);
    if (found == budgets_.end() || !mayRetry(found->second)) {
        return false;
    }
    found->second = withRetry(found->second);
    return true;
}

}
