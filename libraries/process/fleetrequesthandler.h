/** Handles callers' requests in a deployment whose backend servers are discovered. */
#pragma once

#include "connection/backendpool.h"
#include "process/backendselector.h"
#include "process/callerserver.h"
#include "process/fleetreport.h"
#include "process/fleetstate.h"
#include "process/hosttable.h"
#include "process/organisationquotas.h"
#include "process/permitexchange.h"
#include "process/reloadablesettings.h"
#include "process/requestobservation.h"
#include "process/retrybudgets.h"
#include "process/returnqueue.h"
#include "process/routedurations.h"
#include "request/backendranking.h"
#include "request/callerprotocol.h"
#include "request/crashsuspecttable.h"
#include "request/plannedstop.h"
#include "request/refusal.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Dependencies of the handler; they must outlive it. */
struct FleetRequestServices
{
    std::string hostName_;
    CallerProtocol protocol_;
    /** The current settings, which a reload may replace. */
    std::function<ReloadableSettings()> settings_;
    FleetState *state_ = nullptr;
    /** Hashes of the hosts among which rate limits of cold servers are split at a monotonic time. */
    std::function<std::vector<std::uint64_t>(absl::Time)> shareHolders_;
    /** The planned stop of the host, if one has begun. */
    std::function<PlannedStop()> plannedStop_ = [] {
        return PlannedStop {};
    };
    std::function<void(const RequestObservation &)> observe_;
    /** The hosts among which quotas are divided; the same pointer as long as they are the same. None if this host holds all of them. */
    std::function<ShareHostsPointer(absl::Time)> shareHosts_ = [](absl::Time) {
        return ShareHostsPointer {};
    };
    /** Asks a holder of a quota to admit a request. Blocks. */
    AskHolderFunction askHolder_ = nullptr;
    /** Asks for a permit for a backend server with a limit; none without an answer by the deadline. Blocks. */
    std::function<std::optional<PermitAnswer>(absl::Time, const PermitQuery &, absl::Time deadline)> askForPermit_ = nullptr;
    /** Budget of message bodies; null for the default of connections to backend servers. */
    ByteBudgetPointer bodyMemory_ = nullptr;
    /** Limit of idle connections to backend servers; 0 for the default of the connection pool. */
    std::size_t maximumIdleConnections_ = 0;
};

/** Handles requests: route, organisation, quota, choice of backend server, sending, and the response. Thread-safe. */
class FleetRequestHandler
{
public:
    explicit FleetRequestHandler(FleetRequestServices services);
    ~FleetRequestHandler();
    FleetRequestHandler(const FleetRequestHandler &) = delete;
    auto operator=(const FleetRequestHandler &) -> FleetRequestHandler & = delete;

    /** Handles one request. Blocks until its response is whole, it is refused, or the caller has disconnected. */
    [[nodiscard]] auto handle(const ReceivedRequest &request) -> CallerResponse;

    /** Ends all waits for backend servers as at the deadlines of their requests, so that the callers get responses before the process ends. */
    auto endWaits() -> void;

    /** Refuses one request, as not run, before it is handled. */
    [[nodiscard]] auto refuseUnhandled(const ReceivedRequest &request, Refusal refusal) -> CallerResponse;

    /** Returns where a request would be sent, without sending it. */
    [[nodiscard]] auto explain(const ExplainRequest &explainRequest) -> RoutingExplanation;

    /** Crash records to send to peers, and those received from peers. */
    [[nodiscard]] auto crashRecords(absl::Time now) const -> std::vector<CrashRecord>;
    auto addCrashRecord(absl::Time now, const CrashRecord &record) -> void;

    /** What is known of backend servers' limits and may be news to peers; and what a peer knows. */
    [[nodiscard]] auto recentLimits(absl::Time now) const -> std::vector<KnownLimit>;
    auto addLimit(const std::string &peer, const KnownLimit &known) -> void;

    /** Issues a permit for a backend server with a limit to a host that knows the given limit. */
    [[nodiscard]] auto issuePermit(absl::Time now, const KnownLimit &known) -> PermitAnswer;

    /** Admits a request of an organisation for another host, within this host's part of its quota. */
    [[nodiscard]] auto admitForPeer(absl::Time now, const std::string &organisation) -> QuotaAnswer;

    /** Counts of admissions between hosts. */
    [[nodiscard]] auto quotaCounts() const -> QuotaCounts;

    /** Closes connections to backend servers that are not needed any more. To be called from time to time. */
    auto cleanUp(absl::Time now) -> void;

    /** Number of idle connections to backend servers. */
    [[nodiscard]] auto idleConnections() const -> std::size_t;

    /** Number of responses whose load report could not be used. */
    [[nodiscard]] auto loadReportsIgnored() const -> std::int64_t;

    /** Number of requests being handled. */
    [[nodiscard]] auto inFlight() const -> int;

    /** Counts of the signals of backend servers and their effects. */
    [[nodiscard]] auto signalCounts() const -> SignalCounts;

private:
    struct RequestState;

    auto admitRequest(RequestState &state) -> std::optional<Refusal>;
    /** Sets the route of a request and the end of its limit. */
    auto findRoute(RequestState &state) const -> std::optional<Refusal>;
    /** Refuses a request that the stop of this host could break off. */
    auto admitDuringStop(RequestState &state, const PlannedStop &stop) const -> std::optional<Refusal>;
    auto authenticate(RequestState &state) -> std::optional<Refusal>;
    auto admitByQuota(RequestState &state) -> std::optional<Refusal>;
    /** Whether a request that may not have run yet has waited for so long since its admission that it needs another one. */
    [[nodiscard]] auto hasExpiredAdmission(const RequestState &state, absl::Time now) const -> bool;
    auto chooseTargetAndCountRequest(RequestState &state) -> void;
    /** Sets the service, and the hash by which its backend servers are ranked for the object. */
    static auto chooseTarget(RequestState &state, const std::string &object) -> void;
    auto send(RequestState &state) -> CallerResponse;
    auto chooseBackend(RequestState &state) -> bool;
    /** Asks for a permit for a backend server. Returns the time after that if the server may be tried again. */
    auto acquirePermit(RequestState &state, const FleetBackend &backend) -> std::optional<absl::Time>;
    /** Waits for a backend server to return if all that remain asked for no requests. Returns whether one was chosen. */
    auto awaitReturn(RequestState &state) -> bool;
    /** Updates when the request's backend servers return. */
    auto updateReturn(RequestState &state) -> void;
    auto recordSignals(const RequestState &state, const HttpResponse &response) -> void;
    /** Logs the marks of backend servers that have ended, once per interval. */
    auto endMarks(absl::Time now) -> void;
    [[nodiscard]] auto selfHash() const -> std::uint64_t;
    [[nodiscard]] auto coldRateLimits(const RequestState &state) const -> ColdRateLimitFunction;
    auto sendAttempt(RequestState &state) -> BackendExchange;
    auto evaluateExchange(RequestState &state, BackendExchange exchange) -> bool;
    auto evaluateResponse(RequestState &state, BackendExchange exchange) -> bool;
    auto maySendAgain(RequestState &state) -> bool;
    auto recordCrash(RequestState &state) -> void;
    static auto fingerprintOf(const RequestState &state) -> std::string;
    auto refuse(RequestState &state, Refusal refusal) -> CallerResponse;
    auto finish(RequestState &state) -> CallerResponse;
    auto log(const RequestState &state, int status, std::string_view reason) -> void;
    auto candidates(const RequestState &state, const FleetView &view) const -> std::vector<WeightedBackend>;
    static auto priorityOf(const RequestState &state) -> int;
    auto isRegionAllowed(const RequestState &state, const std::string &region) const -> bool;

    const FleetRequestServices services_;
    /** Becomes readable by endWaits(). */
    const int endDescriptor_;
    BackendPool pool_;
    BackendSelector selector_;
    ReturnQueue returns_;
    /** Monotonic time in milliseconds. */
    std::atomic<std::int64_t> nextMarkSweep_ = 0;
    OrganisationQuotas quotas_;
    RetryBudgets retries_;
    RouteDurations durations_;
    mutable absl::Mutex mutex_;
    CrashSuspectTable crashes_ ABSL_GUARDED_BY(mutex_);
    std::atomic<int> inFlight_ = 0;
    std::atomic<std::int64_t> loadReportsIgnored_ = 0;
};

}
