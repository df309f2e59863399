#include "connection/backendpool.h"

#include "connection/scriptedserver.h"
#include "core/clock.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

auto plainRequest() -> RequestContent
{
    return { "GET", "/a", { { "Host", "h" } }, "" };
}

auto callTo(const ScriptedServer &server, const ConnectionPeer &peer) -> BackendCall
{
    auto call = BackendCall { server.address(), monotonicNow() + absl::Seconds(5), true };
    call.peer_ = peer;
    return call;
}

auto makeServer() -> std::unique_ptr<ScriptedServer>
{
    return std::make_unique<ScriptedServer>("127.0.0.1", [](const ScriptedRequest &) {
        return ScriptedReply { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
    });
}

}

// Guards against descriptors that are lost to servers that have left, expired or been replaced, until no connection can be accepted.
TEST_CASE("idle connections to peers that are not in use are closed without a further request")
{
    const auto current = ConnectionPeer { "b", 2 };
    struct Case
    {
        std::string description_;
        ConnectionPeer peer_;
        absl::Duration idleTime_;
        bool isKept_;
    };
    const auto cases = std::vector<Case> {
        { "in use", current, absl::ZeroDuration(), true },
        { "idle for too long", current, absl::Seconds(10), false },
        { "earlier start", { "b", 1 }, absl::ZeroDuration(), false },
        { "another server", { "a", 2 }, absl::ZeroDuration(), false },
    };
    for (const auto &idleCase : cases) {
        CAPTURE(idleCase.description_);
        const auto server = makeServer();
        auto pool = BackendPool();
        REQUIRE(pool.exchange(callTo(*server, idleCase.peer_), plainRequest()).status_ == ExchangeStatus::Complete);
        REQUIRE(pool.idleCount(server->address()) == 1);
        pool.closeUnused(monotonicNow() + idleCase.idleTime_, [&](const std::string &address, const ConnectionPeer &peer) {
            return address == server->address() && peer == current;
        });
        CHECK(pool.idleCount(server->address()) == (idleCase.isKept_ ? 1 : 0));
        CHECK(pool.idleCount() == (idleCase.isKept_ ? 1 : 0));
    }
}

// Guards against a request on a connection to the server that had the address before.
TEST_CASE("a connection is not used for another peer at the same address")
{
    const auto server = makeServer();
    auto pool = BackendPool();
    for (const auto &peer : std::vector<ConnectionPeer> { { "b", 1 }, { "b", 2 }, { "c", 2 } }) {
        CHECK(!pool.exchange(callTo(*server, peer), plainRequest()).connectionReused_);
        CHECK(pool.exchange(callTo(*server, peer), plainRequest()).connectionReused_);
        CHECK(pool.idleCount() == 1);
    }
}

// Guards against idle connections to many servers that take up all descriptors.
TEST_CASE("the connections that have been idle for longest are closed beyond the limit")
{
    constexpr auto limit = std::size_t { 8 };
    constexpr auto serverCount = std::size_t { 20 };
    auto settings = BackendPoolSettings {};
    settings.maximumIdle_ = limit;
    auto pool = BackendPool(settings);
    auto servers = std::vector<std::unique_ptr<ScriptedServer>> {};
    for (auto index = std::size_t { 0 }; index < serverCount; ++index) {
        servers.push_back(makeServer());
        REQUIRE(pool.exchange(callTo(*servers.back(), { "b", 1 }), plainRequest()).status_ == ExchangeStatus::Complete);
        CHECK(pool.idleCount() <= limit);
        CHECK(pool.idleCount(servers.back()->address()) == 1);
    }
    CHECK(pool.idleCount(servers.front()->address()) == 0);
}
