#include "request/backendcondition.h"

#include "core/digest.h"

#include <doctest/doctest.h>

#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

struct OutcomeCase
{
    std::string title_;
    std::vector<ExchangeOutcome> outcomes_;
    bool isEjected_;
    bool isFull_;
};

struct QueueCase
{
    int waiting_;
    bool isFull_;
};

}

// Guards against further requests to a dead server, and against ejecting a healthy one after a single failure.
TEST_CASE("failures eject a backend server")
{
    using enum ExchangeOutcome;
    const auto cases = std::vector<OutcomeCase> {
        { "responses", { Responded, Responded }, false, false },
        { "unreachable", { Unreachable }, true, false },
        { "one incomplete response", { Responded, Incomplete }, false, false },
        { "two incomplete responses", { Incomplete, Incomplete }, true, false },
        { "incomplete responses with a complete one between", { Incomplete, Responded, Incomplete }, false, false },
        { "mostly failing", { Failed, Responded, Failed, Failed }, true, false },
        { "overloaded", { Overloaded }, false, true },
    };
    for (const auto &outcomeCase : cases) {
        CAPTURE(outcomeCase.title_);
        auto condition = BackendCondition {};
        for (const auto outcome : outcomeCase.outcomes_) {
            recordExchange(condition, start, { outcome });
        }
        CHECK(isEjected(condition, start) == outcomeCase.isEjected_);
        CHECK(isFull(condition, start) == outcomeCase.isFull_);
        CHECK_FALSE(isEjected(condition, start + absl::Minutes(1)));
        CHECK_FALSE(isFull(condition, start + absl::Minutes(1)));
    }
}

namespace
{

struct StallCase
{
    std::string title_;
    absl::Duration waited_;
    /** Time from a response to another request to the end of the wait; none if there was no such response. */
    std::optional<absl::Duration> responseBeforeEnd_;
    bool isEjected_;
};

}

// Guards against detecting an unresponsive server only after several requests have timed out (incidents ab78 and 0a93), and against ejecting a healthy
// server that has lost one response.
TEST_CASE("one timeout without a response to any other request ejects a backend server")
{
    const auto cases = std::vector<StallCase> {
        { "no response during the whole wait", absl::Milliseconds(2500), std::nullopt, true },
        { "response to another request meanwhile", absl::Milliseconds(2500), absl::Milliseconds(500), false },
        { "wait shorter than the stall timeout", absl::Milliseconds(600), std::nullopt, false },
    };
    for (const auto &stallCase : cases) {
        for (const auto hasDisconnected : { false, true }) {
            CAPTURE(stallCase.title_);
            CAPTURE(hasDisconnected);
            auto condition = BackendCondition {};
            const auto end = start + stallCase.waited_;
            recordSend(condition, start);
            if (stallCase.responseBeforeEnd_) {
                recordSend(condition, start);
                recordExchange(condition, end - *stallCase.responseBeforeEnd_, { ExchangeOutcome::Responded, std::nullopt, absl::Milliseconds(400) });
            }
            if (hasDisconnected) {
                recordAbandoned(condition, end, stallCase.waited_);
            } else {
                recordExchange(condition, end, { ExchangeOutcome::Silent, std::nullopt, stallCase.waited_ });
            }
            CHECK(condition.inFlight_ == 0);
            CHECK(isEjected(condition, end) == stallCase.isEjected_);
        }
    }
}

// Guards against sending further requests to an unresponsive server until the first one times out.
TEST_CASE("a backend server that does not respond within the stall timeout is ejected while a request is in flight")
{
    auto condition = BackendCondition {};
    recordSend(condition, start);
    CHECK_FALSE(isEjected(condition, start + absl::Milliseconds(1400)));
    CHECK(isEjected(condition, start + absl::Milliseconds(1600)));
    recordExchange(condition, start + absl::Milliseconds(1200), { ExchangeOutcome::Responded, std::nullopt, absl::Milliseconds(1200) });
    CHECK_FALSE(isEjected(condition, start + absl::Milliseconds(1200)));
    // The stall timeout grows with the average service time.
    recordSend(condition, start + absl::Seconds(2));
    CHECK_FALSE(isEjected(condition, start + absl::Seconds(5)));
    CHECK(isEjected(condition, start + absl::Seconds(7)));
}

// Guards against a burst of requests to a dead server whenever its ejection ends.
TEST_CASE("one request at a time probes a backend server after its ejection")
{
    auto condition = BackendCondition {};
    recordSend(condition, start);
    recordExchange(condition, start, { ExchangeOutcome::Unreachable });
    const auto later = start + absl::Seconds(1);
    CHECK_FALSE(isEjected(condition, later));
    recordSend(condition, later);
    CHECK(isEjected(condition, later));
    recordExchange(condition, later, { ExchangeOutcome::Responded, std::nullopt, absl::Milliseconds(300) });
    recordSend(condition, later);
    CHECK_FALSE(isEjected(condition, later));
}

// Guards against acting on an outdated load report, and against moving an object to another server because of a short queue.
TEST_CASE("a backend server counts as full while its reported queue implies a long wait")
{
    const auto cases = std::vector<QueueCase> { { 0, false }, { 1, false }, { 3, true }, { 30, true } };
    for (const auto &queueCase : cases) {
        CAPTURE(queueCase.waiting_);
        auto condition = BackendCondition {};
        recordExchange(condition, start, { ExchangeOutcome::Responded, LoadReport { 3, 0, 3 }, absl::Seconds(1) });
        const auto queue = queueCase.waiting_ / 3.0;
        recordExchange(condition, start, { ExchangeOutcome::Responded, LoadReport { 3, queueCase.waiting_, 3 }, absl::Seconds(1 + queue) });
        CHECK(absl::ToDoubleSeconds(expectedWait(condition, start)) == doctest::Approx(queue));
        CHECK(isFull(condition, start) == queueCase.isFull_);
        CHECK_FALSE(isFull(condition, start + absl::Seconds(5)));
    }
}

// Guards against refusing urgent requests while less urgent ones are served.
TEST_CASE("urgent requests may wait longer")
{
    const auto objective = absl::Seconds(1);
    CHECK(longestUsefulWait(objective, 0) > longestUsefulWait(objective, 1));
    CHECK(longestUsefulWait(objective, 1) > longestUsefulWait(objective, 2));
    CHECK(longestUsefulWait(objective, 2) == longestUsefulWait(objective, 9));
    CHECK(longestUsefulWait(objective, 0) <= objective);
}

// Guards against a crash of a cold backend server because several hosts each send at the whole rate that it tolerates.
TEST_CASE("all hosts together stay within the rate that a cold backend server tolerates")
{
    constexpr auto tolerated = 15.7;
    for (const auto hostCount : { 1, 2, 5, 18, 130 }) {
        CAPTURE(hostCount);
        auto hosts = std::vector<std::uint64_t> {};
        for (auto host = 0; host < hostCount; ++host) {
            hosts.push_back(stableHash("host" + std::to_string(host)) % 100'000'007);
        }
        auto random = std::mt19937(static_cast<unsigned>(hostCount));
        auto sends = std::vector<absl::Time> {};
        auto conditions = std::vector<BackendCondition>(hosts.size());
        for (auto step = 0; step < 20'000; ++step) {
            const auto now = start + absl::Milliseconds(step / 4);
            const auto host = std::uniform_int_distribution<std::size_t>(0, hosts.size() - 1)(random);
            const auto limit = coldRateLimit(tolerated, hosts, hosts[host], 4711);
            if (admitColdRequest(conditions[host], now, limit)) {
                sends.push_back(now);
            }
        }
        CHECK_FALSE(sends.empty());
        for (auto first = std::size_t { 0 }, last = std::size_t { 0 }; last < sends.size(); ++last) {
            while (sends[last] - sends[first] >= absl::Seconds(1)) {
                ++first;
            }
            REQUIRE(static_cast<double>(last - first + 1) <= tolerated);
        }
    }
}
