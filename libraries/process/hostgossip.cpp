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

/** Each so many ticks, a heartbeat also goes to a host of another region; links between regions are priced. */
constexpr auto remoteTicks = 2;

/** Each so many ticks, a heartbeat goes to any host or seed, so that two groups that were cut off find each other again. */
constexpr auto anyTicks = 8;

/** Peers that are told at once of something new. */
constexpr auto announceCount = std::size_t { 6 };

auto crashMessage(absl::Time now, const CrashRecord &record) -> fleet::CrashSighting
{
    auto sighting = fleet::CrashSighting {};
    sighting.fingerprint = record.fingerprint_;
    sighting.backends = record.backends_;
    sighting.ageMillis = static_cast<std::int32_t>(absl::ToInt64Milliseconds(now - record.endedAt_));
    return sighting;
}

}

HostGossip::HostGossip(GossipServices services)
    : services_(std::move(services))
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
            hear(monotonicNow(), data);
        }
    }
}

auto HostGossip::regionOf(const std::string &zone) const -> std::string
{
    const auto found = services_.zones_.find(zone);
    return found == services_.zones_.end() ? std::string {} : found->second;
}

// Reads the registrations of new records only, since this runs for each request as well.
auto HostGossip::learnRegistered(absl::Time now) const -> void
{
    mutex_.AssertHeld();
    const auto asOf = services_.state_->asOf();
    if (asOf == learnedAsOf_) {
        return;
    }
    learnedAsOf_ = asOf;
    auto registered = std::vector<fleet::HostIdentity> {};
    for (const auto &record : services_.state_->hostRecords()) {
        const auto decoded = attempt([&] {
            return decodeHostRegistration(record.first, record.second);
        });
        if (const auto *identity = std::get_if<fleet::HostIdentity>(&decoded)) {
            registered.push_back(*identity);
        } else {
            logLine(wallNow(), LogLevel::Warning, "host_ignored", { { "name", record.first }, { "reason", describe(std::get<Error>(decoded)) } });
        }
    }
    table_.learn(now, registered);
}

auto HostGossip::tick(absl::Time now) -> void
{
    auto targets = std::vector<std::string> {};
    {
        const auto lock = absl::MutexLock(&mutex_);
        learnRegistered(now);
        table_.beat(now, services_.stage_());
        ticks_ += 1;
        targets = chooseTargets(now);
    }
    const auto data = message(now);
    for (const auto &target : targets) {
        send(target, data);
    }
}

auto HostGossip::chooseTargets(absl::Time now) -> std::vector<std::string>
{
    mutex_.AssertHeld();
    const auto ownRegion = regionOf(services_.self_.zone);
    auto near = std::vector<std::string> {};
    auto remote = std::vector<std::string> {};
    for (const auto &host : table_.alive(now)) {
        auto &group = regionOf(host.identity_->zone) == ownRegion ? near : remote;
        group.push_back(host.identity_->gossipAddress);
    }
    auto any = services_.seeds_;
    for (const auto &host : table_.addressed()) {
        any.push_back(host.identity_->gossipAddress);
    }
    std::erase(any, services_.self_.gossipAddress);
    auto targets = std::vector<std::string> {};
    const auto addOne = [&](const std::vector<std::string> &group) {
        if (!group.empty()) {
            targets.push_back(group[random_() % group.size()]);
        }
    };
    addOne(near);
    if (ticks_ % remoteTicks == 0) {
        addOne(remote);
    }
    if (ticks_ % anyTicks == 0 || near.size() + remote.size() == 0) {
        addOne(any);
    }
    return targets;
}

auto HostGossip::message(absl::Time now) -> std::string
{
    auto gossip = fleet::Gossip {};
    gossip.recordsAsOf = services_.state_->asOf();
    for (const auto &record : services_.crashes_(now)) {
        gossip.crashes.push_back(crashMessage(now, record));
    }
    const auto lock = absl::MutexLock(&mutex_);
    gossip.sender = *table_.self().identity_;
    gossip.heartbeats = table_.heartbeats(now);
    return encodeGossip(gossip);
}

auto HostGossip::send(const std::string &address, const std::string &data) -> void
{
    if (!socket_->send(address, data)) {
        logLine(wallNow(), LogLevel::Debug, "heartbeat_not_sent", { { "peer", address } });
    }
}

auto HostGossip::hear(absl::Time now, const std::string &data) -> void
{
    const auto gossip = decodeGossip(data);
    if (!gossip) {
        logLine(wallNow(), LogLevel::Warning, "heartbeat_ignored", { { "reason", "the datagram is malformed" } });
        return;
    }
    {
        const auto lock = absl::MutexLock(&mutex_);
        table_.hear(now, *gossip);
    }
    for (const auto &sighting : gossip->crashes) {
        services_.hearCrash_(now, { sighting.fingerprint, sighting.backends, now - absl::Milliseconds(sighting.ageMillis) });
    }
    const auto asOf = services_.state_->asOf();
    if (gossip->recordsAsOf > asOf) {
        services_.newerPeer_({ gossip->sender.peerAddress, gossip->recordsAsOf });
    } else if (gossip->recordsAsOf < asOf) {
        // The sender may not hear the store; tell it at once where newer records are.
        send(gossip->sender.gossipAddress, message(now));
    }
}

auto HostGossip::announce(absl::Time now) -> void
{
    auto targets = std::vector<std::string> {};
    {
        const auto lock = absl::MutexLock(&mutex_);
        table_.beat(now, services_.stage_());
        for (const auto &host : table_.alive(now)) {
            targets.push_back(host.identity_->gossipAddress);
        }
        std::shuffle(targets.begin(), targets.end(), random_);
    }
    targets.resize(std::min(targets.size(), announceCount));
    const auto data = message(now);
    for (const auto &target : targets) {
        send(target, data);
    }
}

auto HostGossip::readyHosts(absl::Time now) const -> std::vector<KnownHost>
{
    const auto lock = absl::MutexLock(&mutex_);
    return table_.ready(now);
}

auto HostGossip::shareHolders(absl::Time now) const -> std::vector<std::uint64_t>
{
    const auto lock = absl::MutexLock(&mutex_);
    learnRegistered(now);
    return table_.shareHolders(now);
}

}
