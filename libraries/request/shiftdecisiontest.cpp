#include "request/shiftdecision.h"

#include "core/digest.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

struct ShareCase
{
    absl::Duration after_;
    double expected_;
};

auto shiftTo(const std::string &to, double share) -> Shift
{
    return { "to-" + to, "p", "home", to, share, 10, start, absl::Minutes(10) };
}

auto shiftedPercent(const Configuration &configuration, const std::string &to, absl::Time wallTime) -> double
{
    constexpr auto requests = 5000;
    auto moved = 0;
    for (auto request = 0; request < requests; ++request) {
        const auto *shift = chooseShift(configuration, "p", "home", wallTime, stableHash(std::to_string(request)));
        moved += shift != nullptr && shift->to_ == to ? 1 : 0;
    }
    return moved * 100.0 / requests;
}

}

// Guards against moving all requests at once to servers with cold caches, and against moving any before the start time.
TEST_CASE("the share of a shift grows over its ramp")
{
    const auto cases = std::vector<ShareCase> {
        { -absl::Seconds(1), 0 }, { absl::ZeroDuration(), 0 }, { absl::Minutes(5), 0.2 }, { absl::Minutes(10), 0.4 }, { absl::Hours(9), 0.4 },
    };
    for (const auto &shareCase : cases) {
        CAPTURE(absl::FormatDuration(shareCase.after_));
        CHECK(rampedShare(shiftTo("a", 0.4), start + shareCase.after_) == doctest::Approx(shareCase.expected_));
    }
    auto withoutRamp = shiftTo("a", 0.4);
    withoutRamp.rampDuration_ = absl::ZeroDuration();
    CHECK(rampedShare(withoutRamp, start) == doctest::Approx(0.4));
}

// Guards against moving a different share than configured, or requests of another pool or region.
TEST_CASE("each shift moves its share of the requests of its pool and region")
{
    auto configuration = Configuration {};
    configuration.shifts_ = { shiftTo("a", 0.3), shiftTo("b", 0.2) };
    const auto after = start + absl::Hours(1);
    CHECK(shiftedPercent(configuration, "a", after) == doctest::Approx(30).epsilon(0.1));
    CHECK(shiftedPercent(configuration, "b", after) == doctest::Approx(20).epsilon(0.1));
    CHECK(chooseShift(configuration, "q", "home", after, 0) == nullptr);
    CHECK(chooseShift(configuration, "p", "a", after, 0) == nullptr);
    CHECK(findShift(configuration, "p", "home", "b") == &configuration.shifts_[1]);
    CHECK(findShift(configuration, "p", "b", "home") == nullptr);
}
