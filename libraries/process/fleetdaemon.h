/** The daemon of an entry host in a deployment whose hosts and backend servers are discovered. */
#pragma once

#include "process/callerserver.h"
#include "process/fleetrequesthandler.h"
#include "process/fleetstate.h"
#include "process/hostgossip.h"
#include "process/metrics.h"
#include "process/peerserver.h"
#include "process/recordreplicator.h"
#include "process/recordstore.h"
#include "process/reloadablesettings.h"
#include "request/callerprotocol.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Settings of a daemon. Addresses are an IP address and a port. */
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
    /** Address for Thrift calls of other hosts. */
    std::string peerAddress_;
    /** Address for heartbeats by UDP. */
    std::string gossipAddress_;
    /** Addresses for Thrift calls and for heartbeats of hosts that may know others. */
    std::vector<std::string> peerSeeds_;
    std::vector<std::string> gossipSeeds_;
    /** Address for metrics, status and explanations; empty when they are not served. */
    std::string metricsAddress_;
    ReloadableSettings reloadable_;
    /** Processor time that the host has, in thousandths of a core; 0 when it is not known. */
    int processorMillis_ = 0;
    /** Memory that the process may use, in bytes; 0 when it is not known. */
    std::size_t memory_ = 0;
    /** Requests served at once. */
    int maximumRequests_ = 256;
    std::size_t maximumConnections_ = 2000;

    auto operator==(const FleetDaemonSettings &other) const -> bool = default;
};

/** What an adapter provides. */
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

    /** Starts all parts. Errors: an address cannot be used. */
    [[nodiscard]] auto start() -> Result<void>;

    /**
     * Takes over changed terms. Errors: something else has changed, which only a restart can take over; nothing changes then.
     */
    [[nodiscard]] auto reload(const FleetDaemonSettings &settings) -> Result<void>;

    /** Leaves: peers and lookups stop naming this host, requests that come are served for a while, those in flight end. Blocks until then. */
    auto stop() -> void;

private:
    auto answer(const ReceivedRequest &request) -> CallerResponse;
    auto reloadableSettings() const -> ReloadableSettings;
    auto answerMetrics() const -> CallerResponse;
    /** Metrics, status and explanations for operators. */
    auto answerOperator(const ReceivedRequest &request) -> CallerResponse;
    auto collectSnapshot() const -> FleetDaemonSnapshot;
    auto answerReady() const -> CallerResponse;
    auto answerLookup(const ReceivedRequest &request) -> CallerResponse;
    auto isReady() const -> bool;
    auto stage() const -> HostStage;
    auto callerTimeouts() const -> CallerTimeouts;

    const FleetDaemonSettings settings_;
    mutable absl::Mutex reloadableMutex_;
    ReloadableSettings reloadable_ ABSL_GUARDED_BY(reloadableMutex_);
    Metrics metrics_;
    const FleetAdapter adapter_;
    const fleet::HostIdentity identity_;
    std::atomic<bool> isLeaving_ = false;
    /** New requests are refused. */
    std::atomic<bool> isStopping_ = false;
    FleetState state_;
    FleetRequestHandler requests_;
    std::unique_ptr<RecordReplicator> replicator_;
    std::unique_ptr<HostGossip> gossip_;
    PeerServer peerServer_;
    CallerServer callers_;
};

}
