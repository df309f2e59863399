#include "connection/backendpool.h"
#include "connection/brokenresponses.h"
#include "connection/scriptedserver.h"
#include "core/clock.h"

#include <doctest/doctest.h>

#include <string>

using namespace lycheecleat;

namespace
{

constexpr auto bodyLimit = std::size_t { 1024 } * 1024;

/** Upper bound of what the server can send before the limits end the exchange, including the buffers of both sockets. */
constexpr auto maximumSentBytes = std::size_t { 24 } * 1024 * 1024;

constexpr auto callDeadline = absl::Seconds(20);

/** Enough time to read up to the limits on a busy machine, and far below the deadline. */
constexpr auto rejectionTimeLimit = absl::Seconds(10);

}

// Guards against a backend server that exhausts memory or occupies a thread by sending an endless response.
TEST_CASE("an endless response ends the exchange at a size limit")
{
    auto cases = endlessResponses("X-Id: own\r\n");
    cases.push_back({ "responses to other requests", "", "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 1\r\n\r\na" });
    for (const auto &endlessCase : cases) {
        CAPTURE(endlessCase.title_);
        const auto server = ScriptedServer("127.0.0.1", [&](const ScriptedRequest &) {
            return endlessReply(endlessCase.prefix_, endlessCase.repeated_);
        });
        auto settings = BackendPoolSettings {};
        settings.maximumResponseBody_ = bodyLimit;
        settings.acceptsUndelimited_ = true;
        settings.headers_.requestId_ = "X-Id";
        auto pool = BackendPool(settings);
        const auto startedAt = monotonicNow();
        auto call = BackendCall { server.address(), startedAt + callDeadline, true };
        call.requestId_ = "own";
        const auto exchange = pool.exchange(call, { "GET", "/a", { { "Host", "h" } }, "" });
        REQUIRE(server.requestCount() == 1);
        CHECK(exchange.status_ == ExchangeStatus::Incomplete);
        CHECK(monotonicNow() - startedAt < rejectionTimeLimit);
        CHECK(server.sentBytes() < maximumSentBytes);
        CHECK(pool.idleCount(server.address()) == 0);
    }
}
