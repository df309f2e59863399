/** Takes one admitted request to a backend server and brings back the whole response. */
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

/** What a caller is told: an answer, or a refusal. */
using ResponseOrRefusal = std::variant<HttpResponse, Refusal>;

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
    /** Called once, when a slot is held and before anything is sent. What it returns ends the request, which is then not sent. */
    std::function<std::optional<ResponseOrRefusal>()> beforeSend_;
    /** Called just before each attempt. The waits for tokens and slots may have taken long, so what allowed the request may no longer hold. */
    std::function<std::optional<Refusal>()> recheck_;
};

/** What became of a request, with the values that its log line shows. */
struct DispatchResult
{
    std::optional<HttpResponse> answer_;
    /** Set when there is no answer. */
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
    /** The zone of this host and its shares, which outlive the dispatcher. */
    Dispatcher(std::string zone, LimitEnforcer *shares);

    [[nodiscard]] auto dispatch(const DispatchRequest &request) -> DispatchResult;

    /** Backend servers that are reported as leaving; they get no new request. */
    auto setLeavingBackends(std::vector<std::string> names) -> void;

    /** Takes over a configuration before the first request of it. */
    auto configure(absl::Time now, const ConfigurationPointer &configuration) -> void;

    /** Backend servers of this host's zone, and those of other zones that were used in the last minute. */
    [[nodiscard]] auto backendsInUse(absl::Time now) const -> std::vector<BackendServer>;

    /** Takes an answer of a backend server's health endpoint. */
    auto reportHealth(absl::Time now, const std::string &backend, const HealthReport &report) -> void;

    /** Requests that ended backend servers, seen here or reported by peers. */
    [[nodiscard]] auto crashRecords(absl::Time now) const -> std::vector<CrashRecord>;
    auto addCrashRecord(absl::Time now, const CrashRecord &record) -> void;

private:
    /** One request on its way. */
    struct RequestState;
    /** Where a slot may be taken. */
    struct RegionChoice
    {
        /** Empty: nearest first. */
        std::string region_;
        /** Shift whose cap counts the request; null when none does. */
        const Shift *shift_ = nullptr;
    };

    [[nodiscard]] auto isSuspect(const DispatchRequest &request) const -> bool;
    [[nodiscard]] auto regionChoices(const RequestState &state) const -> std::vector<RegionChoice>;
    [[nodiscard]] auto acquireSlot(RequestState &state) -> std::optional<SlotGrant>;
    [[nodiscard]] auto acquireSlotIn(RequestState &state, const RegionChoice &choice, const std::vector<std::string> &excluded, absl::Time waitUntil)
        -> std::optional<SlotGrant>;
    [[nodiscard]] auto exclusionsOf(RequestState &state) const -> std::vector<std::string>;
    [[nodiscard]] auto endsBeforeSend(RequestState &state, const SlotGrant &grant) -> bool;
    [[nodiscard]] auto isNoLongerAllowed(RequestState &state, const SlotGrant &grant) -> bool;
    [[nodiscard]] auto send(RequestState &state, const SlotGrant &grant) -> BackendExchange;
    auto note(const RequestState &state, const SlotGrant &grant, const BackendExchange &exchange) -> void;
    [[nodiscard]] auto evaluateExchange(RequestState &state, BackendExchange exchange) -> bool;
    [[nodiscard]] auto takeRetry() -> bool;

    std::string zone_;
    LimitEnforcer *shares_;
    BackendPool connections_;
    mutable absl::Mutex mutex_;
    ConfigurationPointer configuration_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::string> leaving_ ABSL_GUARDED_BY(mutex_);
    BackendHealth health_ ABSL_GUARDED_BY(mutex_);
    /** Last use of backend servers by name. */
    absl::flat_hash_map<std::string, absl::Time> usedAt_ ABSL_GUARDED_BY(mutex_);
    RetryBudget retries_ ABSL_GUARDED_BY(mutex_);
    CrashSuspectTable crashes_ ABSL_GUARDED_BY(mutex_);
};

}
