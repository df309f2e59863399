/** The daemon of an entry host in a deployment whose hosts and backend servers are discovered. */
#pragma once

#include "process/callerserver.h"
#include "process/fleetrequesthandler.h"
#include "process/fleetstate.h"
#include "process/hostgossip.h"
#include "process/metrics.h"
#include "process/peerserver.h"
#include "process/permitexchange.h"
#include "process/quotaexchange.h"
#include "process/recordreplicator.h"
#include "process/recordstore.h"
#include "process/reloadablesettings.h"
#include "request/callerprotocol.h"
#include "request/plannedstop.h"

#include <absl/synchronization/notification.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lycheecleat
{

/** Settings of a daemon. An address consists of an IP address and a port. */
struct FleetDaemonSettings
{
    std::string name_;
    std::string zone_;
    ZoneRegions zones_;
    /** Address for callers' requests. */
    std::string callerAddress_;
    /** Address for readiness checks. */
    std::string readyAddress_;
    /** Address for lookups. */
    std::string lookupAddress_;
    /** Address for Thrift calls from other hosts. */
    std::string peerAddress_;
    /** Address for heartbeats over UDP. */
    std::string gossipAddress_;
    /** Thrift and heartbeat addresses of hosts through which this host discovers the others. */
    std::vector<std::string> peerSeeds_;
    std::vector<std::string> gossipSeeds_;
    /** Address for metrics, status and routing explanations; empty when they are not served. */
    std::string metricsAddress_;
    ReloadableSettings reloadable_;
    /** Processor time available to the host, in thousandths of a core; 0 if unknown. */
    int processorMillis_ = 0;
    /** Memory that the process may use, in bytes; 0 if unknown. */
    std::size_t memory_ = 0;
    /** Limit of requests served concurrently. */
    int maximumRequests_ = 256;
    std::size_t maximumConnections_ = 2000;
    /** Limit of idle connections to backend servers; 0 for the default of the connection pool. */
    std::size_t maximumIdleConnections_ = 0;

    auto operator==(const FleetDaemonSettings &other) const -> bool = default;
};

/** Functions through which an adapter connects the daemon to a platform. */
struct FleetAdapter
{
    RecordStore store_;
    RecordDecoders decoders_;
    CallerProtocol protocol_;
};

/** Runs one daemon in this process. */
class FleetDaemon
{
public:
    FleetDaemon(FleetDaemonSettings settings, FleetAdapter adapter);
    ~FleetDaemon();
    FleetDaemon(const FleetDaemon &) = delete;
    auto operator=(const FleetDaemon &) -> FleetDaemon & = delete;

    /** Starts all components. Errors: an address cannot be used. */
    [[nodiscard]] auto start() -> Result<void>;

    /** Applies changed reloadable settings. Errors: another setting differs, which requires a restart; nothing changes then. */
    [[nodiscard]] auto reload(const FleetDaemonSettings &settings) -> Result<void>;

    /**
     * Shuts down gracefully within the stop grace: announces that this host leaves, so that lookups no longer name it, removes its registration, keeps
     * serving new requests for a part of the grace, then refuses them and waits for requests in flight. Blocks until this is done.
     */
    auto stop() -> void;

private:
    auto response(const ReceivedRequest &request) -> CallerResponse;
    auto reloadableSettings() const -> ReloadableSettings;
    auto metricsResponse() const -> CallerResponse;
    /** Serves metrics, status and routing explanations to operators. */
    auto operatorResponse(const ReceivedRequest &request) -> CallerResponse;
    auto collectSnapshot() const -> FleetDaemonSnapshot;
    auto readinessResponse() const -> CallerResponse;
    auto lookupResponse(const ReceivedRequest &request) -> CallerResponse;
    auto plannedStop() const -> PlannedStop;
    auto isReady() const -> bool;
    auto stage() const -> HostStage;
    auto callerLimits() const -> CallerLimits;

    const FleetDaemonSettings settings_;
    mutable absl::Mutex reloadableMutex_;
    ReloadableSettings reloadable_ ABSL_GUARDED_BY(reloadableMutex_);
    Metrics metrics_;
    const FleetAdapter adapter_;
    const fleet::HostIdentity identity_;
    std::atomic<bool> isLeaving_ = false;
    mutable absl::Mutex plannedStopMutex_;
    PlannedStop plannedStop_ ABSL_GUARDED_BY(plannedStopMutex_);
    const ByteBudgetPointer bodyMemory_;
    FleetState state_;
    PermitExchange permits_;
    QuotaExchange quotas_;
    FleetRequestHandler requestHandler_;
    std::unique_ptr<RecordReplicator> replicator_;
    std::unique_ptr<HostGossip> gossip_;
    PeerServer peerServer_;
    CallerServer callerServer_;
    absl::Notification housekeepingEnd_;
    std::thread housekeepingThread_;
};

}
