#include "process/hosttable.h"

#include <doctest/doctest.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

auto identity(const std::string &name, std::int64_t incarnation) -> fleet::HostIdentity
{
    auto hostIdentity = fleet::HostIdentity {};
    hostIdentity.name = name;
    hostIdentity.incarnation = incarnation;
    hostIdentity.zone = "zone-a";
    hostIdentity.callerAddress = name + ":1";
    return hostIdentity;
}

auto inZone(fleet::HostIdentity hostIdentity, const std::string &zone) -> fleet::HostIdentity
{
    hostIdentity.zone = zone;
    return hostIdentity;
}

/** A heartbeat's incarnation and stage, one of them out of range. */
struct OutOfRangeCase
{
    std::int64_t incarnation_;
    int stage_;
};

auto gossipOf(const HostTable &table, absl::Time now) -> fleet::Gossip
{
    auto gossip = fleet::Gossip {};
    gossip.sender = *table.self().identity_;
    gossip.heartbeats = table.heartbeats(now);
    return gossip;
}

}

// Guards against lookups that name a host that is dead, leaving or has not started.
TEST_CASE("a host is ready while its heartbeat advances and reports it as ready")
{
    auto first = HostTable(identity("first", 1));
    auto second = HostTable(identity("second", 1));
    second.advanceHeartbeat(start, HostStage::Starting, true);
    first.applyGossip(start, gossipOf(second, start));
    CHECK(first.alive(start).size() == 1);
    CHECK(first.ready(start).empty());
    second.advanceHeartbeat(start, HostStage::Ready, true);
    first.applyGossip(start, gossipOf(second, start));
    CHECK(first.ready(start).size() == 1);
    // A repeated heartbeat, as a third host would relay it, does not keep the host alive.
    first.applyGossip(start + absl::Seconds(2), gossipOf(second, start));
    CHECK(first.ready(start + absl::Seconds(4)).empty());
    second.advanceHeartbeat(start + absl::Seconds(4), HostStage::Leaving, true);
    first.applyGossip(start + absl::Seconds(4), gossipOf(second, start + absl::Seconds(4)));
    CHECK(first.alive(start + absl::Seconds(4)).size() == 1);
    CHECK(first.ready(start + absl::Seconds(4)).empty());
}

// Guards against a restarted host whose heartbeats are ignored because its clock went back.
TEST_CASE("a restarted host supersedes the heartbeats of its earlier process")
{
    auto earlier = HostTable(identity("self", 900));
    earlier.advanceHeartbeat(start, HostStage::Ready, true);
    auto peer = HostTable(identity("peer", 1));
    peer.applyGossip(start, gossipOf(earlier, start));
    auto restarted = HostTable(identity("self", 100));
    restarted.applyGossip(start, gossipOf(peer, start));
    restarted.advanceHeartbeat(start + absl::Seconds(1), HostStage::Starting, true);
    peer.applyGossip(start + absl::Seconds(1), gossipOf(restarted, start + absl::Seconds(1)));
    REQUIRE(peer.alive(start + absl::Seconds(3)).size() == 1);
    CHECK(peer.alive(start + absl::Seconds(3))[0].stage_ == HostStage::Starting);
}

// Guards against a newly started host that claims the quota as if it were the only host (FAILBACK on trouble-3, seed 927861181180).
TEST_CASE("registered hosts are share holders before their first heartbeat arrives")
{
    auto table = HostTable(identity("self", 1));
    CHECK(table.shareHolders(start).size() == 1);
    table.applyRegistrations(start, { identity("second", 1), identity("third", 1) });
    CHECK(table.shareHolders(start).size() == 3);
    CHECK(table.alive(start).empty());
    CHECK(table.shareHolders(start + absl::Seconds(30)).size() == 3);
    CHECK(table.shareHolders(start + absl::Minutes(5)).size() == 1);
}

// Guards against a fleet that admits nothing for a window after all hosts restarted, because each takes the registrations of earlier processes for hosts that
// have run for long.
TEST_CASE("a host counts as established when it is heard and has started long before")
{
    struct EstablishedCase
    {
        std::string title_;
        std::int64_t incarnation_;
        bool isHeard_;
        bool isEstablished_;
    };
    constexpr auto ownIncarnation = std::int64_t { 100'000 };
    const auto establishedCases = std::vector<EstablishedCase> {
        { "started long before, heard", 50'000, true, true },
        { "registered long before, not heard", 50'000, false, false },
        { "started with this host", 99'000, true, false },
        { "started after this host", 150'000, true, false },
    };
    for (const auto &establishedCase : establishedCases) {
        CAPTURE(establishedCase.title_);
        auto table = HostTable(identity("self", ownIncarnation));
        auto other = HostTable(identity("other", establishedCase.incarnation_));
        other.advanceHeartbeat(start, HostStage::Ready, true);
        table.applyRegistrations(start, { identity("other", establishedCase.incarnation_) });
        if (establishedCase.isHeard_) {
            table.applyGossip(start, gossipOf(other, start));
        }
        const auto hosts = table.shareHosts(start, { { "zone-a", "east" } });
        REQUIRE(hosts.size() == 2);
        for (const auto &host : hosts) {
            CHECK(host.isEstablished_ == (host.hash_ == static_cast<std::uint32_t>(hostHash("other")) && establishedCase.isEstablished_));
        }
    }
}

namespace
{

struct WatcherCase
{
    std::string title_;
    int hosts_;
    /** Number of hosts, from the front of the list, that do not reach the store. */
    int withoutStore_;
    int expectedWatchers_;
};

}

// Guards against store calls that grow with the number of hosts, and against a region in which no host watches the store.
TEST_CASE("a few hosts of a region that reach the store watch it")
{
    const auto cases = std::vector<WatcherCase> {
        { "one host", 1, 0, 1 },
        { "two hosts", 2, 0, 2 },
        { "many hosts", 40, 0, 3 },
        { "some do not reach the store", 40, 20, 3 },
        { "only one reaches the store", 40, 39, 1 },
        { "none reaches the store, so all watch", 6, 6, 6 },
    };
    const auto zones = std::vector<std::string> { "zone-a", "zone-b" };
    for (const auto &watcherCase : cases) {
        CAPTURE(watcherCase.title_);
        auto tables = std::vector<HostTable> {};
        for (auto number = 0; number < watcherCase.hosts_; ++number) {
            tables.emplace_back(inZone(identity("host-" + std::to_string(number), 1), number % 2 == 0 ? "zone-a" : "zone-b"));
            tables.back().advanceHeartbeat(start, HostStage::Ready, number >= watcherCase.withoutStore_);
        }
        auto elsewhere = HostTable(inZone(identity("elsewhere", 1), "zone-c"));
        elsewhere.advanceHeartbeat(start, HostStage::Ready, true);
        auto watchers = 0;
        for (auto &table : tables) {
            for (const auto &other : tables) {
                table.applyGossip(start, gossipOf(other, start));
            }
            table.applyGossip(start, gossipOf(elsewhere, start));
            watchers += table.watchesStore(start, zones) ? 1 : 0;
        }
        CHECK(watchers == watcherCase.expectedWatchers_);
        // The remaining hosts take over when the watchers have failed.
        CHECK(tables.back().watchesStore(start + absl::Seconds(10), zones));
    }
}

// Guards against changes that are delayed by watchers with little processor time (violation of the DRAIN requirement on the grown deployment of Ikivu,
// trouble-1).
TEST_CASE("the hosts with the most processor time watch the store")
{
    const auto zones = std::vector<std::string> { "zone-a" };
    auto tables = std::vector<HostTable> {};
    for (auto number = 0; number < 8; ++number) {
        auto hostIdentity = identity("host-" + std::to_string(number), 1);
        hostIdentity.processorMillis = number * 70;
        tables.emplace_back(hostIdentity);
        tables.back().advanceHeartbeat(start, HostStage::Ready, true);
    }
    for (auto number = std::size_t { 0 }; number < tables.size(); ++number) {
        for (const auto &other : tables) {
            tables[number].applyGossip(start, gossipOf(other, start));
        }
        CAPTURE(number);
        CHECK(tables[number].watchesStore(start, zones) == (number >= 5));
    }
}

// Guards against heartbeat traffic between regions that grows with the size of the whole deployment.
TEST_CASE("heartbeats can be limited to given zones")
{
    auto table = HostTable(inZone(identity("self", 1), "zone-a"));
    auto other = HostTable(inZone(identity("other", 1), "zone-c"));
    table.advanceHeartbeat(start, HostStage::Ready, true);
    other.advanceHeartbeat(start, HostStage::Ready, true);
    table.applyGossip(start, gossipOf(other, start));
    CHECK(table.heartbeats(start).size() == 2);
    CHECK(table.heartbeats(start, { "zone-a", "zone-b" }).size() == 1);
}

// Guards against a heartbeat outside the ranges of its fields: its host would never be heard again, or its incarnation could not be superseded.
TEST_CASE("heartbeats with values out of range are ignored")
{
    const auto cases = std::vector<OutOfRangeCase> { { 2, -1 }, { 2, 3 }, { 2, 127 }, { -2, 1 }, { std::numeric_limits<std::int64_t>::max(), 1 } };
    for (const auto &rangeCase : cases) {
        CAPTURE(rangeCase.incarnation_);
        CAPTURE(rangeCase.stage_);
        auto first = HostTable(identity("first", 1));
        auto second = HostTable(identity("second", 1));
        second.advanceHeartbeat(start, HostStage::Ready, true);
        auto odd = gossipOf(second, start);
        odd.heartbeats.front().incarnation = rangeCase.incarnation_;
        odd.heartbeats.front().state = static_cast<std::int8_t>(rangeCase.stage_);
        auto own = odd.heartbeats.front();
        own.host = hostHash("first");
        odd.heartbeats.push_back(own);
        first.applyGossip(start, odd);
        CHECK(first.alive(start).empty());
        CHECK(first.self().incarnation_ == 1);
        first.applyGossip(start, gossipOf(second, start));
        CHECK(first.ready(start).size() == 1);
    }
}

// Guards against hosts that take different hosts for the issuer of a server's permits, and against an issuer that is dead, leaving or has not started.
TEST_CASE("all hosts agree on the issuer of a backend server's permits")
{
    const auto zones = std::vector<std::string> { "zone-a" };
    auto tables = std::vector<HostTable> {};
    for (const auto *name : { "first", "second", "third" }) {
        tables.emplace_back(identity(name, 1));
    }
    tables.emplace_back(inZone(identity("elsewhere", 1), "zone-b"));
    const auto exchange = [&](absl::Time now, std::size_t silent) {
        for (auto index = std::size_t { 0 }; index < tables.size(); ++index) {
            if (index != silent) {
                tables[index].advanceHeartbeat(now, HostStage::Ready, true);
            }
        }
        for (auto &receiver : tables) {
            for (auto index = std::size_t { 0 }; index < tables.size(); ++index) {
                receiver.applyGossip(now, gossipOf(tables[index], now));
            }
        }
    };
    const auto issuerOf = [&](const HostTable &table, absl::Time now, std::uint64_t backend) {
        const auto issuer = table.permitIssuer(now, zones, backend);
        return issuer ? issuer->name : std::string {};
    };
    CHECK(tables.back().permitIssuer(start, zones, 1) == std::nullopt);
    exchange(start, tables.size());
    auto issuers = std::set<std::string> {};
    for (auto backend = std::uint64_t { 1 }; backend < 50; ++backend) {
        const auto issuer = issuerOf(tables.front(), start, backend);
        issuers.insert(issuer);
        for (const auto &table : tables) {
            CHECK(issuerOf(table, start, backend) == issuer);
        }
    }
    CHECK(issuers == std::set<std::string> { "first", "second", "third" });
    // The first host falls silent, then the second one leaves.
    const auto later = start + absl::Seconds(3);
    exchange(later, 0);
    for (auto backend = std::uint64_t { 1 }; backend < 50; ++backend) {
        CHECK(issuerOf(tables.back(), later, backend) != "first");
    }
    tables[1].advanceHeartbeat(later, HostStage::Leaving, true);
    tables.back().applyGossip(later, gossipOf(tables[1], later));
    for (auto backend = std::uint64_t { 1 }; backend < 50; ++backend) {
        CHECK(issuerOf(tables.back(), later, backend) == "third");
    }
}

// Guards against a host that issues permits before it knows the others, after a start, a freeze or a time without processor.
TEST_CASE("a host is informed once it has listened for the liveness timeout without a gap")
{
    auto table = HostTable(identity("self", 1));
    CHECK(!table.isInformed(start));
    auto now = start;
    const auto runFor = [&](absl::Duration duration) {
        for (const auto end = now + duration; now < end; now += absl::Milliseconds(250)) {
            table.advanceHeartbeat(now, HostStage::Ready, true);
        }
    };
    runFor(absl::Seconds(2));
    CHECK(!table.isInformed(now));
    runFor(absl::Seconds(1));
    CHECK(table.isInformed(now));
    now += absl::Seconds(2);
    CHECK(!table.isInformed(now));
    runFor(absl::Seconds(2));
    CHECK(!table.isInformed(now));
    runFor(absl::Seconds(1));
    CHECK(table.isInformed(now));
}
