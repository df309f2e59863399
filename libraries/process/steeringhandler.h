/** Serves callers' requests in a deployment whose backend servers are discovered. */
#pragma once

#include "connection/backendpool.h"
#include "process/backendconditions.h"
#include "process/callerserver.h"
#include "process/fleetreport.h"
#include "process/fleetstate.h"
#include "process/fleetterms.h"
#include "process/hosttable.h"
#include "process/quotakeeper.h"
#include "process/requestobservation.h"
#include "process/retrykeeper.h"
#include "request/backendranking.h"
#include "request/callerprotocol.h"
#include "request/crashguard.h"
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

/** The parts of the process that requests need; all outlive the handler. */
struct SteeringServices
{
    std::string hostName_;
    CallerProtocol protocol_;
    /** The terms in force, which a change of the settings may replace. */
    std::function<FleetTerms()> terms_;
    FleetState *state_ = nullptr;
    /** Hashes of the hosts among which shares are split. */
    std::function<std::vector<std::uint64_t>(absl::Time)> shareHolders_;
    std::function<bool()> isStopping_;
    std::function<void(const RequestObservation &)> observe_;
    /** Memory that the process may use, in bytes; 0 when it is not known. */
    std::size_t memory_ = 0;
};

/** Handles requests: route, organisation, quota, choice of backend server, sending, and the answer. Thread-safe. */
class SteeringHandler
{
public:
    explicit SteeringHandler(SteeringServices services);

    /** Serves one request. */
    [[nodiscard]] auto handle(const ReceivedRequest &request) -> CallerResponse;

    /** Refuses one request, as not run, because this host serves too many. */
    [[nodiscard]] auto refuseOverloaded(const ReceivedRequest &request) -> CallerResponse;

    /** Says where a request would go, without sending it. */
    [[nodiscard]] auto explain(const SteeringQuestion &question) -> SteeringExplanation;

    /** Crash records to tell peers, and those heard from them. */
    [[nodiscard]] auto crashes(absl::Time now) const -> std::vector<CrashRecord>;
    auto addCrash(absl::Time now, const CrashRecord &record) -> void;

    /** Requests being served. */
    [[nodiscard]] auto inFlight() const -> int;

private:
    struct Run;

    auto admitRun(Run &run) -> std::optional<Refusal>;
    auto identify(Run &run) -> std::optional<Refusal>;
    auto chooseService(Run &run) -> void;
    /** The service and the place of the object in its rankings. */
    static auto chooseTarget(Run &run, const std::string &object) -> void;
    auto send(Run &run) -> CallerResponse;
    auto chooseBackend(Run &run) -> bool;
    auto exchangeOnce(Run &run) -> BackendExchange;
    auto settle(Run &run, BackendExchange exchange) -> bool;
    auto settleWhole(Run &run, Answer answer) -> bool;
    auto maySendAgain(Run &run) -> bool;
    auto noteCrash(Run &run) -> void;
    static auto fingerprintOf(const Run &run) -> std::string;
    auto refuse(Run &run, Refusal refusal) -> CallerResponse;
    auto finish(Run &run) -> CallerResponse;
    auto log(const Run &run, int status, std::string_view reason) -> void;
    auto candidates(const Run &run, const FleetView &view) const -> std::vector<WeightedBackend>;
    static auto priorityOf(const Run &run) -> int;
    auto allowedRegions(const Run &run, const std::string &region) const -> bool;

    const SteeringServices services_;
    BackendPool pool_;
    BackendConditions conditions_;
    QuotaKeeper quotas_;
    RetryKeeper retries_;
    mutable absl::Mutex mutex_;
    CrashGuard crashes_ ABSL_GUARDED_BY(mutex_);
    std::atomic<int> inFlight_ = 0;
};

}
