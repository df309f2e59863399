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
class RetryKeeper
{
public:
    /** Retries for each request, and how many may be saved up on this host. */
    RetryKeeper(double share, double maximumSaved);

    /** Counts a request for a service. */
    auto countRequest(const std::string &service) -> void;

    /** Takes one retry; false when none is left. */
    [[nodiscard]] auto takeRetry(const std::string &service) -> bool;

    /** Retries saved up, for metrics. */
    [[nodiscard]] auto savedRetries(const std::string &service) const -> double;

private:
    const RetryBudget initial_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<std::string, RetryBudget> budgets_ ABSL_GUARDED_BY(mutex_);
};

}
