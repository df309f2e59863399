#include "process/membership.h"

#include "core/clock.h"
#include "core/testaddress.h"
#include "generated/Peer.h"
#include "process/peerserver.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <memory>

using namespace lycheecleat;

namespace
{

auto localAddress() -> std::string
{
    return testIp(6, 1) + ":19061";
}

auto addressOf(int index) -> std::string
{
    return testIp(6, 10 + index) + ":19062";
}

/** A peer that responds with its name after a delay. A long delay simulates a frozen process. */
class StubPeer : public peer::PeerNull
{
public:
    StubPeer(std::string name, absl::Duration delay)
        : name_(std::move(name))
        , delay_(delay)
    {
    }

    auto exchange(peer::HostState &reply, const peer::HostState &) -> void override
    {
        ++calls_;
        absl::SleepFor(delay_);
        reply.name = name_;
        reply.run = "run-of-" + name_;
    }

    std::atomic<int> calls_ = 0;

private:
    std::string name_;
    absl::Duration delay_;
};

/** Stub peers, their servers and their declarations. */
struct Fleet
{
    std::vector<std::shared_ptr<StubPeer>> peers_;
    std::vector<std::unique_ptr<PeerServer>> servers_;
    std::vector<EntryHost> hosts_;
};

auto startFleet(int count, int frozen) -> Fleet
{
    auto fleet = Fleet {};
    for (auto index = 0; index < count; ++index) {
        const auto name = "peer-" + std::to_string(index);
        fleet.peers_.push_back(std::make_shared<StubPeer>(name, index < frozen ? absl::Seconds(3) : absl::ZeroDuration()));
        fleet.servers_.push_back(std::make_unique<PeerServer>(addressOf(index), std::make_shared<peer::PeerProcessor>(fleet.peers_.back())));
        REQUIRE(fleet.servers_.back()->start());
        fleet.hosts_.push_back(EntryHost { name, "zone", "127.0.6.1:1", addressOf(index) });
    }
    return fleet;
}

auto stateNamed(const std::string &name) -> peer::HostState
{
    auto state = peer::HostState {};
    state.name = name;
    return state;
}

}

// Guards against a host that counts as live for ever, or as down between two regular exchanges.
TEST_CASE("a peer is live until the liveness timeout has passed without contact")
{
    const auto now = absl::UnixEpoch();
    CHECK(isLive(now - absl::Seconds(2), now, 17));
    CHECK_FALSE(isLive(now - absl::Milliseconds(2001), now, 17));
    CHECK_FALSE(isLive(absl::InfinitePast(), now, 17));
    CHECK(isLive(now - absl::Seconds(4), now, 64));
}

// Guards against frozen peers that delay the exchanges with all others.
TEST_CASE("frozen peers do not delay exchanges with the others")
{
    const auto frozen = 6;
    const auto count = 12;
    auto fleet = startFleet(count, frozen);
    auto clients = PeerClients();
    auto membership = Membership(MembershipServices { "own",
                                                      &clients,
                                                      [] {
                                                          return stateNamed("own");
                                                      },
                                                      [](const PeerUpdate &) {} });
    membership.setHosts(monotonicNow(), fleet.hosts_);
    membership.start();
    absl::SleepFor(absl::Seconds(2));
    auto callsBefore = std::vector<int> {};
    for (const auto &peer : fleet.peers_) {
        callsBefore.push_back(peer->calls_);
    }
    absl::SleepFor(absl::Seconds(3));
    for (auto index = frozen; index < count; ++index) {
        CAPTURE(index);
        // Six exchanges fit into three seconds; three of them keep a peer live.
        CHECK(fleet.peers_[index]->calls_ - callsBefore[index] >= 3);
    }
    const auto live = membership.liveNames(monotonicNow());
    CHECK(live.size() == count - frozen);
    CHECK(std::find(live.begin(), live.end(), "peer-0") == live.end());
    membership.stop();
}

TEST_CASE("a received state is recorded and passed on with the declared address of its sender")
{
    auto clients = PeerClients();
    auto updates = std::vector<PeerUpdate> {};
    auto membership = Membership(MembershipServices { "own",
                                                      &clients,
                                                      [] {
                                                          return stateNamed("own");
                                                      },
                                                      [&](const PeerUpdate &update) {
                                                          updates.push_back(update);
                                                      } });
    const auto now = monotonicNow();
    membership.setHosts(now, { EntryHost { "own", "zone", "", localAddress() }, EntryHost { "peer", "zone", "", addressOf(1) } });
    auto state = stateNamed("peer");
    state.run = "r1";
    state.peerAddress = "127.0.6.99:1";
    membership.receive(now, state);
    state.name = "stranger";
    membership.receive(now, state);
    REQUIRE(updates.size() == 2);
    CHECK(updates[0].address_ == addressOf(1));
    CHECK(updates[1].address_ == "127.0.6.99:1");
    REQUIRE(membership.views().size() == 1);
    CHECK(membership.views()[0].state_.run == "r1");
    CHECK(membership.liveNames(now) == std::vector<std::string> { "peer" });
}

// Guards against keeping the run of the previous machine for a host whose address has changed.
TEST_CASE("a host with a new address is not live until it has been seen again")
{
    auto clients = PeerClients();
    auto membership = Membership(MembershipServices { "own",
                                                      &clients,
                                                      [] {
                                                          return stateNamed("own");
                                                      },
                                                      [](const PeerUpdate &) {} });
    const auto now = monotonicNow();
    membership.setHosts(now, { EntryHost { "peer", "zone", "", addressOf(1) } });
    membership.receive(now, stateNamed("peer"));
    membership.setHosts(now, { EntryHost { "peer", "zone", "", addressOf(2) } });
    CHECK(membership.liveNames(now).empty());
}
