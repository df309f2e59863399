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

/** Answers exchanges with the sender's name; a sender named "slow" waits. */
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

auto nameOf(PeerClients &clients, const std::string &address, const std::string &name, absl::Duration timeout) -> std::string
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

TEST_CASE("a peer's call reaches the server and its reply comes back")
{
    auto server = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
    REQUIRE(server.start());
    auto clients = PeerClients();
    CHECK(nameOf(clients, serverAddress(), "one", absl::Seconds(2)) == "one");
    CHECK(nameOf(clients, serverAddress(), "two", absl::Seconds(2)) == "two");
}

// Guards against a late reply that is taken for the reply of the next call on the same connection.
TEST_CASE("a call that timed out leaves no reply for the next call")
{
    auto server = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
    REQUIRE(server.start());
    auto clients = PeerClients();
    CHECK(nameOf(clients, serverAddress(), "first", absl::Seconds(2)) == "first");
    CHECK(nameOf(clients, serverAddress(), "slow", absl::Milliseconds(50)) == "error");
    absl::SleepFor(absl::Milliseconds(500));
    CHECK(nameOf(clients, serverAddress(), "next", absl::Seconds(2)) == "next");
}

// Guards against a stop that waits for clients that stay connected, and against connections to the earlier server that break the next call.
TEST_CASE("a server that is started again answers after one failed call at most")
{
    auto clients = PeerClients();
    {
        auto server = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
        REQUIRE(server.start());
        CHECK(nameOf(clients, serverAddress(), "one", absl::Seconds(2)) == "one");
        const auto before = monotonicNow();
        server.stop();
        CHECK(monotonicNow() - before < absl::Seconds(5));
    }
    auto server = PeerServer(serverAddress(), std::make_shared<peer::PeerProcessor>(std::make_shared<EchoPeer>()));
    REQUIRE(server.start());
    static_cast<void>(nameOf(clients, serverAddress(), "lost", absl::Seconds(2)));
    CHECK(nameOf(clients, serverAddress(), "two", absl::Seconds(2)) == "two");
}

TEST_CASE("start reports an address that can't be used")
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

// Guards against a call that hangs on a peer that accepts connections and never answers, or on a name that needs a resolver.
TEST_CASE("calls to unusable addresses fail with an error")
{
    auto clients = PeerClients();
    CHECK(nameOf(clients, testIp(5, 2) + ":19052", "any", absl::Milliseconds(200)) == "error");
    CHECK(nameOf(clients, "localhost:19052", "any", absl::Milliseconds(200)) == "error");
}
