/** The daemon: owns and connects the components of one entry host, with start and graceful stop. */
#pragma once

#include "connection/peerclients.h"
#include "connection/storeclient.h"
#include "process/administrationserver.h"
#include "process/callerserver.h"
#include "process/configurationwatcher.h"
#include "process/currentconfiguration.h"
#include "process/daemonreport.h"
#include "process/freshnesstracker.h"
#include "process/healthpoller.h"
#include "process/limitenforcer.h"
#include "process/lookuphandler.h"
#include "process/membership.h"
#include "process/metrics.h"
#include "process/peerserver.h"
#include "process/processortime.h"
#include "process/requesthandler.h"
#include "process/settings.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace lycheecleat
{

/** Settings and the content of the files that they name. */
struct DaemonSettings
{
    Settings settings_;
    std::string secret_;
    /** Empty when no operator key is set. */
    std::string operatorKey_;
};

/** Reads the files that settings name. Errors: a file cannot be read or is empty. */
[[nodiscard]] auto readDaemonSettings(const Settings &settings) -> Result<DaemonSettings>;

/** The state from which a host that has just started decides whether to serve callers. */
struct StartupSnapshot
{
    /** Current configuration revision; 0 when there is none. */
    std::int64_t revision_ = 0;
    std::int64_t highestPeerRevision_ = 0;
    bool receivedAllPeerStates_ = false;
    /** Time since this process activated its first revision. */
    absl::Duration sinceFirstRevision_;
};

/** Whether a host that has just started may serve callers. It waits for its peers for a bounded time, since they may hold a newer revision than the store. */
[[nodiscard]] auto canStartServing(const StartupSnapshot &snapshot) -> bool;

/** The daemon of one entry host. */
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /**
     * Starts everything but the caller server, which starts as soon as canStartServing holds. Errors: the peer or administration address cannot be used;
     * a failure of the caller server is reported by hasFailed.
     */
    [[nodiscard]] auto start() -> Result<void>;

    /** Stops gracefully: announces to peers that this host is leaving, serves for the lookup lifetime, finishes the requests in flight, then stops. Blocks. */
    auto stop() -> void;

    /** Whether callers are served. */
    [[nodiscard]] auto isReady() const -> bool;

    /** Whether the caller server could not start. */
    [[nodiscard]] auto hasFailed() const -> bool;

    /** The state that status and metrics report. Must not be called during start and stop. */
    [[nodiscard]] auto snapshot() -> DaemonSnapshot;

private:
    auto ownState() const -> peer::HostState;
    auto handlePeerState(const PeerUpdate &update) -> void;
    auto prepareConfiguration(const ConfigurationPointer &next) -> void;
    auto returnIdleSlots() -> void;
    auto startServingWhenReady() -> void;
    auto administrationServices() -> AdministrationServerServices;
    auto startupSnapshot(absl::Time firstRevisionAt) const -> StartupSnapshot;
    auto leave() -> void;

    DaemonSettings settings_;
    std::string run_;
    Metrics metrics_;
    ProcessorTimeMeter controlPlaneTime_;
    std::atomic<bool> leaving_ = false;
    /** Set once, before leaving_ becomes true. */
    absl::Time leavingAt_ = absl::InfiniteFuture();
    std::atomic<bool> ready_ = false;
    std::atomic<bool> failed_ = false;
    std::atomic<bool> stopping_ = false;
    /** Set once no request is in flight any more. */
    std::atomic<bool> stopped_ = false;
    CurrentConfiguration configuration_;
    FreshnessTracker freshness_;
    PeerClients peers_;
    StoreClient store_;
    LimitEnforcer limits_;
    RequestHandler requestHandler_;
    Membership membership_;
    ConfigurationWatcher configurationWatcher_;
    LookupHandler lookupHandler_;
    PeerServer peerServer_;
    CallerServer callerServer_;
    HealthPoller healthPoller_;
    AdministrationServer administrationServer_;
    std::thread startupThread_;
    std::thread slotReturnThread_;
};

}
