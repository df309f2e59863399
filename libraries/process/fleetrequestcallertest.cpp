#include "connection/connectedpair.h"
#include "process/twobackendfixture.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

using namespace lycheecleat;

namespace
{

struct StageCase
{
    std::string title_;
    Repeatability repeatability_;
};

const auto stageCases = std::vector<StageCase> { { "repeatable", Repeatability::Repeatable }, { "at most once", Repeatability::AtMostOnce } };

/** Closes the caller's connection and waits until the close has arrived. */
auto leave(ConnectedPair &pair) -> void
{
    {
        const auto closed = std::move(pair.caller_);
    }
    while (!isPeerClosed(pair.accepted_.socket())) {
        absl::SleepFor(absl::Milliseconds(1));
    }
}

auto checkIsRefusedAsLeft(const HttpResponse &response) -> void
{
    CHECK(response.status_ == unavailableStatus);
    CHECK(headerValue(response.headers_, outcomeHeader) == "not-run");
    CHECK(headerValue(response.headers_, reasonHeader) == "caller_left");
}

}

// Guards against runs for nobody, and against a quota that such requests use up (GONE).
TEST_CASE("a request whose caller left before it was handled is not sent")
{
    for (const auto &stageCase : stageCases) {
        CAPTURE(stageCase.title_);
        auto fixture = TwoBackendFixture(ok, ok, stageCase.repeatability_);
        auto pair = makeConnectedPair(testIp(9, 6));
        CHECK(fixture.send("present", pair.accepted_.socket()).status_ == okStatus);
        leave(pair);
        checkIsRefusedAsLeft(fixture.send("left", pair.accepted_.socket()));
        CHECK(fixture.requestCount(0) + fixture.requestCount(1) == 1);
    }
}

// Guards against a second sending after a rejection for which the request has waited longer than its caller (GONE).
TEST_CASE("a rejected request whose caller left meanwhile is not sent to the next backend server")
{
    for (const auto &stageCase : stageCases) {
        for (const auto isLeaving : { false, true }) {
            CAPTURE(stageCase.title_);
            CAPTURE(isLeaving);
            auto pair = makeConnectedPair(testIp(9, 6));
            const auto rejectAfterLeaving = [&](const ScriptedRequest &request) {
                if (isLeaving) {
                    leave(pair);
                }
                return reply(request, unavailableStatus, "X-Not-Executed: 1\r\n");
            };
            auto fixture = TwoBackendFixture(rejectAfterLeaving, ok, stageCase.repeatability_);
            const auto response = fixture.send("rejected", pair.accepted_.socket());
            CHECK(fixture.requestCount(0) == 1);
            CHECK(fixture.requestCount(1) == (isLeaving ? 0 : 1));
            CHECK((response.status_ == okStatus) == !isLeaving);
        }
    }
}

// Guards against sending a request that waited for a paused backend server, when its caller left during the wait (GONE).
TEST_CASE("a request whose caller leaves while it waits for a paused backend server is not sent")
{
    constexpr auto leavingAfter = absl::Milliseconds(300);
    constexpr auto longestWait = absl::Milliseconds(900);
    const auto pause = [](const ScriptedRequest &request) {
        return rejectFirst(request, "1");
    };
    for (const auto &stageCase : stageCases) {
        CAPTURE(stageCase.title_);
        auto fixture = TwoBackendFixture(pause, pause, stageCase.repeatability_);
        CHECK(fixture.send("pausing").status_ == unavailableStatus);
        auto pair = makeConnectedPair(testIp(9, 6));
        auto caller = std::thread([&] {
            absl::SleepFor(leavingAfter);
            leave(pair);
        });
        const auto begun = monotonicNow();
        checkIsRefusedAsLeft(fixture.send("waiting", pair.accepted_.socket()));
        CHECK(monotonicNow() - begun < longestWait);
        caller.join();
        CHECK(fixture.requestCount(0) + fixture.requestCount(1) == 2);
    }
}
