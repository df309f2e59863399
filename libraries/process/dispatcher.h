/** Sends an admitted request to a backend server, with retries, and returns the whole response. */
#pragma once

#include "connection/backendpool.h"
#include "process/limitenforcer.h"
#include "request/backendhealth.h"
#include "request/crashsuspecttable.h"
#include "request/refusal.h"
#include "request/retrybudget.h"
#include "version/configuration.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace lycheecleat
{

/** Result of a request for its caller. */
using ResponseOrRefusal = std::variant<HttpResponse, Refusal>;

/** An admitted request, and what limits its execution. */
struct DispatchRequest
{
    ConfigurationPointer configuration_;
    const Route *route_ = nullptr;
    std::string requestId_;
    std::string organisation_;
    /** The request without API keys. */
    RequestContent content_;
    /** Monotonic time by which the response is due. */
    absl::Time deadline_;
    /** Whether it may be sent again after it may have reached a backend server. */
    bool repeatable_ = false;
    /** Called once, after a slot has been acquired and before the first attempt. If it returns a result, the request ends with that and is not sent. */
    std::function<std::optional<ResponseOrRefusal>()> beforeSend_;
    /** Called just before each attempt, since the reasons to admit the request may have changed during the waits for tokens and slots. */
    std::function<std::optional<Refusal>()> recheck_;
};

/** Result of a dispatch, with the values for the log line of the request. */
struct DispatchResult
{
    std::optional<HttpResponse> response_;
    /** Set when there is no response. */
    std::optional<Refusal> refusal_;
    /** Backend server of the last attempt. */
    std::string backend_;
    std::string region_;
    /** Shift that moved the request to its region; empty when none did. */
    std::string shift_;
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
    /** The zone of this host, and its rate limits and slots, which must outlive the dispatcher. */
    Dispatcher(std::string zone, LimitEnforcer *limits);

    /**
     * Acquires a slot, sends the request and returns the result. Blocks. A request that isn't repeatable is not sent again once a byte of it may have
     * reached a backend server.
     */
    [[nodiscard]] auto dispatch(const DispatchRequest &request) -> DispatchResult;

    /** Sets the backend servers that are reported as leaving; they get no new requests. */
    auto setLeavingBackends(std::vector<std::string> names) -> void;

    /** Applies a configuration if its revision is newer than the current one. dispatch() does this itself for the configuration of its request. */
    auto configure(absl::Time now, const ConfigurationPointer &configuration) -> void;

    /** Backend servers of this host's zone, and those of other zones that were sent a request in the last minute. */
    [[nodiscard]] auto backendsInUse(absl::Time now) const -> std::vector<BackendServer>;

    /** Applies a report of a backend server's health endpoint. */
    auto reportHealth(absl::Time now, const std::string &backend, const HealthReport &report) -> void;

    /** Requests during which backend servers crashed, as observed here or reported by peers. */
    [[nodiscard]] auto crashRecords(absl::Time now) const -> std::vector<CrashRecord>;
    auto addCrashRecord(absl::Time now, const CrashRecord &record) -> void;

private:
    /** State of one request during its dispatch. */
    struct RequestState;
    /** A region to acquire a slot in. */
    struct RegionChoice
    {
        /** Empty for any region, nearest first. */
        std::string region_;
        /** Shift whose cap applies to the request; null when none does. */
        const Shift *shift_ = nullptr;
    };

    [[nodiscard]] auto isSuspect(const DispatchRequest &request) const -> bool;
    [[nodiscard]] auto regionChoices(const RequestState &state) const -> std::vector<RegionChoice>;
    [[nodiscard]] auto acquireSlot(RequestState &state) -> std::optional<SlotGrant>;
    [[nodiscard]] auto acquireSlotIn(RequestState &state, const RegionChoice &choice, const std::vector<std::string> &excluded, absl::Time waitUntil)
        -> std::optional<SlotGrant>;
    [[nodiscard]] static auto isTokenOld(const RequestState &state) -> bool;
    [[nodiscard]] auto exclusionsOf(RequestState &state) const -> std::vector<std::string>;
    [[nodiscard]] auto endsBeforeSend(RequestState &state, const SlotGrant &grant) -> bool;
    [[nodiscard]] auto isNoLongerAllowed(RequestState &state, const SlotGrant &grant) -> bool;
    [[nodiscard]] auto send(RequestState &state, const SlotGrant &grant) -> BackendExchange;
    auto recordExchange(const RequestState &state, const SlotGrant &grant, const BackendExchange &exchange) -> void;
    [[nodiscard]] auto evaluateExchange(RequestState &state, BackendExchange exchange) -> bool;
    [[nodiscard]] auto takeRetry() -> bool;

    std::string zone_;
    LimitEnforcer *limits_;
    BackendPool connections_;
    mutable absl::Mutex mutex_;
    ConfigurationPointer configuration_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::string> leaving_ ABSL_GUARDED_BY(mutex_);
    BackendHealth health_ ABSL_GUARDED_BY(mutex_);
    /** Time of the last request to each backend server, by name. */
    absl::flat_hash_map<std::string, absl::Time> usedAt_ ABSL_GUARDED_BY(mutex_);
    RetryBudget retries_ ABSL_GUARDED_BY(mutex_);
    CrashSuspectTable crashes_ ABSL_GUARDED_BY(mutex_);
};

}
