#include "request/backendlimit.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::FromUnixSeconds(1000);

auto at(double seconds) -> absl::Time
{
    return start + absl::Seconds(seconds);
}

struct ResponseCase
{
    std::string title_;
    LimitStatement known_;
    std::optional<double> named_;
    absl::Time sentAt_;
    absl::Time receivedAt_;
    LimitStatement expected_;
};

struct WindowCase
{
    std::string title_;
    double limit_;
    /** Issuers that hand out permits at the same time. */
    int issuers_;
    double requestsPerSecond_;
};

/** The users' bound: one and a half times what the limit allows in 4 s, and five more. */
constexpr auto windowSeconds = 4.0;

auto allowedInWindow(double limit) -> double
{
    return 1.5 * limit * windowSeconds + 5;
}

auto largestWindow(const std::vector<double> &times) -> std::size_t
{
    auto largest = std::size_t { 0 };
    for (auto first = std::size_t { 0 }, last = std::size_t { 0 }; last < times.size(); ++last) {
        while (times[last] - times[first] >= windowSeconds) {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return largest;
}

}

// Guards against a limit that ends, or rises, by a response that was written before the server named it.
TEST_CASE("a stricter limit holds at once, a looser one or none only from a later request")
{
    const auto limited = LimitStatement { 3, at(10) };
    const auto ended = LimitStatement { std::nullopt, at(10) };
    const auto cases = std::vector<ResponseCase> {
        { "nothing known, none named", {}, std::nullopt, at(1), at(2), {} },
        { "first limit", {}, 3, at(1), at(2), { 3, at(2) } },
        { "the same again", limited, 3, at(9), at(11), { 3, at(11) } },
        { "stricter, from an earlier request", limited, 1, at(9), at(11), { 1, at(11) } },
        { "looser, from an earlier request", limited, 5, at(9), at(11), limited },
        { "looser, from a later request", limited, 5, at(10.5), at(11), { 5, at(10.5) } },
        { "none, from an earlier request", limited, std::nullopt, at(9), at(11), limited },
        { "none, from a later request", limited, std::nullopt, at(10.5), at(11), { std::nullopt, at(10.5) } },
        { "none again", ended, std::nullopt, at(10.5), at(11), ended },
        { "limited again", ended, 3, at(9), at(11), { 3, at(11) } },
        { "zero", limited, 0, at(9), at(11), { 0, at(11) } },
    };
    for (const auto &responseCase : cases) {
        CAPTURE(responseCase.title_);
        CHECK(statementAfterResponse(responseCase.known_, responseCase.named_, responseCase.sentAt_, responseCase.receivedAt_) == responseCase.expected_);
    }
}

// Guards against an older statement of a peer that replaces a newer one of the server.
TEST_CASE("of two statements the later one holds")
{
    const auto earlier = LimitStatement { 3, at(10) };
    const auto later = LimitStatement { std::nullopt, at(11) };
    CHECK(laterStatement(earlier, later) == later);
    CHECK(laterStatement(later, earlier) == later);
    CHECK(laterStatement(earlier, {}) == earlier);
    CHECK(laterStatement({}, earlier) == earlier);
}

// Guards against permits that exceed the limit in a window, after any time without requests and with two issuers at the same time.
TEST_CASE("permits stay within the bound in every window")
{
    const auto cases = std::vector<WindowCase> {
        { "limit of the incident", 3.2, 1, 12 },       { "two issuers", 3.2, 2, 24 }, { "far more requests", 3.2, 2, 500 },
        { "less than one a second", 0.4, 2, 10 },      { "zero", 0, 2, 10 },          { "high limit", 200, 2, 1000 },
        { "fewer requests than the limit", 10, 1, 3 },
    };
    for (const auto &windowCase : cases) {
        CAPTURE(windowCase.title_);
        auto random = std::mt19937_64 { 7 };
        auto gap = std::exponential_distribution<double>(windowCase.requestsPerSecond_);
        auto buckets = std::vector<PermitBucket>(static_cast<std::size_t>(windowCase.issuers_));
        auto granted = std::vector<double> {};
        auto asked = 0;
        // After 100 s there are no requests for 100 s, in which permits accumulate.
        for (auto time = 0.0; time < 300; time += gap(random)) {
            if (time > 100 && time < 200) {
                continue;
            }
            ++asked;
            const auto issuer = random() % buckets.size();
            if (takePermit(buckets[issuer], at(time), windowCase.limit_).isGranted_) {
                granted.push_back(time);
            }
        }
        CHECK(static_cast<double>(largestWindow(granted)) <= allowedInWindow(windowCase.limit_));
        // A single issuer that is asked for more hands out over half of the limit; one that is asked for less grants nearly all.
        if (windowCase.issuers_ == 1) {
            CHECK(static_cast<double>(granted.size()) > std::min(windowCase.limit_ * 200 / 2, asked * 0.9));
        }
        CHECK(!granted.empty());
    }
}

// Guards against asking again before a permit can be available, and against never asking again.
TEST_CASE("an issuer that has no permit says when it has the next one")
{
    auto bucket = PermitBucket {};
    const auto first = takePermit(bucket, at(0), 2);
    CHECK(!first.isGranted_);
    CHECK(first.retryAfter_ > absl::Milliseconds(500));
    CHECK(first.retryAfter_ < absl::Seconds(1));
    CHECK(!takePermit(bucket, at(0) + first.retryAfter_ - absl::Milliseconds(10), 2).isGranted_);
    CHECK(takePermit(bucket, at(0) + first.retryAfter_ + absl::Milliseconds(1), 2).isGranted_);
}

// Guards against permits that are hoarded, lost or used twice.
TEST_CASE("a host uses each permit once and soon, and asks no more often than it is told")
{
    auto held = HeldPermits {};
    CHECK(!hasPermit(held, at(0)));
    CHECK(mayAsk(held, at(0)));
    for (auto ask = 0; ask < 4; ++ask) {
        CHECK(mayAsk(held, at(0)));
        recordAsk(held);
    }
    CHECK(!mayAsk(held, at(0)));
    recordAnswer(held, at(0.1), PermitDecision { true, absl::ZeroDuration() });
    recordAnswer(held, at(0.1), PermitDecision { true, absl::ZeroDuration() });
    CHECK(mayAsk(held, at(0.1)));
    usePermit(held);
    CHECK(hasPermit(held, at(0.2)));
    CHECK(!hasPermit(held, at(1.2)));
    recordAnswer(held, at(1.3), PermitDecision { true, absl::ZeroDuration() });
    usePermit(held);
    CHECK(!hasPermit(held, at(1.4)));
    recordAnswer(held, at(1.5), PermitDecision { false, absl::Seconds(2) });
    CHECK(!mayAsk(held, at(3.4)));
    CHECK(mayAsk(held, at(3.6)));
    recordAsk(held);
    recordAnswer(held, at(4), std::nullopt);
    CHECK(!mayAsk(held, at(4.1)));
    CHECK(mayAsk(held, at(4.3)));
}
