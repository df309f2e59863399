#include "request/destinationchoice.h"

#include "core/digest.h"

#include <doctest/doctest.h>

#include <map>
#include <string>

using namespace lycheecleat;

// Guards against a traffic split that doesn't follow the weights.
TEST_CASE("objects are distributed over destinations by weight")
{
    constexpr auto objects = 10'000;
    const auto destinations = std::vector<Destination> { { "a", 90 }, { "b", 10 }, { "c", 0 } };
    auto counts = std::map<std::string, int> {};
    for (auto object = 0; object < objects; ++object) {
        counts[chooseDestination(destinations, stableHash(std::to_string(object))).service_] += 1;
    }
    CHECK(counts["a"] == doctest::Approx(objects * 0.9).epsilon(0.03));
    CHECK(counts["b"] == doctest::Approx(objects * 0.1).epsilon(0.1));
    CHECK(counts["c"] == 0);
    CHECK(chooseDestination({}, 1).service_.empty());
}
