#include "process/hosttable.h"

#include "connection/fleetpeers.h"
#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

/** A host whose heartbeat has not advanced for this long counts as failed. */
constexpr auto livenessTimeout = absl::Milliseconds(2500);

/** A host that did not advance its own heartbeat for this long may have missed those of others. */
constexpr auto maximumHeartbeatGap = absl::Seconds(1);

/** How long an unresponsive host keeps its quota shares: it may be partitioned from this host and still serve callers. */
constexpr auto shareRetention = absl::Seconds(60);

/** A host that started earlier than this one by this has run for longer than any window over which admissions are counted. */
constexpr auto establishedLead = absl::Seconds(10);

/** Hosts that watch the store for a region. The others receive changes from them, so that store calls do not grow with the number of hosts. */
constexpr auto storeWatchersPerRegion = 3;

auto isIn(const KnownHost &host, const std::vector<std::string> &zones) -> bool
{
    return host.identity_ && std::find(zones.begin(), zones.end(), host.identity_->zone) != zones.end();
}

auto isInRange(const fleet::Heartbeat &heartbeat) -> bool
{
    const auto isKnownStage =
        heartbeat.state >= static_cast<std::int8_t>(HostStage::Starting) && heartbeat.state <= static_cast<std::int8_t>(HostStage::Leaving);
    return isKnownStage && heartbeat.incarnation >= 0 && heartbeat.incarnation <= maximumIncarnation;
}

auto isAlive(const KnownHost &host, absl::Time now) -> bool
{
    return now - host.lastHeartbeatAt_ < livenessTimeout;
}

}

auto hostHash(const std::string &name) -> std::int32_t
{
    return static_cast<std::int32_t>(stableHash(name));
}

HostTable::HostTable(const fleet::HostIdentity &self)
    : selfHash_(hostHash(self.name))
{
    auto &selfEntry = hosts_[selfHash_];
    selfEntry.incarnation_ = self.incarnation;
    selfEntry.identity_ = self;
}

auto HostTable::advanceHeartbeat(absl::Time now, HostStage stage, bool reachesStore) -> void
{
    auto &selfEntry = hosts_[selfHash_];
    if (now - selfEntry.lastHeartbeatAt_ > maximumHeartbeatGap) {
        listeningSince_ = now;
    }
    selfEntry.sequence_ += 1;
    selfEntry.stage_ = stage;
    selfEntry.reachesStore_ = reachesStore;
    selfEntry.lastHeartbeatAt_ = now;
    logLiveness(now);
}

auto HostTable::applyGossip(absl::Time now, const fleet::Gossip &gossip) -> void
{
    for (const auto &heartbeat : gossip.heartbeats) {
        if (isInRange(heartbeat)) {
            applyHeartbeat(now, heartbeat);
        } else {
            logLine(wallNow(), LogLevel::Warning, "heartbeat_ignored", { { "sender", gossip.sender.name }, { "reason", "a value is out of range" } });
        }
    }
    const auto hash = hostHash(gossip.sender.name);
    auto &sender = hosts_[hash];
    if (hash != selfHash_ && (!sender.identity_ || gossip.sender.incarnation >= sender.identity_->incarnation)) {
        sender.identity_ = gossip.sender;
    }
    sender.recordsAsOf_ = recordsPosition(gossip);
}

auto HostTable::applyHeartbeat(absl::Time now, const fleet::Heartbeat &heartbeat) -> void
{
    auto &host = hosts_[heartbeat.host];
    const auto received = std::pair(heartbeat.incarnation, heartbeat.sequence);
    if (received <= std::pair(host.incarnation_, host.sequence_)) {
        return;
    }
    if (heartbeat.host == selfHash_) {
        // An earlier process of this host had a later clock. Without a higher incarnation, peers would ignore this host's heartbeats.
        host.incarnation_ = heartbeat.incarnation + 1;
        host.identity_->incarnation = host.incarnation_;
        return;
    }
    host.incarnation_ = heartbeat.incarnation;
    host.sequence_ = heartbeat.sequence;
    host.stage_ = static_cast<HostStage>(heartbeat.state);
    host.reachesStore_ = heartbeat.reachesStore;
    host.lastHeartbeatAt_ = now;
}

auto HostTable::applyRegistrations(absl::Time now, const std::vector<fleet::HostIdentity> &registered) -> void
{
    for (const auto &identity : registered) {
        const auto hash = hostHash(identity.name);
        auto &host = hosts_[hash];
        host.registeredAt_ = now;
        if (hash != selfHash_ && (!host.identity_ || identity.incarnation >= host.identity_->incarnation)) {
            host.identity_ = identity;
        }
    }
}

auto HostTable::heartbeats(absl::Time now, const std::vector<std::string> &zones) const -> std::vector<fleet::Heartbeat>
{
    auto heartbeats = std::vector<fleet::Heartbeat> {};
    for (const auto &[hash, host] : hosts_) {
        if (!isAlive(host, now) || (!zones.empty() && !isIn(host, zones))) {
            continue;
        }
        auto heartbeat = fleet::Heartbeat {};
        heartbeat.host = hash;
        heartbeat.incarnation = host.incarnation_;
        heartbeat.sequence = host.sequence_;
        heartbeat.state = static_cast<std::int8_t>(host.stage_);
        heartbeat.reachesStore = host.reachesStore_;
        heartbeats.push_back(heartbeat);
    }
    return heartbeats;
}

auto HostTable::watchesStore(absl::Time now, const std::vector<std::string> &zones) const -> bool
{
    const auto isCandidate = [&](const KnownHost &host) {
        return isAlive(host, now) && host.reachesStore_ && host.stage_ != HostStage::Leaving && isIn(host, zones);
    };
    const auto rank = [](std::int32_t hash, const KnownHost &host) {
        return std::pair(-host.identity_->processorMillis, hash);
    };
    const auto ownRank = rank(selfHash_, self());
    auto count = 0;
    auto precedingHosts = 0;
    for (const auto &[hash, host] : hosts_) {
        if (isCandidate(host)) {
            count += 1;
            precedingHosts += rank(hash, host) < ownRank ? 1 : 0;
        }
    }
    return count == 0 || (isCandidate(self()) && precedingHosts < storeWatchersPerRegion);
}

auto HostTable::alive(absl::Time now) const -> std::vector<KnownHost>
{
    auto found = std::vector<KnownHost> {};
    for (const auto &[hash, host] : hosts_) {
        if (hash != selfHash_ && isAlive(host, now) && host.identity_) {
            found.push_back(host);
        }
    }
    return found;
}

auto HostTable::ready(absl::Time now) const -> std::vector<KnownHost>
{
    auto found = alive(now);
    found.push_back(self());
    std::erase_if(found, [](const KnownHost &host) {
        return host.stage_ != HostStage::Ready;
    });
    return found;
}

auto HostTable::withKnownAddress() const -> std::vector<KnownHost>
{
    auto found = std::vector<KnownHost> {};
    for (const auto &[hash, host] : hosts_) {
        if (hash != selfHash_ && host.identity_) {
            found.push_back(host);
        }
    }
    return found;
}

auto HostTable::shareHolders(absl::Time now) const -> std::vector<std::uint64_t>
{
    auto hashes = std::vector<std::uint64_t> {};
    for (const auto &[hash, host] : hosts_) {
        if (holdsShare(now, hash, host)) {
            hashes.push_back(static_cast<std::uint64_t>(static_cast<std::uint32_t>(hash)));
        }
    }
    return hashes;
}

auto HostTable::holdsShare(absl::Time now, std::int32_t hash, const KnownHost &host) const -> bool
{
    return hash == selfHash_ || now - std::max(host.lastHeartbeatAt_, host.registeredAt_) < shareRetention;
}

auto HostTable::shareHosts(absl::Time now, const ZoneRegions &zones) const -> ShareHosts
{
    auto shareHosts = ShareHosts {};
    for (const auto &[hash, host] : hosts_) {
        if (!holdsShare(now, hash, host)) {
            continue;
        }
        auto shareHost = ShareHost { static_cast<std::uint64_t>(static_cast<std::uint32_t>(hash)) };
        if (host.identity_) {
            const auto region = zones.find(host.identity_->zone);
            shareHost.zone_ = host.identity_->zone;
            shareHost.region_ = region == zones.end() ? std::string {} : region->second;
            shareHost.address_ = host.identity_->gossipAddress;
        }
        // A host that has just started has heard of no other one yet.
        shareHost.mayRespond_ = isAlive(host, now) || host.lastHeartbeatAt_ == absl::InfinitePast();
        const auto incarnation = host.identity_ ? std::max(host.incarnation_, host.identity_->incarnation) : host.incarnation_;
        // A registration may be left from the earlier process of a host that has restarted as well.
        const auto isHeard = host.lastHeartbeatAt_ != absl::InfinitePast();
        shareHost.isEstablished_ = isHeard && absl::Milliseconds(self().incarnation_ - incarnation) > establishedLead;
        shareHosts.push_back(std::move(shareHost));
    }
    return shareHosts;
}

auto HostTable::permitIssuer(absl::Time now, const std::vector<std::string> &zones, std::uint64_t backendHash) const -> std::optional<fleet::HostIdentity>
{
    const auto rank = [&](std::int32_t hash) {
        return rendezvousRank(static_cast<std::uint32_t>(hash), backendHash);
    };
    auto first = hosts_.end();
    for (auto host = hosts_.begin(); host != hosts_.end(); ++host) {
        const auto isCandidate =
            (host->first == selfHash_ || isAlive(host->second, now)) && host->second.stage_ == HostStage::Ready && isIn(host->second, zones);
        if (isCandidate && (first == hosts_.end() || rank(host->first) < rank(first->first))) {
            first = host;
        }
    }
    return first == hosts_.end() ? std::nullopt : first->second.identity_;
}

auto HostTable::isInformed(absl::Time now) const -> bool
{
    return now - listeningSince_ >= livenessTimeout && now - self().lastHeartbeatAt_ <= maximumHeartbeatGap;
}

auto HostTable::self() const -> const KnownHost &
{
    return hosts_.at(selfHash_);
}

auto HostTable::logLiveness(absl::Time now) -> void
{
    for (const auto &[hash, host] : hosts_) {
        const auto alive = isAlive(host, now);
        auto &logged = loggedAlive_[hash];
        if (alive == logged || !host.identity_) {
            continue;
        }
        logged = alive;
        logLine(wallNow(), LogLevel::Info, alive ? "host_alive" : "host_silent", { { "host", host.identity_->name }, { "zone", host.identity_->zone } });
    }
}

}
