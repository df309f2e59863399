#include "process/daemon.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "process/peerhandler.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto runIdBytes = 8;

/** How long a starting host waits for the state of every peer, counted from its first revision. */
constexpr auto peerStateTimeout = absl::Seconds(1);

/** How long a starting host waits to fetch a newer revision that a peer has announced, counted from its first revision. */
constexpr auto newerRevisionTimeout = absl::Seconds(5);

/** Time between two checks for idle borrowed slots to return; half the time for which a slot must be idle. */
constexpr auto slotReturnInterval = absl::Milliseconds(20);

constexpr auto pollInterval = absl::Milliseconds(10);

/** Time until every reachable peer has received the announcement that this host is leaving. */
constexpr auto leavingPropagationTime = exchangeTimeout;

/** Longest wait for the end of requests that peers forwarded to this host. */
constexpr auto forwardedRequestsTimeout = absl::Seconds(60);

auto callerSettings(const Settings &settings) -> CallerServerSettings
{
    auto callers = CallerServerSettings {};
    callers.address_ = settings.listen_;
    callers.maximumRequests_ = settings.threads_;
    return callers;
}

auto ageMicros(absl::Duration age) -> std::int64_t
{
    return age == absl::InfiniteDuration() ? -1 : std::max<std::int64_t>(0, absl::ToInt64Microseconds(age));
}

auto logEvent(LogLevel level, const char *event, const std::vector<LogField> &fields) -> void
{
    logLine(wallNow(), level, event, fields);
}

}

auto readDaemonSettings(const Settings &settings) -> Result<DaemonSettings>
{
    BOOST_LEAF_AUTO(secret, readSecret(settings.secretFile_));
    auto read = DaemonSettings { settings, std::move(secret), {} };
    if (!settings.operatorKeyFile_.empty()) {
        BOOST_LEAF_ASSIGN(read.operatorKey_, readSecret(settings.operatorKeyFile_));
    }
    return read;
}

auto canStartServing(const StartupSnapshot &snapshot) -> bool
{
    if (snapshot.revision_ == 0) {
        return false;
    }
    if (!snapshot.receivedAllPeerStates_ && snapshot.sinceFirstRevision_ < peerStateTimeout) {
        return false;
    }
    return snapshot.highestPeerRevision_ <= snapshot.revision_ || snapshot.sinceFirstRevision_ >= newerRevisionTimeout;
}

Daemon::Daemon(DaemonSettings settings)
    : settings_(std::move(settings))
    , run_(randomHex(runIdBytes))
    , freshness_(settings_.settings_.zone_)
    , store_(StoreSettings { settings_.settings_.store_ })
    , limits_(settings_.settings_.name_, monotonicNow(), &peers_)
    , requestHandler_(RequestServices { settings_.settings_.name_,
                                        run_,
                                        settings_.settings_.zone_,
                                        settings_.secret_,
                                        &configuration_,
                                        &freshness_,
                                        &limits_,
                                        &peers_,
                                        &store_,
                                        [this](const RequestObservation &observation) {
                                            metrics_.observe(observation);
                                        } })
    , membership_(MembershipServices { settings_.settings_.name_,
                                       &peers_,
                                       [this] {
                                           return ownState();
                                       },
                                       [this](const PeerUpdate &update) {
                                           handlePeerState(update);
                                       } })
    , configurationWatcher_(ConfigurationWatcherServices { settings_.settings_.name_,
                                                           settings_.settings_.zone_,
                                                           storeReadFunctions(store_),
                                                           &configuration_,
                                                           &freshness_,
                                                           &membership_,
                                                           &peers_,
                                                           [this](const ConfigurationPointer &next) {
                                                               prepareConfiguration(next);
                                                           },
                                                           [this](std::vector<std::string> names) {
                                                               requestHandler_.setLeavingBackends(std::move(names));
                                                           } })
    , lookupHandler_(LookupServices { settings_.settings_.name_,
                                      run_,
                                      settings_.settings_.zone_,
                                      settings_.secret_,
                                      settings_.settings_.lookupLifetime_,
                                      &membership_,
                                      [this] {
                                          return leaving_.load();
                                      } })
    , peerServer_(settings_.settings_.peerListen_,
                  std::make_shared<peer::PeerProcessor>(
                      std::make_shared<PeerHandler>(PeerServices { &membership_, &configurationWatcher_, &limits_, &requestHandler_, &controlPlaneTime_ })))
    , callerServer_(callerSettings(settings_.settings_),
                    CallerHandlers { [this](const httplib::Request &request, httplib::Response &response, absl::Time receivedAt) {
                                        requestHandler_.handle(request, response, receivedAt);
                                    },
                                     [this](const httplib::Request &request, httplib::Response &response) {
                                         lookupHandler_.handle(request, response);
                                     },
                                     [this](const httplib::Request &request) {
                                         return requestHandler_.bodyLimit(request);
                                     } })
    , healthPoller_(HealthPollerServices { [this] {
                                              return requestHandler_.backendsInUse();
                                          },
                                           [this](const std::string &backend, const HealthReport &report) {
                                               requestHandler_.reportHealth(backend, report);
                                           } })
    , administrationServer_(administrationServices())
{
}

Daemon::~Daemon()
{
    stop();
}

auto Daemon::start() -> Result<void>
{
    BOOST_LEAF_CHECK(peerServer_.start());
    membership_.start();
    configurationWatcher_.start();
    healthPoller_.start();
    // Last, since a status request must not read the other components while they start.
    BOOST_LEAF_CHECK(administrationServer_.start());
    startupThread_ = std::thread([this] {
        startServingWhenReady();
    });
    slotReturnThread_ = std::thread([this] {
        returnIdleSlots();
    });
    return {};
}

auto Daemon::stop() -> void
{
    if (stopping_.exchange(true)) {
        return;
    }
    if (startupThread_.joinable()) {
        startupThread_.join();
    }
    if (ready_) {
        leave();
    }
    stopped_ = true;
    if (slotReturnThread_.joinable()) {
        slotReturnThread_.join();
    }
    administrationServer_.stop();
    healthPoller_.stop();
    configurationWatcher_.stop();
    membership_.stop();
    peerServer_.stop();
}

auto Daemon::isReady() const -> bool
{
    return ready_;
}

auto Daemon::hasFailed() const -> bool
{
    return failed_;
}

auto Daemon::snapshot() -> DaemonSnapshot
{
    const auto now = monotonicNow();
    const auto configuration = configuration_.get();
    auto snapshot = DaemonSnapshot {};
    snapshot.host_ = settings_.settings_.name_;
    snapshot.run_ = run_;
    snapshot.zone_ = settings_.settings_.zone_;
    snapshot.now_ = now;
    snapshot.ready_ = ready_;
    snapshot.leaving_ = leaving_;
    snapshot.configuration_ = configuration;
    snapshot.freshness_ = freshness_.stateAt(now, *configuration);
    snapshot.storeStateAge_ = freshness_.ageAt(now);
    snapshot.storeReachable_ = freshness_.storeReachable(now, reachabilityWindow(configuration->platform_.freshness_));
    snapshot.withdrawals_ = freshness_.withdrawals();
    snapshot.peers_ = membership_.views();
    snapshot.inFlight_ = requestHandler_.inFlight();
    snapshot.threads_ = settings_.settings_.threads_;
    snapshot.leavingTime_ = snapshot.leaving_ ? now - leavingAt_ : absl::ZeroDuration();
    snapshot.configurationWatcher_ = configurationWatcher_.counts();
    snapshot.traffic_ = peers_.traffic();
    snapshot.controlPlaneTime_ =
        membership_.processorTime() + configurationWatcher_.processorTime() + healthPoller_.processorTime() + controlPlaneTime_.total();
    snapshot.lookups_ = lookupHandler_.successfulLookups();
    return snapshot;
}

auto Daemon::administrationServices() -> AdministrationServerServices
{
    auto services = AdministrationServerServices {};
    services.address_ = settings_.settings_.adminListen_;
    services.operatorKey_ = settings_.operatorKey_;
    services.zone_ = settings_.settings_.zone_;
    services.configuration_ = &configuration_;
    services.freshness_ = &freshness_;
    services.membership_ = &membership_;
    services.store_ = &store_;
    services.status_ = [this] {
        return statusJson(snapshot());
    };
    services.metrics_ = [this] {
        return metrics_.text(metricValuesOf(snapshot()));
    };
    services.leavingBackends_ = [this] {
        return configurationWatcher_.leavingBackends(*configuration_.get());
    };
    services.ready_ = [this] {
        return isReady() && !leaving_;
    };
    return services;
}

auto Daemon::ownState() const -> peer::HostState
{
    const auto now = monotonicNow();
    auto state = peer::HostState {};
    state.name = settings_.settings_.name_;
    state.run = run_;
    state.zone = settings_.settings_.zone_;
    state.peerAddress = settings_.settings_.peerListen_;
    // The age is read before the revision. In the other order, the age could belong to a newer revision than the one reported with it.
    state.knowledgeAgeMicros = ageMicros(freshness_.ageAt(now));
    const auto configuration = configuration_.get();
    state.revision = configuration->revision_;
    state.digest = configuration->digest_;
    state.storeReachable = freshness_.storeReachable(now, reachabilityWindow(configuration->platform_.freshness_));
    state.leaving = leaving_;
    state.withdrawals = freshness_.withdrawals();
    state.crashReports = requestHandler_.crashReports(now);
    configurationWatcher_.fillHostListState(state);
    return state;
}

auto Daemon::handlePeerState(const PeerUpdate &update) -> void
{
    const auto configuration = configuration_.get();
    if (freshness_.addWithdrawals(pendingWithdrawals(update.state_.withdrawals, *configuration))) {
        membership_.triggerExchange(monotonicNow());
    }
    requestHandler_.addCrashReports(monotonicNow(), update.state_.crashReports);
    const auto isAgeUsable = configurationWatcher_.handlePeerState(update);
    if (!update.sentAt_) {
        return;
    }
    auto report = update.state_;
    if (!isAgeUsable) {
        report.knowledgeAgeMicros = -1;
    }
    freshness_.recordPeerResponse(*update.sentAt_, report);
}

auto Daemon::prepareConfiguration(const ConfigurationPointer &next) -> void
{
    const auto now = monotonicNow();
    // The age still belongs to the configuration that is being replaced: it is updated only after the new revision has become current.
    limits_.configure(now, next, freshness_.ageAt(now));
    lookupHandler_.configure(next);
    membership_.setHosts(now, next->entryHosts_);
    const auto *self = findByName(next->entryHosts_, settings_.settings_.name_);
    if (self == nullptr) {
        logEvent(LogLevel::Error, "host_not_declared", { { "host", settings_.settings_.name_ }, { "revision", std::to_string(next->revision_) } });
        return;
    }
    if (self->zone_ != settings_.settings_.zone_ || self->peer_ != settings_.settings_.peerListen_) {
        logEvent(LogLevel::Error, "host_declared_differently", { { "host", self->name_ }, { "declared_zone", self->zone_ }, { "declared_peer", self->peer_ } });
    }
}

auto Daemon::returnIdleSlots() -> void
{
    while (!stopped_) {
        limits_.returnIdleSlots(monotonicNow());
        absl::SleepFor(slotReturnInterval);
    }
}

auto Daemon::startServingWhenReady() -> void
{
    auto firstRevisionAt = absl::InfiniteFuture();
    while (!canStartServing(startupSnapshot(firstRevisionAt))) {
        if (stopping_) {
            return;
        }
        if (configuration_.get()->revision_ > 0) {
            firstRevisionAt = std::min(firstRevisionAt, monotonicNow());
        }
        absl::SleepFor(pollInterval);
    }
    const auto outcome = attempt([this] {
        return callerServer_.start();
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        logEvent(LogLevel::Error, "start_failed", { { "error", describe(*error) } });
        failed_ = true;
        return;
    }
    ready_ = true;
    logEvent(
        LogLevel::Info, "ready", { { "host", settings_.settings_.name_ }, { "run", run_ }, { "revision", std::to_string(configuration_.get()->revision_) } });
}

auto Daemon::startupSnapshot(absl::Time firstRevisionAt) const -> StartupSnapshot
{
    auto snapshot = StartupSnapshot { configuration_.get()->revision_, 0, true, monotonicNow() - firstRevisionAt };
    for (const auto &view : membership_.views()) {
        snapshot.highestPeerRevision_ = std::max(snapshot.highestPeerRevision_, view.state_.revision);
        snapshot.receivedAllPeerStates_ &= view.lastSeenAt_ > absl::InfinitePast();
    }
    return snapshot;
}

auto Daemon::leave() -> void
{
    const auto startedAt = monotonicNow();
    leavingAt_ = startedAt;
    leaving_ = true;
    membership_.triggerExchange(startedAt);
    logEvent(LogLevel::Info, "leaving", { { "in_flight", std::to_string(requestHandler_.inFlight()) } });
    // Callers may use a lookup response received before now until its lifetime ends.
    absl::SleepFor(settings_.settings_.lookupLifetime_ + leavingPropagationTime);
    callerServer_.stop();
    const auto deadline = monotonicNow() + forwardedRequestsTimeout;
    while (requestHandler_.inFlight() > 0 && monotonicNow() < deadline) {
        absl::SleepFor(pollInterval);
    }
    ready_ = false;
    logEvent(LogLevel::Info, "stopped", { { "drain_time", absl::FormatDuration(monotonicNow() - startedAt) } });
}

}
