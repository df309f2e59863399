#include "request/backendsignals.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto leavingHeader = "X-Leaving";
constexpr auto limitHeader = "X-Limit";

struct SignalCase
{
    std::string title_;
    int status_;
    HeaderFields headers_;
    bool isLeaving_;
    std::optional<absl::Duration> pause_;
    /** Reason of the only problem; none when there is no problem. */
    std::optional<SignalProblemReason> problem_;
};

}

// Guards against a server kept out, or used, because of a header that is malformed, contradictory or belongs to another server or status.
TEST_CASE("signals are decoded from the head of a response, and bad input changes nothing")
{
    using enum SignalProblemReason;
    constexpr auto none = std::nullopt;
    const auto cases = std::vector<SignalCase> {
        { "no signal", 200, { { "X-Other", "1" } }, false, none, none },
        { "leaving", 200, { { "x-leaving", "1" } }, true, none, none },
        { "leaving, with white space", 500, { { "X-Leaving", " 1 " } }, true, none, none },
        { "leaving, repeated", 200, { { "X-Leaving", "1" }, { "X-Leaving", "1" } }, true, none, none },
        { "leaving and not leaving", 200, { { "X-Leaving", "1" }, { "X-Leaving", "0" } }, false, none, ConflictingValues },
        { "another value", 200, { { "X-Leaving", "true" } }, false, none, UnknownValue },
        { "value 0", 200, { { "X-Leaving", "0" } }, false, none, UnknownValue },
        { "value 11", 200, { { "X-Leaving", "11" } }, false, none, UnknownValue },
        { "empty value", 200, { { "X-Leaving", "" } }, false, none, UnknownValue },
        { "leaving, by another server at the address", 421, { { "X-Leaving", "1" } }, false, none, FromOtherServer },
        { "pause", 503, { { "retry-after", "3" } }, false, absl::Seconds(3), none },
        { "pause of zero", 503, { { "Retry-After", "0" } }, false, none, none },
        { "pause, repeated", 503, { { "Retry-After", "3" }, { "Retry-After", "3" } }, false, absl::Seconds(3), none },
        { "pause, with leading zeros", 503, { { "Retry-After", "003" } }, false, absl::Seconds(3), none },
        { "pause and leaving", 503, { { "Retry-After", "3" }, { "X-Leaving", "1" } }, true, absl::Seconds(3), none },
        { "two pauses", 503, { { "Retry-After", "3" }, { "Retry-After", "4" } }, false, none, ConflictingValues },
        { "list of pauses", 503, { { "Retry-After", "3, 3" } }, false, none, NotANumberOfSeconds },
        { "negative", 503, { { "Retry-After", "-3" } }, false, none, NotANumberOfSeconds },
        { "signed", 503, { { "Retry-After", "+3" } }, false, none, NotANumberOfSeconds },
        { "fractional", 503, { { "Retry-After", "1.5" } }, false, none, NotANumberOfSeconds },
        { "with a unit", 503, { { "Retry-After", "3s" } }, false, none, NotANumberOfSeconds },
        { "date", 503, { { "Retry-After", "Fri, 31 Dec 2027 23:59:59 GMT" } }, false, none, NotANumberOfSeconds },
        { "empty", 503, { { "Retry-After", "" } }, false, none, NotANumberOfSeconds },
        { "10^30", 503, { { "Retry-After", "1" + std::string(30, '0') } }, false, none, OutOfRange },
        { "the maximum", 503, { { "Retry-After", "600" } }, false, maximumPause, none },
        { "above the maximum", 503, { { "Retry-After", "601" } }, false, maximumPause, AboveMaximumPause },
        { "another status", 429, { { "Retry-After", "3" } }, false, none, UnexpectedStatus },
        { "a response", 200, { { "Retry-After", "3" } }, false, none, UnexpectedStatus },
        { "bad pause and leaving", 503, { { "Retry-After", "x" }, { "X-Leaving", "1" } }, true, none, NotANumberOfSeconds },
    };
    for (const auto &signalCase : cases) {
        CAPTURE(signalCase.title_);
        const auto signals = decodeBackendSignals(signalCase.status_, signalCase.headers_, { leavingHeader, limitHeader });
        CHECK(signals.isLeaving_ == signalCase.isLeaving_);
        CHECK(signals.pause_ == signalCase.pause_);
        CHECK(signals.problems_.size() == (signalCase.problem_ ? 1 : 0));
        if (signalCase.problem_ && !signals.problems_.empty()) {
            CHECK(signals.problems_.front().reason_ == *signalCase.problem_);
        }
    }
}

// Guards against log lines of unbounded length.
TEST_CASE("the value of an ignored header is cut off in the report")
{
    const auto signals = decodeBackendSignals(200, { { leavingHeader, std::string(10000, 'x') } }, { leavingHeader, limitHeader });
    REQUIRE(signals.problems_.size() == 1);
    CHECK(signals.problems_.front().header_ == leavingHeader);
    CHECK(signals.problems_.front().value_ == std::string(64, 'x'));
}

// Guards against a deployment without the header that takes any header as one.
TEST_CASE("without a header for leaving servers none is decoded")
{
    CHECK(decodeBackendSignals(200, { { "", "1" }, { leavingHeader, "1" }, { limitHeader, "3" } }, {}) == BackendSignals {});
}

// Guards against a server that gets nothing, or everything, because its limit is malformed, contradictory or belongs to another server.
TEST_CASE("a limit is a decimal number, and bad input says nothing about the limit")
{
    struct LimitCase
    {
        std::string title_;
        int status_;
        std::vector<std::string> values_;
        bool isKnown_;
        std::optional<double> requestsPerSecond_;
        std::optional<SignalProblemReason> problem_;
    };
    using enum SignalProblemReason;
    constexpr auto none = std::nullopt;
    const auto cases = std::vector<LimitCase> {
        { "no limit", 200, {}, true, none, none },
        { "whole number", 200, { "4" }, true, 4, none },
        { "fraction", 503, { "3.25" }, true, 3.25, none },
        { "zero", 200, { "0" }, true, 0, none },
        { "without digits before the point", 200, { ".5" }, true, 0.5, none },
        { "white space", 200, { " 3 " }, true, 3, none },
        { "repeated", 200, { "3", "3" }, true, 3, none },
        { "a failed response", 500, { "3" }, true, 3, none },
        { "the maximum", 200, { "1000000" }, true, 1e6, none },
        { "two values", 200, { "3", "4" }, false, none, ConflictingValues },
        { "list", 200, { "3, 3" }, false, none, NotADecimalNumber },
        { "negative", 200, { "-3" }, false, none, NotADecimalNumber },
        { "signed", 200, { "+3" }, false, none, NotADecimalNumber },
        { "empty", 200, { "" }, false, none, NotADecimalNumber },
        { "only a point", 200, { "." }, false, none, NotADecimalNumber },
        { "two points", 200, { "1.2.3" }, false, none, NotADecimalNumber },
        { "text", 200, { "few" }, false, none, NotADecimalNumber },
        { "with a unit", 200, { "3/s" }, false, none, NotADecimalNumber },
        { "NaN", 200, { "nan" }, false, none, NotADecimalNumber },
        { "infinity", 200, { "inf" }, false, none, NotADecimalNumber },
        { "exponent", 200, { "1e300" }, false, none, NotADecimalNumber },
        { "hexadecimal", 200, { "0x10" }, false, none, NotADecimalNumber },
        { "above the maximum", 200, { "1000001" }, false, none, OutOfRange },
        { "400 digits", 200, { std::string(400, '9') }, false, none, OutOfRange },
        { "by another server at the address", 421, { "3" }, false, none, FromOtherServer },
        { "none by another server", 421, {}, false, none, none },
    };
    for (const auto &limitCase : cases) {
        CAPTURE(limitCase.title_);
        auto headers = HeaderFields {};
        for (const auto &value : limitCase.values_) {
            headers.push_back({ "x-limit", value });
        }
        const auto signals = decodeBackendSignals(limitCase.status_, headers, { leavingHeader, limitHeader });
        CHECK(signals.isLimitKnown_ == limitCase.isKnown_);
        CHECK(signals.requestsPerSecond_ == limitCase.requestsPerSecond_);
        CHECK(signals.problems_.size() == (limitCase.problem_ ? 1 : 0));
        if (limitCase.problem_ && !signals.problems_.empty()) {
            CHECK(signals.problems_.front().reason_ == *limitCase.problem_);
        }
    }
}
