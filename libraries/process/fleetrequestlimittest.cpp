#include "core/capturedoutput.h"
#include "process/twobackendfixture.h"

#include <absl/strings/numbers.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <set>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct LimitCase
{
    std::string title_;
    std::string headers_;
    bool isLimited_;
};

auto withLimit(const std::string &headers) -> ScriptedServer::Script
{
    return [headers](const ScriptedRequest &request) {
        return reply(request, okStatus, headers);
    };
}

/** Longer than the issuer of the fixture says that a further permit may take. */
auto awaitRetry() -> void
{
    absl::SleepFor(absl::Milliseconds(5));
}

}

// Guards against requests to a server beyond the limit that it named, and against a server that gets none because of a bad value.
TEST_CASE("a server that names a limit gets requests with permits only, and bad values change nothing")
{
    const auto cases = std::vector<LimitCase> {
        { "none", "", false },
        { "limit", "X-Limit: 3.2\r\n", true },
        { "zero", "X-Limit: 0\r\n", true },
        { "negative", "X-Limit: -1\r\n", false },
        { "text", "X-Limit: few\r\n", false },
        { "NaN", "X-Limit: nan\r\n", false },
        { "two values", "X-Limit: 3\r\nX-Limit: 4\r\n", false },
    };
    for (const auto &limitCase : cases) {
        CAPTURE(limitCase.title_);
        auto fixture = TwoBackendFixture(withLimit(limitCase.headers_), ok);
        CHECK(fixture.send("first").status_ == okStatus);
        CHECK(fixture.requestCount(0) == 1);
        fixture.setPermits(0);
        CHECK(fixture.send("without permit").status_ == okStatus);
        CHECK(fixture.requestCount(0) == (limitCase.isLimited_ ? 1 : 2));
        awaitRetry();
        fixture.setPermits(2);
        CHECK(fixture.send("with permit").status_ == okStatus);
        CHECK(fixture.requestCount(0) == (limitCase.isLimited_ ? 2 : 3));
        CHECK(fixture.permitsAsked() == (limitCase.isLimited_ ? 2 : 0));
        CHECK(fixture.requestCount(0) + fixture.requestCount(1) == 3);
    }
}

// Guards against a limit that holds on after the server has stopped to name it.
TEST_CASE("a limit ends with a response without it")
{
    auto fixture = TwoBackendFixture(
        [](const ScriptedRequest &request) {
            return reply(request, okStatus, request.indexOnServer_ == 0 ? "X-Limit: 1\r\n" : "");
        },
        ok);
    CHECK(fixture.send("first").status_ == okStatus);
    fixture.setPermits(1);
    for (auto number = 0; number < 4; ++number) {
        CHECK(fixture.send(fmt::format("later-{}", number)).status_ == okStatus);
    }
    CHECK(fixture.requestCount(0) == 5);
    CHECK(fixture.permitsAsked() == 1);
}

// Guards against holding requests that no server takes, and against callers that all return at one instant.
TEST_CASE("a request that only servers at their limits could serve is refused at once, and the callers return one after another")
{
    auto fixture = TwoBackendFixture(withLimit("X-Limit: 0.5\r\n"), withLimit("X-Limit: 0.5\r\n"));
    CHECK(fixture.send("first").status_ == okStatus);
    fixture.setPermits(0);
    CHECK(fixture.send("second").status_ == okStatus);
    auto delays = std::set<std::string> {};
    for (auto number = 0; number < 20; ++number) {
        awaitRetry();
        const auto begun = monotonicNow();
        const auto response = fixture.send(fmt::format("refused-{}", number));
        CHECK(monotonicNow() - begun < absl::Milliseconds(200));
        CHECK(response.status_ == unavailableStatus);
        CHECK(headerValue(response.headers_, outcomeHeader) == "not-run");
        CHECK(headerValue(response.headers_, reasonHeader) == "no_capacity");
        const auto delay = headerValue(response.headers_, "Retry-After");
        auto seconds = 0.0;
        REQUIRE(absl::SimpleAtod(delay, &seconds));
        CHECK(seconds >= 0.3);
        CHECK(seconds <= 2.0);
        delays.insert(delay);
    }
    CHECK(delays.size() > 5);
    CHECK(fixture.requestCount(0) + fixture.requestCount(1) == 2);
}

// Guards against a request that waits for one issuer after the other when hosts do not answer.
TEST_CASE("a request asks no further issuer after one that did not answer")
{
    auto fixture = TwoBackendFixture(withLimit("X-Limit: 0.5\r\n"), withLimit("X-Limit: 0.5\r\n"));
    CHECK(fixture.send("first").status_ == okStatus);
    fixture.setPermits(0);
    CHECK(fixture.send("second").status_ == okStatus);
    awaitRetry();
    fixture.setPermits(0, true);
    const auto asked = fixture.permitsAsked();
    CHECK(fixture.send("unanswered").status_ == unavailableStatus);
    CHECK(fixture.permitsAsked() == asked + 1);
}

// Guards against a request that is kept from a server, or refused, without a trace of the limit that did it.
TEST_CASE("a limit and the permits of a request have log lines")
{
    auto output = CapturedOutput();
    auto fixture = TwoBackendFixture(withLimit("X-Limit: 3.2\r\n"), ok);
    CHECK(fixture.send("id-1").status_ == okStatus);
    CHECK(fixture.send("id-2").status_ == okStatus);
    auto limits = std::vector<nlohmann::json> {};
    auto requests = std::vector<nlohmann::json> {};
    for (auto &line : output.lines()) {
        if (line.at("event") == "backend_limit") {
            limits.push_back(line);
        }
        if (line.at("event") == "request") {
            requests.push_back(line);
        }
    }
    REQUIRE(limits.size() == 1);
    CHECK(limits.front().at("request") == "id-1");
    CHECK(limits.front().at("backend") == "first");
    CHECK(limits.front().at("limit") == "3.2");
    CHECK(limits.front().at("limit_before") == "none");
    REQUIRE(requests.size() == 2);
    CHECK(!requests[0].contains("permits_asked"));
    CHECK(requests[1].at("permits_asked") == "1");
    CHECK(requests[1].at("backend") == "second");
}
