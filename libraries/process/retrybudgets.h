/** This host's shares of the retry budgets of all services. */
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
    /** Counts a request, which adds to its service's budget. A new service starts with the given budget; for others, the ratio and maximum are updated. */
    auto countRequest(const std::string &service, const RetryBudget &initial) -> void;

    /** Takes one retry from the budget of a service; false when none is left, or when no request of the service was counted. */
    [[nodiscard]] auto takeRetry(const std::string &service) -> bool;

private:
    absl::Mutex mutex_;
    absl::flat_hash_map<std::string, RetryBudget> budgets_ ABSL_GUARDED_BY(mutex_);
};

}
