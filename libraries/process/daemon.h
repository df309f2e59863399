/** One daemon: all parts of the process, wired together, with start and graceful stop. */
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

/** Settings with the content of the files they name. */
struct DaemonSettings
{
    Settings settings_;
    std::string secret_;
    /** Empty when there is none. */
    std::string operatorKey_;
};

/** Reads the files that settings name. Errors: a file cannot be read or is empty. */
[[nodiscard]] auto readDaemonSettings(const Settings &settings) -> Result<DaemonSettings>;

/** What decides whether a host that has just started may serve callers. */
struct StartupSnapshot
{
    /** Revision in force; 0 when none is. */
    std::int64_t revision_ = 0;
    std::int64_t highestPeerRevision_ = 0;
    bool receivedAllPeerStates_ = false;
    /** Time since the first revision was put in force. */
    absl::Duration sinceFirstRevision_;
};

/** Whether a host that has just started may serve callers. It waits a short time for its peers, which may know a newer revision than the store. */
[[nodiscard]] auto canStartServing(const StartupSnapshot &snapshot) -> bool;

/** Runs one daemon in this process. */
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /** Starts everything but the caller server, which starts as soon as a configuration is in force. Errors: an address cannot be used. */
    [[nodiscard]] auto start() -> Result<void>;

    /** Leaves: tells peers, serves for the lookup lifetime, then finishes the requests in flight and ends. Blocks until all is done. */
    auto stop() -> void;

    /** Whether callers are served. */
    [[nodiscard]] auto isReady() const -> bool;

    /** Whether the caller server could not start. */
    [[nodiscard]] auto hasFailed() const -> bool;

    /** What this daemon reports about itself. Not to be called during start and stop. */
    [[nodiscard]] auto snapshot() -> DaemonSnapshot;

private:
    auto ownState() const -> peer::HostState;
    auto handlePeerState(const PeerUpdate &news) -> void;
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
    /** Set once, before leaving_. */
    absl::Time leavingAt_ = absl::InfiniteFuture();
    std::atomic<bool> ready_ = false;
    std::atomic<bool> failed_ = false;
    std::atomic<bool> stopping_ = false;
    /** No request is in flight any more. */
    std::atomic<bool> stopped_ = false;
    CurrentConfiguration configuration_;
    FreshnessTracker knowledge_;
    PeerClients peers_;
    StoreClient store_;
    LimitEnforcer shares_;
    RequestHandler requests_;
    Membership membership_;
    ConfigurationWatcher configurationWatcher_;
    LookupHandler lookups_;
    PeerServer peerServer_;
    CallerServer callers_;
    HealthPoller healthPoller_;
    AdministrationServer administration_;
    std::thread startupThread_;
    std::thread slotReturnThread_;
};

}
