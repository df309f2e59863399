#include "request/regionflow.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct FlowCase
{
    std::string title_;
    RegionAmounts demands_;
    RegionAmounts capacities_;
    std::string region_;
    RegionAmounts expected_;
};

}

// Guards against sending more requests to another region than its spare capacity, and against crossing regions without need.
TEST_CASE("requests stay in their region as far as its capacity allows")
{
    const auto even = RegionAmounts { { "a", 1 }, { "b", 1 }, { "c", 1 } };
    const auto cases = std::vector<FlowCase> {
        { "even", even, { { "a", 10 }, { "b", 10 }, { "c", 10 } }, "a", { { "a", 1 }, { "b", 0 }, { "c", 0 } } },
        { "small region", even, { { "a", 10 }, { "b", 2 }, { "c", 10 } }, "b", { { "a", 0.363636 }, { "b", 0.272727 }, { "c", 0.363636 } } },
        { "large region", even, { { "a", 10 }, { "b", 2 }, { "c", 10 } }, "a", { { "a", 1 }, { "b", 0 }, { "c", 0 } } },
        { "no capacity in the own region", even, { { "a", 10 }, { "c", 30 } }, "b", { { "a", 0 }, { "b", 0 }, { "c", 1 } } },
        { "capacity in the own region only", even, { { "a", 10 } }, "a", { { "a", 1 } } },
        { "no capacity", even, {}, "a", {} },
    };
    for (const auto &flowCase : cases) {
        CAPTURE(flowCase.title_);
        const auto flow = regionFlow(flowCase.demands_, flowCase.capacities_, flowCase.region_);
        auto sum = 0.0;
        for (const auto &part : flow) {
            const auto &region = part.first;
            CAPTURE(region);
            REQUIRE(flowCase.expected_.count(region) == 1);
            CHECK(part.second == doctest::Approx(flowCase.expected_.at(region)).epsilon(0.001));
            sum += part.second;
        }
        CHECK(sum == doctest::Approx(flowCase.expected_.empty() ? 0 : 1));
    }
}
