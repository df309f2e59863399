#include "process/retrykeeper.h"

namespace lycheecleat
{

RetryKeeper::RetryKeeper(double share, double maximumSaved)
    : initial_ { maximumSaved, share, maximumSaved }
{
}

auto RetryKeeper::countRequest(const std::string &service) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    auto &budget = budgets_.try_emplace(service, initial_).first->second;
    budget = withRequest(budget);
}

auto RetryKeeper::takeRetry(const std::string &service) -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    auto &budget = budgets_.try_emplace(service, initial_).first->second;
    if (!mayRetry(budget)) {
        return false;
    }
    budget = withRetry(budget);
    return true;
}

auto RetryKeeper::savedRetries(const std::string &service) const -> double
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    const auto found = budgets_.find(service);
    return found == budgets_.end() ? initial_.saved_ : found->second.saved_;
}

}
