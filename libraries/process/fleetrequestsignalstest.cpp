#include "core/capturedoutput.h"
#include "process/twobackendfixture.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct MarkCase
{
    std::string title_;
    int status_;
    std::string headers_;
    std::string body_;
    bool isMarked_;
    bool isIgnored_;
};

constexpr auto body = "Content-Length: 2\r\n\r\nok";
constexpr auto cutBody = "Content-Length: 9\r\n\r\nok";

}

// Guards against further requests to a server that leaves or asked for a pause, and against losing a server because of a malformed header.
TEST_CASE("a marked backend server gets no further request, and bad input changes nothing")
{
    const auto cases = std::vector<MarkCase> {
        { "no signal", 200, "", body, false, false },
        { "leaving", 200, "X-Leaving: 1\r\n", body, true, false },
        { "leaving, failed response", 500, "X-Leaving: 1\r\n", body, true, false },
        { "leaving, body cut off", 200, "X-Leaving: 1\r\n", cutBody, true, false },
        { "leaving, head cut off", 200, "X-Leaving: 1\r\n", "", false, false },
        { "leaving, another value", 200, "X-Leaving: yes\r\n", body, false, true },
        { "pause, not run", 503, "X-Not-Executed: 1\r\nRetry-After: 60\r\n", body, true, false },
        { "pause, failed", 503, "Retry-After: 60\r\n", body, true, false },
        { "pause, body cut off", 503, "Retry-After: 60\r\n", cutBody, true, false },
        { "pause above the maximum", 503, "X-Not-Executed: 1\r\nRetry-After: 86400\r\n", body, true, true },
        { "pause, a date", 503, "X-Not-Executed: 1\r\nRetry-After: Fri, 31 Dec 2027 23:59:59 GMT\r\n", body, false, true },
        { "pause on another status", 200, "Retry-After: 60\r\n", body, false, true },
    };
    for (const auto &markCase : cases) {
        CAPTURE(markCase.title_);
        const auto script = [&](const ScriptedRequest &request) {
            auto first = ScriptedReply {};
            first.bytes_ =
                fmt::format("HTTP/1.1 {} S\r\nX-Request-Id: {}\r\n{}{}", markCase.status_, requestIdIn(request.head_), markCase.headers_, markCase.body_);
            first.close_ = markCase.body_ != body;
            return request.indexOnServer_ == 0 ? first : ok(request);
        };
        auto fixture = TwoBackendFixture(script, ok);
        CHECK(fixture.send("id-1").status_ == okStatus);
        CHECK(fixture.requestCount(0) == 1);
        // Longer than a server counts as full after a rejection.
        absl::SleepFor(absl::Milliseconds(300));
        for (auto number = 0; number < 5; ++number) {
            CHECK(fixture.send(fmt::format("later-{}", number)).status_ == okStatus);
        }
        CHECK(fixture.requestCount(0) == (markCase.isMarked_ ? 1 : 6));
        const auto counts = fixture.counts();
        CHECK(counts.leavingMarks_ + counts.pauseMarks_ == (markCase.isMarked_ ? 1 : 0));
        CHECK(counts.ignoredHeaders_ == (markCase.isIgnored_ ? 1 : 0));
        CHECK(counts.keptFromLeaving_ + counts.keptFromPaused_ >= (markCase.isMarked_ ? 5 : 0));
        CHECK(counts.sentDespiteMark_ == 0);
        fixture.restartFirst();
        CHECK(fixture.send("id-2").status_ == okStatus);
        CHECK(fixture.requestCount(0) == (markCase.isMarked_ ? 2 : 7));
    }
}

// Guards against holding a request that can't be served until its deadline, and against a Retry-After that invites callers before the pause ends.
TEST_CASE("a request that no server wants before its deadline is refused at once as not run")
{
    struct RefusalCase
    {
        std::string firstPause_;
        std::string secondPause_;
        std::string retryAfter_;
    };
    const auto cases = std::vector<RefusalCase> { { "60", "60", "5.0" }, { "60", "5", "5.0" } };
    for (const auto &refusalCase : cases) {
        auto fixture = TwoBackendFixture(
            [&](const ScriptedRequest &request) {
                return rejectFirst(request, refusalCase.firstPause_);
            },
            [&](const ScriptedRequest &request) {
                return rejectFirst(request, refusalCase.secondPause_);
            });
        for (const auto *id : { "id-1", "id-2", "id-3" }) {
            const auto begun = monotonicNow();
            const auto response = fixture.send(id);
            CHECK(monotonicNow() - begun < absl::Seconds(1));
            CHECK(response.status_ == unavailableStatus);
            CHECK(headerValue(response.headers_, outcomeHeader) == "not-run");
            CHECK(headerValue(response.headers_, reasonHeader) == "no_capacity");
            CHECK(headerValue(response.headers_, "Retry-After") == refusalCase.retryAfter_);
        }
        CHECK(fixture.requestCount(0) == 1);
        CHECK(fixture.requestCount(1) == 1);
    }
}

// Guards against refusing a request that a server can still serve in time, and against sending it before the pause has ended.
TEST_CASE("a request waits for the first server that returns in time")
{
    const auto script = [](const ScriptedRequest &request) {
        return rejectFirst(request, "1");
    };
    auto fixture = TwoBackendFixture(script, script);
    const auto begun = monotonicNow();
    CHECK(fixture.send("id-1").status_ == unavailableStatus);
    const auto response = fixture.send("id-2");
    CHECK(response.status_ == okStatus);
    CHECK(monotonicNow() - begun >= absl::Seconds(1));
    CHECK(monotonicNow() - begun < absl::Seconds(3));
    CHECK(fixture.requestCount(0) + fixture.requestCount(1) == 3);
}

// Guards against a mark whose cause, server or end can't be found from a refused request.
TEST_CASE("a mark, its end and an ignored header have log lines")
{
    auto output = CapturedOutput();
    auto fixture = TwoBackendFixture(
        [](const ScriptedRequest &request) {
            return rejectFirst(request, "1");
        },
        [](const ScriptedRequest &request) {
            return reply(request, okStatus, "X-Leaving: 1\r\nRetry-After: soon\r\n");
        });
    CHECK(fixture.send("id-1").status_ == okStatus);
    absl::SleepFor(absl::Milliseconds(1600));
    CHECK(fixture.send("id-2").status_ == okStatus);
    auto marked = std::vector<nlohmann::json> {};
    auto ended = std::vector<nlohmann::json> {};
    auto ignored = std::vector<nlohmann::json> {};
    for (auto &line : output.lines()) {
        auto &lines = line.at("event") == "backend_marked" ? marked : line.at("event") == "backend_mark_ended" ? ended : ignored;
        if (line.at("event").get<std::string>().starts_with("backend_mark") || line.at("event") == "backend_signal_ignored") {
            lines.push_back(line);
        }
    }
    REQUIRE(marked.size() == 2);
    CHECK(marked[0].at("request") == "id-1");
    CHECK(marked[0].at("backend") == "first");
    CHECK(marked[0].at("incarnation") == "1");
    CHECK(marked[0].at("signal") == "paused");
    CHECK(marked[0].at("pause_s") == "1");
    CHECK(marked[0].at("until").get<std::string>().size() > std::string("2026-01-01T00:00:00").size());
    CHECK(marked[1].at("backend") == "second");
    CHECK(marked[1].at("signal") == "leaving");
    REQUIRE(ended.size() == 1);
    CHECK(ended[0].at("backend") == "first");
    CHECK(ended[0].at("signal") == "paused");
    REQUIRE(ignored.size() == 1);
    CHECK(ignored[0].at("request") == "id-1");
    CHECK(ignored[0].at("header") == "Retry-After");
    CHECK(ignored[0].at("value") == "soon");
    CHECK(ignored[0].at("reason") == "status is not 503");
}
