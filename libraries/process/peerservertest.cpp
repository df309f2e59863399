#include "process/peerserver.h"

#include "connection/peerclients.h"
#include "core/clock.h"
#include "core/testaddress.h"
#include "generated/Peer.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <atomic>

using namespace lycheecleat;

namespace
{

auto serverAddress() -> std::string
{
    return testIp(5, 1) + ":19051";
}

/** Replies to exchanges with the sender's name; the reply to a sender named "slow" takes 400 ms. */
class EchoPeer : public peer::PeerNull
{
public:
    auto exchange(peer::HostState &reply, const peer::HostState &sender) -> void override
    {
        if (sender.name == "slow") {
            absl::SleepFor(absl::Milliseconds(400));
        }
        reply.name = sender.name;
        reply.revision = ++calls_;
    }

private:
    std::atomic<int> calls_ = 0;
};

auto replyNameOf(PeerClients &clients, const std::string &address, const std::string &name, absl::Duration timeout) -> std::string
{
    auto state = peer::HostState {};
    state.name = name;
    const auto outcome = attempt([&] {
        return clients.exchange(address, state, timeout);
    });
    const auto *reply = std::get_if<peer::HostState>(&outcome);
    return reply == nullptr ? "error" : reply->name;
}

}

TEST_CASE("a call from a peer gets the reply of the processor")
{
    auto server = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
    REQUIRE(server.start());
    auto clients = PeerClients();
    CHECK(replyNameOf(clients, serverAddress(), "one", absl::Seconds(2)) == "one");
    CHECK(replyNameOf(clients, serverAddress(), "two", absl::Seconds(2)) == "two");
}

// Guards against a late reply that is read as the reply to the next call on the same connection.
TEST_CASE("the late reply to a call that timed out isn't read by the next call")
{
    auto server = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
    REQUIRE(server.start());
    auto clients = PeerClients();
    CHECK(replyNameOf(clients, serverAddress(), "first", absl::Seconds(2)) == "first");
    CHECK(replyNameOf(clients, serverAddress(), "slow", absl::Milliseconds(50)) == "error");
    absl::SleepFor(absl::Milliseconds(500));
    CHECK(replyNameOf(clients, serverAddress(), "next", absl::Seconds(2)) == "next");
}

// Guards against a stop that waits for connected clients, and against stale connections to the stopped server that make more than one call fail.
TEST_CASE("after a restart of the server at most one call fails")
{
    auto clients = PeerClients();
    {
        auto server = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
        REQUIRE(server.start());
        CHECK(replyNameOf(clients, serverAddress(), "one", absl::Seconds(2)) == "one");
        const auto before = monotonicNow();
        server.stop();
        CHECK(monotonicNow() - before < absl::Seconds(5));
    }
    auto server = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
    REQUIRE(server.start());
    static_cast<void>(replyNameOf(clients, serverAddress(), "lost", absl::Seconds(2)));
    CHECK(replyNameOf(clients, serverAddress(), "two", absl::Seconds(2)) == "two");
}

TEST_CASE("start fails with an error if the address can't be used")
{
    auto first = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
    REQUIRE(first.start());
    auto second = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
    auto malformed = PeerServer("nowhere", std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
    for (auto *server : { &second, &malformed }) {
        const auto outcome = attempt([&] {
            return server->start();
        });
        CHECK(std::holds_alternative<Error>(outcome));
    }
}

// Guards against calls that hang on a peer that never responds, or on a name that needs resolution.
TEST_CASE("calls to unusable addresses fail with an error")
{
    auto clients = PeerClients();
    CHECK(replyNameOf(clients, testIp(5, 2) + ":19052", "any", absl::Milliseconds(200)) == "error");
    CHECK(replyNameOf(clients, "localhost:19052", "any", absl::Milliseconds(200)) == "error");
}
