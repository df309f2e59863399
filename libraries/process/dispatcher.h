/** Takes one admitted request to a backend server and brings back the whole response. */
#pragma once

#include "connection/backendpool.h"
#include "process/sharekeeper.h"
#include "request/refusal.h"
#include "request/retrybudget.h"
#include "version/configuration.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** A request that may run. */
struct DispatchRequest
{
    ConfigurationPointer configuration_;
    const Route *route_ = nullptr;
    std::string requestId_;
    std::string organisation_;
    /** The request without keys. */
    RequestContent content_;
    /** Monotonic time by which the answer is due. */
    absl::Time deadline_;
    /** Whether it may be sent again after it may have reached a backend server. */
    bool repeatable_ = false;
    /** Called once, when a slot is held and before anything is sent. A refusal ends the request as not run. */
    std::function<std::optional<Refusal>()> beforeSend_;
};

/** What became of a request, with the values that its log line shows. */
struct DispatchResult
{
    std::optional<Answer> answer_;
    /** Set when there is no answer. */
    std::optional<Refusal> refusal_;
    /** Backend server of the last attempt. */
    std::string backend_;
    std::string region_;
    /** Backend servers that could be chosen at the last attempt. */
    int candidates_ = 0;
    int attempts_ = 0;
    /** How the last attempt ended. */
    std::string detail_;
};

/** Sends requests over pooled connections and decides on retries. Thread-safe. */
class Dispatcher
{
public:
    explicit Dispatcher(ShareKeeper *shares);

    [[nodiscard]] auto dispatch(const DispatchRequest &request) -> DispatchResult;

    /** Backend servers that are reported as leaving; they get no new request. */
    auto setLeavingBackends(std::vector<std::string> names) -> void;

private:
    [[nodiscard]] auto excludedBackends(const DispatchRequest &request, const Pool &pool, const std::vector<std::string> &tried) const
        -> std::vector<std::string>;
    [[nodiscard]] auto takeRetry() -> bool;

    ShareKeeper *shares_;
    BackendPool connections_;
    mutable absl::Mutex mutex_;
    std::vector<std::string> leaving_ ABSL_GUARDED_BY(mutex_);
    RetryBudget retries_ ABSL_GUARDED_BY(mutex_);
};

}
