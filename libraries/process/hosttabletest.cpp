#include "process/hosttable.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

auto identity(const std::string &name, std::int64_t incarnation) -> fleet::HostIdentity
{
    auto made = fleet::HostIdentity {};
    made.name = name;
    made.incarnation = incarnation;
    made.zone = "zone-a";
    made.callerAddress = name + ":1";
    return made;
}

auto gossipOf(const HostTable &table, absl::Time now) -> fleet::Gossip
{
    auto gossip = fleet::Gossip {};
    gossip.sender = *table.self().identity_;
    gossip.heartbeats = table.heartbeats(now);
    return gossip;
}

}

// Guards against lookups that name a host that is dead, leaving or has not started.
TEST_CASE("a host is ready while its heartbeat advances and says so")
{
    auto first = HostTable(identity("first", 1));
    auto second = HostTable(identity("second", 1));
    second.beat(start, HostStage::Starting);
    first.hear(start, gossipOf(second, start));
    CHECK(first.alive(start).size() == 1);
    CHECK(first.ready(start).empty());
    second.beat(start, HostStage::Ready);
    first.hear(start, gossipOf(second, start));
    CHECK(first.ready(start).size() == 1);
    // The same heartbeat again, as a third host would pass it on, does not keep the host alive.
    first.hear(start + absl::Seconds(2), gossipOf(second, start));
    CHECK(first.ready(start + absl::Seconds(4)).empty());
    second.beat(start + absl::Seconds(4), HostStage::Leaving);
    first.hear(start + absl::Seconds(4), gossipOf(second, start + absl::Seconds(4)));
    CHECK(first.alive(start + absl::Seconds(4)).size() == 1);
    CHECK(first.ready(start + absl::Seconds(4)).empty());
}

// Guards against a restarted host whose heartbeats are ignored since its clock went back.
TEST_CASE("a host outdoes the heartbeats of its earlier process")
{
    auto earlier = HostTable(identity("self", 900));
    earlier.beat(start, HostStage::Ready);
    auto peer = HostTable(identity("peer", 1));
    peer.hear(start, gossipOf(earlier, start));
    auto restarted = HostTable(identity("self", 100));
    restarted.hear(start, gossipOf(peer, start));
    restarted.beat(start + absl::Seconds(1), HostStage::Starting);
    peer.hear(start + absl::Seconds(1), gossipOf(restarted, start + absl::Seconds(1)));
    REQUIRE(peer.alive(start + absl::Seconds(3)).size() == 1);
    CHECK(peer.alive(start + absl::Seconds(3))[0].stage_ == HostStage::Starting);
}

// Guards against a host that has just started and takes a share as if it were alone (FAILBACK on trouble-3, seed 927861181180).
TEST_CASE("registered hosts hold shares before they are heard")
{
    auto table = HostTable(identity("self", 1));
    CHECK(table.shareHolders(start).size() == 1);
    table.learn(start, { identity("second", 1), identity("third", 1) });
    CHECK(table.shareHolders(start).size() == 3);
    CHECK(table.alive(start).empty());
    CHECK(table.shareHolders(start + absl::Seconds(30)).size() == 3);
    CHECK(table.shareHolders(start + absl::Minutes(5)).size() == 1);
}
