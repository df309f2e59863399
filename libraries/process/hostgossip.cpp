#include "process/hostgossip.h"

#include "connection/fleetpeers.h"
#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "process/hostregistration.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

constexpr auto tickInterval = absl::Milliseconds(250);

/** Ticks between heartbeats to a host of another region; traffic between regions is charged for. */
constexpr auto ticksPerRemoteHeartbeat = 2;

/** Ticks between datagrams within the region that contain the heartbeats of all regions, which are needed less often than the region's own. */
constexpr auto ticksPerFullHeartbeat = 4;

/** Ticks between heartbeats to any known host or seed, alive or not, so that the sides of a healed network partition find each other again. */
constexpr auto ticksPerAnyHeartbeat = 8;

/**
 * Number of peers that are notified at once of a change. Each of them notifies as many others after it has fetched the new records, so that these reach
 * a region of 40 hosts in two to three rounds and no host serves all the others.
 */
constexpr auto announceFanout = std::size_t { 5 };

/** How many of these are in other zones of the region; traffic between zones is charged for. */
constexpr auto announceOtherZoneFanout = std::size_t { 1 };

/** Time after which the hosts that hold shares are collected again; a heartbeat may have changed them. */
constexpr auto shareHostsLifetime = tickInterval;

auto zonesOfRegion(const ZoneRegions &zones, const std::string &zone) -> std::vector<std::string>
{
    auto found = std::vector<std::string> {};
    const auto ownZone = zones.find(zone);
    for (const auto &[candidateZone, region] : zones) {
        if (ownZone != zones.end() && region == ownZone->second) {
            found.push_back(candidateZone);
        }
    }
    return found;
}

auto crashMessage(absl::Time now, const CrashRecord &record) -> fleet::CrashSighting
{
    auto sighting = fleet::CrashSighting {};
    sighting.fingerprint = record.fingerprint_;
    sighting.backends = record.backends_;
    sighting.ageMillis = static_cast<std::int32_t>(absl::ToInt64Milliseconds(now - record.lastCrashAt_));
    return sighting;
}

}

HostGossip::HostGossip(GossipServices services)
    : services_(std::move(services))
    , regionZones_(zonesOfRegion(services_.zones_, services_.self_.zone))
    , table_(services_.self_)
    , random_(stableHash(services_.self_.name, static_cast<std::uint64_t>(services_.self_.incarnation)))
{
}

HostGossip::~HostGossip()
{
    stop();
}

auto HostGossip::start() -> Result<void>
{
    BOOST_LEAF_AUTO(socket, DatagramSocket::bind(services_.self_.gossipAddress));
    socket_.emplace(std::move(socket));
    thread_ = std::thread([this] {
        run();
    });
    return {};
}

auto HostGossip::stop() -> void
{
    stopping_ = true;
    if (thread_.joinable()) {
        thread_.join();
    }
}

auto HostGossip::run() -> void
{
    auto nextTick = monotonicNow();
    while (!stopping_) {
        const auto now = monotonicNow();
        if (now >= nextTick) {
            tick(now);
            nextTick = now + tickInterval;
        }
        const auto data = socket_->receive(nextTick - now);
        if (!data.empty()) {
            applyGossip(monotonicNow(), data);
        }
    }
}

auto HostGossip::isInRegion(const KnownHost &host) const -> bool
{
    return host.identity_ && std::find(regionZones_.begin(), regionZones_.end(), host.identity_->zone) != regionZones_.end();
}

// Decodes registrations only if the records have changed, since this also runs for each request.
auto HostGossip::refreshRegistrations(absl::Time now) const -> bool
{
    mutex_.AssertHeld();
    const auto asOf = services_.state_->asOf();
    if (asOf == registrationsAsOf_) {
        return false;
    }
    registrationsAsOf_ = asOf;
    auto registered = std::vector<fleet::HostIdentity> {};
    for (const auto &record : services_.state_->hostRegistrations()) {
        const auto decoded = attempt([&] {
            return decodeHostRegistration(record.first, record.second);
        });
        if (const auto *identity = std::get_if<fleet::HostIdentity>(&decoded)) {
            registered.push_back(*identity);
        } else {
            logLine(wallNow(), LogLevel::Warning, "host_ignored", { { "name", record.first }, { "reason", describe(std::get<Error>(decoded)) } });
        }
    }
    table_.applyRegistrations(now, registered);
    return true;
}

auto HostGossip::tick(absl::Time now) -> void
{
    auto targets = std::vector<Target> {};
    {
        const auto lock = absl::MutexLock(&mutex_);
        refreshRegistrations(now);
        table_.advanceHeartbeat(now, services_.stage_(), services_.state_->reachesStore());
        ticks_ += 1;
        targets = chooseTargets(now);
    }
    for (const auto &target : targets) {
        send(target.address_, buildDatagram(now, target.scope_));
    }
}

auto HostGossip::chooseTargets(absl::Time now) -> std::vector<Target>
{
    mutex_.AssertHeld();
    auto regionalAddresses = std::vector<std::string> {};
    auto remoteAddresses = std::vector<std::string> {};
    for (const auto &host : table_.alive(now)) {
        (isInRegion(host) ? regionalAddresses : remoteAddresses).push_back(host.identity_->gossipAddress);
    }
    auto allAddresses = services_.seeds_;
    for (const auto &host : table_.withKnownAddress()) {
        allAddresses.push_back(host.identity_->gossipAddress);
    }
    std::erase(allAddresses, services_.self_.gossipAddress);
    auto targets = std::vector<Target> {};
    const auto addOne = [&](const std::vector<std::string> &group, Scope scope) {
        if (!group.empty()) {
            targets.push_back({ group[random_() % group.size()], scope });
        }
    };
    addOne(regionalAddresses, ticks_ % ticksPerFullHeartbeat == 0 ? Scope::All : Scope::Region);
    if (ticks_ % ticksPerRemoteHeartbeat == 0) {
        addOne(remoteAddresses, Scope::Region);
    }
    if (ticks_ % ticksPerAnyHeartbeat == 0 || regionalAddresses.size() + remoteAddresses.size() == 0) {
        addOne(allAddresses, Scope::All);
    }
    return targets;
}

auto HostGossip::buildDatagram(absl::Time now, Scope scope) -> std::string
{
    return encodeGossip(buildGossip(now, scope));
}

auto HostGossip::buildGossip(absl::Time now, Scope scope) -> fleet::Gossip
{
    auto gossip = buildBareGossip();
    for (const auto &record : services_.crashRecords_(now)) {
        gossip.crashes.push_back(crashMessage(now, record));
    }
    auto limits = std::vector<fleet::LimitSighting> {};
    for (const auto &known : services_.limits_(now)) {
        limits.push_back(toMessage(now, known));
    }
    if (!limits.empty()) {
        gossip.__set_limits(limits);
    }
    if (scope != Scope::None) {
        const auto lock = absl::MutexLock(&mutex_);
        gossip.heartbeats = table_.heartbeats(now, scope == Scope::Region ? regionZones_ : std::vector<std::string> {});
    }
    return gossip;
}

auto HostGossip::buildBareGossip() -> fleet::Gossip
{
    auto gossip = fleet::Gossip {};
    const auto asOf = services_.state_->asOf();
    gossip.recordsAsOf = asOf.revision_;
    gossip.__set_recordsEra(asOf.era_);
    const auto lock = absl::MutexLock(&mutex_);
    gossip.sender = *table_.self().identity_;
    return gossip;
}

auto HostGossip::sendPermitRequest(const std::string &address, const fleet::PermitRequest &request) -> void
{
    auto gossip = buildGossip(monotonicNow(), Scope::None);
    gossip.__set_permitRequest(request);
    send(address, encodeGossip(gossip));
}

auto HostGossip::sendQuotaRequest(const std::string &address, const fleet::QuotaRequest &request) -> void
{
    auto gossip = buildBareGossip();
    gossip.__set_quotaRequest(request);
    send(address, encodeGossip(gossip));
}

auto HostGossip::permitIssuer(absl::Time now, const std::string &zone, const std::string &backend) const -> std::optional<PermitIssuer>
{
    const auto backendHash = stableHash(backend);
    auto allZones = std::vector<std::string> {};
    for (const auto &[candidateZone, region] : services_.zones_) {
        allZones.push_back(candidateZone);
    }
    const auto lock = absl::MutexLock(&mutex_);
    for (const auto &zones : { std::vector<std::string> { zone }, zonesOfRegion(services_.zones_, zone), allZones }) {
        if (const auto issuer = table_.permitIssuer(now, zones, backendHash)) {
            return PermitIssuer { issuer->name == services_.self_.name, issuer->gossipAddress };
        }
    }
    return std::nullopt;
}

auto HostGossip::isInformed(absl::Time now) const -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    return table_.isInformed(now);
}

auto HostGossip::send(const std::string &address, const std::string &data) -> void
{
    if (!socket_->send(address, data)) {
        logLine(wallNow(), LogLevel::Debug, "heartbeat_not_sent", { { "peer", address } });
    }
}

auto HostGossip::applyGossip(absl::Time now, const std::string &data) -> void
{
    const auto gossip = decodeGossip(data);
    if (!gossip) {
        logLine(wallNow(), LogLevel::Warning, "heartbeat_ignored", { { "reason", "the datagram is malformed" } });
        return;
    }
    const auto checked = attempt([&] {
        return checkHostIdentity(gossip->sender);
    });
    if (const auto *error = std::get_if<Error>(&checked)) {
        logLine(wallNow(), LogLevel::Warning, "heartbeat_ignored", { { "reason", describe(*error) } });
        return;
    }
    {
        const auto lock = absl::MutexLock(&mutex_);
        table_.applyGossip(now, *gossip);
    }
    for (const auto &sighting : gossip->crashes) {
        // A crash in the future would never expire.
        const auto age = absl::Milliseconds(std::max(0, sighting.ageMillis));
        services_.addCrashRecord_(now, { sighting.fingerprint, sighting.backends, now - age });
    }
    applyLimits(now, *gossip);
    answerRequests(now, *gossip);
    receiveReplies(now, *gossip);
    if (gossip->__isset.quotaRequest || gossip->__isset.quotaReply) {
        // These are far more frequent than heartbeats, and would make hosts fetch records from other regions.
        return;
    }
    const auto asOf = services_.state_->asOf();
    const auto senderAsOf = recordsPosition(*gossip);
    if (senderAsOf > asOf) {
        services_.onNewerPeer_({ gossip->sender.peerAddress, senderAsOf });
    } else if (senderAsOf < asOf && gossip->__isset.recordsEra) {
        // The sender may not reach the store; notify it at once that this host has newer records. A host that does not know eras could take this host's records
        // for older and answer at once as well, without end.
        send(gossip->sender.gossipAddress, buildDatagram(now, Scope::None));
    }
}

auto HostGossip::answerRequests(absl::Time now, const fleet::Gossip &gossip) -> void
{
    if (gossip.__isset.permitRequest) {
        auto reply = buildGossip(now, Scope::None);
        reply.__set_permitReply(services_.answerPermit_(now, gossip.permitRequest));
        send(gossip.sender.gossipAddress, encodeGossip(reply));
    }
    if (gossip.__isset.quotaRequest) {
        auto reply = buildBareGossip();
        reply.__set_quotaReply(services_.answerQuota_(now, gossip.quotaRequest));
        send(gossip.sender.gossipAddress, encodeGossip(reply));
    }
}

auto HostGossip::receiveReplies(absl::Time now, const fleet::Gossip &gossip) -> void
{
    if (gossip.__isset.permitReply) {
        services_.receivePermit_(now, gossip.permitReply);
    }
    if (gossip.__isset.quotaReply) {
        services_.receiveQuota_(gossip.quotaReply);
    }
}

auto HostGossip::applyLimits(absl::Time now, const fleet::Gossip &gossip) -> void
{
    for (const auto &sighting : gossip.limits) {
        if (isInRange(sighting)) {
            services_.addLimit_(gossip.sender.name, fromMessage(now, sighting));
        } else {
            logLine(wallNow(), LogLevel::Info, "limit_ignored", { { "peer", gossip.sender.name }, { "reason", "a value is out of range" } });
        }
    }
}

auto HostGossip::announceHeartbeats(absl::Time now) -> void
{
    announceHeartbeats(now, Scope::All);
}

auto HostGossip::announceStoreLoss(absl::Time now) -> void
{
    announceHeartbeats(now, Scope::Region);
}

auto HostGossip::announceHeartbeats(absl::Time now, Scope scope) -> void
{
    auto targets = std::vector<std::string> {};
    {
        const auto lock = absl::MutexLock(&mutex_);
        table_.advanceHeartbeat(now, services_.stage_(), services_.state_->reachesStore());
        for (const auto &host : table_.alive(now)) {
            if (scope == Scope::All || isInRegion(host)) {
                targets.push_back(host.identity_->gossipAddress);
            }
        }
        std::shuffle(targets.begin(), targets.end(), random_);
    }
    targets.resize(std::min(targets.size(), announceFanout));
    const auto data = buildDatagram(now, scope);
    for (const auto &target : targets) {
        send(target, data);
    }
}

auto HostGossip::announceRecords(absl::Time now) -> void
{
    auto targets = std::vector<std::string> {};
    {
        const auto lock = absl::MutexLock(&mutex_);
        auto otherZones = std::vector<std::string> {};
        for (const auto &host : table_.alive(now)) {
            if (isInRegion(host)) {
                (host.identity_->zone == services_.self_.zone ? targets : otherZones).push_back(host.identity_->gossipAddress);
            }
        }
        std::shuffle(targets.begin(), targets.end(), random_);
        std::shuffle(otherZones.begin(), otherZones.end(), random_);
        otherZones.resize(std::min(otherZones.size(), announceOtherZoneFanout));
        targets.resize(std::min(targets.size(), announceFanout - otherZones.size()));
        targets.insert(targets.end(), otherZones.begin(), otherZones.end());
    }
    const auto data = buildDatagram(now, Scope::None);
    for (const auto &target : targets) {
        send(target, data);
    }
}

auto HostGossip::watchesStore(absl::Time now) const -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    return table_.watchesStore(now, regionZones_);
}

auto HostGossip::aliveHosts(absl::Time now) const -> std::vector<KnownHost>
{
    const auto lock = absl::MutexLock(&mutex_);
    return table_.alive(now);
}

auto HostGossip::readyHosts(absl::Time now) const -> std::vector<KnownHost>
{
    const auto lock = absl::MutexLock(&mutex_);
    return table_.ready(now);
}

auto HostGossip::shareHolders(absl::Time now) const -> std::vector<std::uint64_t>
{
    const auto lock = absl::MutexLock(&mutex_);
    refreshRegistrations(now);
    return table_.shareHolders(now);
}

auto HostGossip::shareHosts(absl::Time now) const -> ShareHostsPointer
{
    const auto lock = absl::MutexLock(&mutex_);
    const auto isChanged = refreshRegistrations(now);
    if (!shareHosts_ || isChanged || now - shareHostsCheckedAt_ >= shareHostsLifetime) {
        auto hosts = table_.shareHosts(now, services_.zones_);
        if (!shareHosts_ || *shareHosts_ != hosts) {
            shareHosts_ = std::make_shared<const ShareHosts>(std::move(hosts));
        }
        shareHostsCheckedAt_ = now;
    }
    return shareHosts_;
}

}
