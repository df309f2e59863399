/** This host's shares of the retry budgets of the services. */
#pragma once

#include "request/retrybudget.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <string>

namespace lycheecleat
{

/** Retry budgets by service. Thread-safe. */
class RetryBudgets
{
public:
    /** Counts a request for a service, given the budget that a service starts with. */
    auto countRequest(const std::string &service, const RetryBudget &initial) -> void;

    /** Takes one retry of a service that has been counted; false when none is left. */
    [[nodiscard]] auto takeRetry(const std::string &service) -> bool;

private:
    absl::Mutex mutex_;
    absl::flat_hash_map<std::string, RetryBudget> budgets_ ABSL_GUARDED_BY(mutex_);
};

}
