#include "process/fleetdaemon.h"

#include "connection/fleetpeers.h"
#include "core/clock.h"
#include "core/log.h"
#include "generated/Fleet.h"
#include "process/backendsignalreport.h"
#include "process/callerserverreport.h"
#include "process/hostregistration.h"
#include "process/quotareport.h"

#include <absl/time/clock.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Lifetime of a lookup response. It is short because some callers keep responses for longer, and callers must leave a stopping host within its grace. */
constexpr auto lookupLifetime = absl::Seconds(2);

/** With fewer ready hosts in the caller's region, a lookup response contains hosts of all regions. */
constexpr auto minimumRegionalHosts = std::size_t { 2 };

constexpr auto maximumLookupAddresses = std::size_t { 64 };

constexpr auto housekeepingInterval = absl::Seconds(1);

constexpr auto stopPollInterval = absl::Milliseconds(20);

/** Fraction of the process's memory for message bodies; the rest is for code, threads, connections and records. */
constexpr auto bodyMemoryFraction = 0.65;

/** Fraction of that for small bodies, which large ones leave free. A single body of 64 MB still fits beside it on the smallest hosts, of 112 MB. */
constexpr auto smallBodyFraction = 0.1;
constexpr auto largestSmallBody = std::size_t { 64 } * 1024;

constexpr auto readyListener = std::size_t { 1 };
constexpr auto lookupListener = std::size_t { 2 };
constexpr auto metricsListener = std::size_t { 3 };

constexpr auto metricsPath = "/metrics";
constexpr auto statusPath = "/v1/status";
constexpr auto explainPath = "/v1/explain";

constexpr auto okStatus = 200;
constexpr auto badRequestStatus = 400;
constexpr auto notFoundStatus = 404;
constexpr auto unavailableStatus = 503;

auto identityOf(const FleetDaemonSettings &settings) -> fleet::HostIdentity
{
    auto identity = fleet::HostIdentity {};
    identity.name = settings.name_;
    identity.incarnation = absl::ToUnixMillis(wallNow());
    identity.zone = settings.zone_;
    identity.callerAddress = settings.callerAddress_;
    identity.peerAddress = settings.peerAddress_;
    identity.gossipAddress = settings.gossipAddress_;
    identity.processorMillis = settings.processorMillis_;
    return identity;
}

auto callerServerSettings(const FleetDaemonSettings &settings, const ByteBudgetPointer &bodyMemory) -> CallerServerSettings
{
    auto callers = CallerServerSettings {};
    callers.address_ = settings.callerAddress_;
    callers.furtherAddresses_ = { settings.readyAddress_, settings.lookupAddress_ };
    if (!settings.metricsAddress_.empty()) {
        callers.furtherAddresses_.push_back(settings.metricsAddress_);
    }
    callers.bodyMemory_ = bodyMemory;
    callers.maximumRequests_ = settings.maximumRequests_;
    callers.maximumConnections_ = settings.maximumConnections_;
    return callers;
}

// Null if the memory is not known.
auto makeBodyMemory(std::size_t memory) -> ByteBudgetPointer
{
    if (memory == 0) {
        return nullptr;
    }
    const auto total = static_cast<std::size_t>(static_cast<double>(memory) * bodyMemoryFraction);
    return std::make_shared<ByteBudget>(ByteBudgetLimits { total, largestSmallBody, static_cast<std::size_t>(static_cast<double>(total) * smallBodyFraction) });
}

/** Handles other hosts' Thrift calls. */
class FleetPeerHandler : public fleet::FleetIf
{
public:
    explicit FleetPeerHandler(const FleetState &state)
        : state_(state)
    {
    }

    auto fetchRecords(fleet::Records &reply, std::int64_t afterRevision, std::int64_t era) -> void override
    {
        reply = toMessage(state_.changesAfter({ era, afterRevision }));
    }

private:
    const FleetState &state_;
};

auto plainResponse(int status) -> CallerResponse
{
    return { { status, {}, "" }, false, false };
}

auto jsonResponse(const nlohmann::json &json) -> CallerResponse
{
    return { { okStatus, { { "Content-Type", "application/json" } }, jsonText(json) }, false, false };
}

}

FleetDaemon::FleetDaemon(FleetDaemonSettings settings, FleetAdapter adapter)
    : settings_(std::move(settings))
    , reloadable_(settings_.reloadable_)
    , adapter_(std::move(adapter))
    , identity_(identityOf(settings_))
    , bodyMemory_(makeBodyMemory(settings_.memory_))
    , state_(settings_.zones_, settings_.zone_, adapter_.decoders_)
    , permits_(PermitExchangeServices { [this](absl::Time now, const std::string &zone, const std::string &backend) {
                                           return gossip_->permitIssuer(now, zone, backend);
                                       },
                                        [this](absl::Time now) {
                                            return gossip_->isInformed(now);
                                        },
                                        [this](absl::Time now, const KnownLimit &known) {
                                            return requestHandler_.issuePermit(now, known);
                                        },
                                        [this](const std::string &address, const fleet::PermitRequest &request) {
                                            gossip_->sendPermitRequest(address, request);
                                        } })
    , quotas_(QuotaExchangeServices { [this](absl::Time now, const std::string &organisation) {
                                         return requestHandler_.admitForPeer(now, organisation);
                                     },
                                      [this](const std::string &address, const fleet::QuotaRequest &request) {
                                          gossip_->sendQuotaRequest(address, request);
                                      } })
    , requestHandler_(FleetRequestServices { settings_.name_,
                                             adapter_.protocol_,
                                             [this] {
                                                 return reloadableSettings();
                                             },
                                             &state_,
                                             [this](absl::Time now) {
                                                 return gossip_->shareHolders(now);
                                             },
                                             [this] {
                                                 return plannedStop();
                                             },
                                             [this](const RequestObservation &observation) {
                                                 metrics_.observe(observation);
                                             },
                                             [this](absl::Time now) {
                                                 return gossip_->shareHosts(now);
                                             },
                                             [this](absl::Time now, const ShareHost &holder, const std::string &organisation, absl::Time deadline) {
                                                 const auto answer = quotas_.ask(now, holder.address_, organisation, deadline);
                                                 return HolderExchange { answer, monotonicNow() };
                                             },
                                             [this](absl::Time now, const PermitQuery &query, absl::Time deadline) {
                                                 return permits_.ask(now, query, deadline);
                                             },
                                             bodyMemory_,
                                             settings_.maximumIdleConnections_ })
    , replicator_(std::make_unique<RecordReplicator>(RecordReplicatorServices { adapter_.store_,
                                                                                &state_,
                                                                                settings_.name_,
                                                                                encodeHostRegistration(identity_),
                                                                                settings_.peerSeeds_,
                                                                                [this](absl::Time now) {
                                                                                    return gossip_->watchesStore(now);
                                                                                },
                                                                                [this](absl::Time now) {
                                                                                    gossip_->announceRecords(now);
                                                                                },
                                                                                [this](absl::Time now) {
                                                                                    gossip_->announceStoreLoss(now);
                                                                                } }))
    , gossip_(std::make_unique<HostGossip>(GossipServices { identity_,
                                                            settings_.gossipSeeds_,
                                                            settings_.zones_,
                                                            &state_,
                                                            [this] {
                                                                return stage();
                                                            },
                                                            [this](absl::Time now) {
                                                                return requestHandler_.crashRecords(now);
                                                            },
                                                            [this](absl::Time now, const CrashRecord &record) {
                                                                requestHandler_.addCrashRecord(now, record);
                                                            },
                                                            [this](absl::Time now) {
                                                                return requestHandler_.recentLimits(now);
                                                            },
                                                            [this](const std::string &peer, const KnownLimit &known) {
                                                                requestHandler_.addLimit(peer, known);
                                                            },
                                                            [this](absl::Time now, const fleet::PermitRequest &request) {
                                                                return permits_.answer(now, request);
                                                            },
                                                            [this](absl::Time now, const fleet::PermitReply &reply) {
                                                                permits_.receive(now, reply);
                                                            },
                                                            [this](absl::Time now, const fleet::QuotaRequest &request) {
                                                                return quotas_.answer(now, request);
                                                            },
                                                            [this](const fleet::QuotaReply &reply) {
                                                                quotas_.receive(reply);
                                                            },
                                                            [this](const NewerPeer &peer) {
                                                                replicator_->notifyNewerPeer(peer);
                                                            } }))
    , peerServer_(settings_.peerAddress_, std::make_shared<fleet::FleetProcessor>(std::make_shared<FleetPeerHandler>(state_)))
    , callerServer_(callerServerSettings(settings_, bodyMemory_),
                    CallerHandlers { nullptr,
                                     nullptr,
                                     nullptr,
                                     [this](const ReceivedRequest &request) {
                                         return response(request);
                                     },
                                     [this](const ReceivedRequest &request, Refusal refusal) {
                                         return requestHandler_.refuseUnhandled(request, refusal);
                                     },
                                     [this] {
                                         return callerLimits();
                                     } })
{
}

FleetDaemon::~FleetDaemon()
{
    housekeepingEnd_.Notify();
    if (housekeepingThread_.joinable()) {
        housekeepingThread_.join();
    }
}

auto FleetDaemon::start() -> Result<void>
{
    logLine(wallNow(),
            LogLevel::Info,
            "started",
            { { "host", settings_.name_ },
              { "zone", settings_.zone_ },
              { "peer_address", settings_.peerAddress_ },
              { "incarnation", fmt::format("{}", identity_.incarnation) } });
    BOOST_LEAF_CHECK(callerServer_.start());
    BOOST_LEAF_CHECK(peerServer_.start());
    BOOST_LEAF_CHECK(gossip_->start());
    replicator_->start();
    housekeepingThread_ = std::thread([this] {
        while (!housekeepingEnd_.WaitForNotificationWithTimeout(housekeepingInterval)) {
            requestHandler_.cleanUp(monotonicNow());
        }
    });
    return {};
}

auto FleetDaemon::stop() -> void
{
    const auto stop = planStop(monotonicNow(), reloadableSettings().stopGrace_);
    {
        const auto lock = absl::MutexLock(&plannedStopMutex_);
        plannedStop_ = stop;
    }
    isLeaving_ = true;
    logLine(wallNow(), LogLevel::Info, "stopping", { { "host", settings_.name_ }, { "in_flight", fmt::format("{}", callerServer_.unansweredRequests()) } });
    gossip_->announceHeartbeats(stop.beganAt_);
    replicator_->deregister();
    while (monotonicNow() < stop.refusesAt_) {
        absl::SleepFor(stopPollInterval);
    }
    while (callerServer_.unansweredRequests() > 0 && monotonicNow() < stop.waitsEndAt_) {
        absl::SleepFor(stopPollInterval);
    }
    requestHandler_.endWaits();
    while (callerServer_.unansweredRequests() > 0 && monotonicNow() < stop.endsAt_) {
        absl::SleepFor(stopPollInterval);
    }
    logLine(wallNow(), LogLevel::Info, "stopped", { { "host", settings_.name_ }, { "in_flight", fmt::format("{}", callerServer_.unansweredRequests()) } });
}

auto FleetDaemon::plannedStop() const -> PlannedStop
{
    const auto lock = absl::ReaderMutexLock(&plannedStopMutex_);
    return plannedStop_;
}

auto FleetDaemon::isReady() const -> bool
{
    return !isLeaving_ && state_.view()->policy_ != nullptr;
}

auto FleetDaemon::stage() const -> HostStage
{
    if (isLeaving_) {
        return HostStage::Leaving;
    }
    return isReady() ? HostStage::Ready : HostStage::Starting;
}

auto FleetDaemon::callerLimits() const -> CallerLimits
{
    const auto view = state_.view();
    return view->policy_ ? view->policy_->policy().limits_ : CallerLimits {};
}

auto FleetDaemon::response(const ReceivedRequest &request) -> CallerResponse
{
    if (request.listener_ == readyListener) {
        return pathOfTarget(request.content_.target_) == adapter_.protocol_.readyPath_ ? readinessResponse() : plainResponse(notFoundStatus);
    }
    if (request.listener_ == lookupListener) {
        return pathOfTarget(request.content_.target_) == adapter_.protocol_.lookupPath_ ? lookupResponse(request) : plainResponse(notFoundStatus);
    }
    if (request.listener_ == metricsListener) {
        return operatorResponse(request);
    }
    auto response = requestHandler_.handle(request);
    response.closes_ = response.closes_ || isLeaving_;
    return response;
}

auto FleetDaemon::reloadableSettings() const -> ReloadableSettings
{
    const auto lock = absl::ReaderMutexLock(&reloadableMutex_);
    return reloadable_;
}

auto FleetDaemon::reload(const FleetDaemonSettings &settings) -> Result<void>
{
    auto comparable = settings;
    comparable.reloadable_ = settings_.reloadable_;
    if (comparable != settings_) {
        return makeError("reload settings", settings.name_, "names, addresses, zones and limits change by a restart only");
    }
    const auto lock = absl::MutexLock(&reloadableMutex_);
    reloadable_ = settings.reloadable_;
    return {};
}

auto FleetDaemon::metricsResponse() const -> CallerResponse
{
    const auto now = monotonicNow();
    const auto view = state_.view();
    const auto lastStoreResponseAt = state_.lastStoreResponseAt();
    const auto hasStoreResponse = lastStoreResponseAt != absl::InfinitePast();
    auto values = std::vector<MetricValue> {
        { "lycheecleat_policy_version",
          "Version of the traffic policy in force",
          MetricKind::Gauge,
          {},
          view->policy_ ? static_cast<double>(view->policy_->policy().version_) : 0 },
        { "lycheecleat_records_revision",
          "Revision of the store up to which records are known",
          MetricKind::Gauge,
          {},
          static_cast<double>(view->asOf_.revision_) },
        { "lycheecleat_store_era", "Era of the store that the known records belong to", MetricKind::Gauge, {}, static_cast<double>(view->asOf_.era_) },
        { "lycheecleat_store_age_seconds",
          "Time since the store last answered; -1 before it has",
          MetricKind::Gauge,
          {},
          hasStoreResponse ? absl::ToDoubleSeconds(now - lastStoreResponseAt) : -1 },
        { "lycheecleat_requests_in_flight", "Requests being served", MetricKind::Gauge, {}, static_cast<double>(requestHandler_.inFlight()) },
        { "lycheecleat_backend_connections_idle",
          "Idle connections to backend servers",
          MetricKind::Gauge,
          {},
          static_cast<double>(requestHandler_.idleConnections()) },
        counterValue(
            "lycheecleat_load_reports_ignored_total", "Load reports of backend servers that could not be used", {}, requestHandler_.loadReportsIgnored()),
        { "lycheecleat_hosts_ready", "Entry hosts that lookups may name", MetricKind::Gauge, {}, static_cast<double>(gossip_->readyHosts(now).size()) },
        { "lycheecleat_share_holders",
          "Entry hosts among which quotas are split",
          MetricKind::Gauge,
          {},
          static_cast<double>(gossip_->shareHolders(now).size()) },
        { "lycheecleat_process_cpu_seconds_total", "Processor time of the process", MetricKind::Counter, {}, absl::ToDoubleSeconds(processorTime()) },
    };
    for (auto &value : signalMetrics(requestHandler_.signalCounts())) {
        values.push_back(std::move(value));
    }
    for (auto &value : callerServerMetrics(callerServer_.counts(), bodyMemory_)) {
        values.push_back(std::move(value));
    }
    for (auto &value : quotaMetrics(requestHandler_.quotaCounts())) {
        values.push_back(std::move(value));
    }
    for (const auto &[service, backends] : view->backends_) {
        values.push_back({ "lycheecleat_backends",
                           "Backend servers that take requests",
                           MetricKind::Gauge,
                           { { "service", service } },
                           static_cast<double>(backends.size()) });
    }
    return { { okStatus, { { "Content-Type", "text/plain; version=0.0.4" } }, metrics_.text(values) }, false, false };
}

auto FleetDaemon::collectSnapshot() const -> FleetDaemonSnapshot
{
    const auto now = monotonicNow();
    const auto view = state_.view();
    const auto lastStoreResponseAt = state_.lastStoreResponseAt();
    auto snapshot = FleetDaemonSnapshot {};
    snapshot.host_ = settings_.name_;
    snapshot.zone_ = settings_.zone_;
    snapshot.isReady_ = isReady();
    snapshot.version_ = view->policy_ ? view->policy_->policy().version_ : 0;
    snapshot.revision_ = view->asOf_.revision_;
    if (lastStoreResponseAt != absl::InfinitePast()) {
        snapshot.storeAge_ = now - lastStoreResponseAt;
    }
    snapshot.watchesStore_ = gossip_->watchesStore(now);
    snapshot.peers_ = gossip_->aliveHosts(now);
    snapshot.now_ = now;
    return snapshot;
}

auto FleetDaemon::operatorResponse(const ReceivedRequest &request) -> CallerResponse
{
    const auto &target = request.content_.target_;
    const auto path = pathOfTarget(target);
    if (path == metricsPath) {
        return metricsResponse();
    }
    if (path == statusPath) {
        return jsonResponse(statusJson(collectSnapshot()));
    }
    if (path != explainPath) {
        return plainResponse(notFoundStatus);
    }
    const auto explainRequest = parseExplainRequest(target);
    return explainRequest ? jsonResponse(explanationJson(requestHandler_.explain(*explainRequest))) : plainResponse(badRequestStatus);
}

auto FleetDaemon::readinessResponse() const -> CallerResponse
{
    return plainResponse(isReady() ? okStatus : unavailableStatus);
}

auto FleetDaemon::lookupResponse(const ReceivedRequest &request) -> CallerResponse
{
    const auto lookup = adapter_.protocol_.decodeLookup_(request.content_);
    if (!lookup) {
        return plainResponse(badRequestStatus);
    }
    auto regionalAddresses = std::vector<std::string> {};
    auto allAddresses = std::vector<std::string> {};
    for (const auto &host : gossip_->readyHosts(monotonicNow())) {
        const auto region = settings_.zones_.find(host.identity_->zone);
        allAddresses.push_back(host.identity_->callerAddress);
        if (region != settings_.zones_.end() && region->second == lookup->region_) {
            regionalAddresses.push_back(host.identity_->callerAddress);
        }
    }
    auto addresses = regionalAddresses.size() >= minimumRegionalHosts ? std::move(regionalAddresses) : std::move(allAddresses);
    if (addresses.empty()) {
        return plainResponse(unavailableStatus);
    }
    addresses.resize(std::min(addresses.size(), maximumLookupAddresses));
    return { adapter_.protocol_.encodeLookup_({ std::move(addresses), std::min(lookupLifetime, reloadableSettings().maximumLookupLifetime_) }), false, false };
}

}
