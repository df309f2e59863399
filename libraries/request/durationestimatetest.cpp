#include "request/durationestimate.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct EstimateCase
{
    std::string title_;
    /** Durations in milliseconds, repeated. */
    std::vector<int> durations_;
    int leastExpected_;
    int mostExpected_;
};

}

// Guards against a stopping host that takes requests which it can't finish, or refuses those that it can.
TEST_CASE("the expected duration covers those seen and is not far above them")
{
    const auto cases = std::vector<EstimateCase> {
        { "constant", { 1000 }, 1000, 1200 },
        { "varying", { 500, 700, 900, 1100 }, 1100, 2000 },
        { "mostly short, some long", { 100, 100, 100, 100, 100, 100, 100, 2000 }, 1000, 5000 },
    };
    for (const auto &estimateCase : cases) {
        CAPTURE(estimateCase.title_);
        auto estimate = DurationEstimate {};
        CHECK(longestExpected(estimate) == absl::ZeroDuration());
        addDuration(estimate, absl::Milliseconds(estimateCase.durations_.front()));
        CHECK(longestExpected(estimate) >= absl::Milliseconds(estimateCase.durations_.front()));
        for (auto round = 0; round < 50; ++round) {
            for (const auto duration : estimateCase.durations_) {
                addDuration(estimate, absl::Milliseconds(duration));
            }
        }
        CHECK(longestExpected(estimate) >= absl::Milliseconds(estimateCase.leastExpected_));
        CHECK(longestExpected(estimate) <= absl::Milliseconds(estimateCase.mostExpected_));
    }
}
