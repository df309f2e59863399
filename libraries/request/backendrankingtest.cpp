#include "request/backendranking.h"

#include "core/digest.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

auto makeBackends(int count) -> std::vector<FleetBackend>
{
    auto backends = std::vector<FleetBackend> {};
    for (auto index = 0; index < count; ++index) {
        auto backend = FleetBackend {};
        backend.registration_.server_.name_ = "b" + std::to_string(index);
        backend.hash_ = stableHash(backend.registration_.server_.name_);
        backends.push_back(backend);
    }
    return backends;
}

auto weighted(const std::vector<FleetBackend> &backends, std::size_t without = SIZE_MAX) -> std::vector<WeightedBackend>
{
    auto candidates = std::vector<WeightedBackend> {};
    for (auto index = std::size_t { 0 }; index < backends.size(); ++index) {
        if (index != without) {
            candidates.push_back({ &backends[index], 1 });
        }
    }
    return candidates;
}

}

// Guards against cache misses on all servers because the loss of one moves objects of the others.
TEST_CASE("the loss of a backend server moves only its own objects")
{
    constexpr auto objects = 2000;
    constexpr auto lost = std::size_t { 3 };
    const auto backends = makeBackends(8);
    auto movedObjects = 0;
    auto objectsOfLost = 0;
    for (auto object = 0; object < objects; ++object) {
        const auto hash = objectHash("s", "r", std::to_string(object));
        const auto *before = rankBackends(hash, weighted(backends)).front();
        const auto *after = rankBackends(hash, weighted(backends, lost)).front();
        objectsOfLost += before == &backends[lost] ? 1 : 0;
        movedObjects += before != after ? 1 : 0;
    }
    CHECK(movedObjects == objectsOfLost);
    CHECK(objectsOfLost > objects / 16);
    CHECK(objectsOfLost < objects / 4);
}

// Guards against hosts that rank servers differently because they list them in a different order.
TEST_CASE("the order of the candidates does not matter")
{
    const auto backends = makeBackends(6);
    auto reversed = weighted(backends);
    std::reverse(reversed.begin(), reversed.end());
    for (auto object = 0; object < 100; ++object) {
        const auto hash = objectHash("s", "r", std::to_string(object));
        CHECK(rankBackends(hash, weighted(backends)) == rankBackends(hash, reversed));
    }
}

// Guards against a distribution of objects that doesn't follow the weights.
TEST_CASE("objects are distributed by weight")
{
    constexpr auto objects = 6000;
    const auto backends = makeBackends(3);
    const auto candidates = std::vector<WeightedBackend> { { &backends[0], 1 }, { &backends[1], 2 }, { &backends[2], 0 } };
    auto counts = std::map<const FleetBackend *, int> {};
    for (auto object = 0; object < objects; ++object) {
        const auto ranked = rankBackends(objectHash("s", "r", std::to_string(object)), candidates);
        REQUIRE(ranked.size() == 3);
        counts[ranked.front()] += 1;
        CHECK(ranked.back() == &backends[2]);
    }
    CHECK(counts[&backends[0]] == doctest::Approx(objects / 3.0).epsilon(0.1));
    CHECK(counts[&backends[1]] == doctest::Approx(objects * 2 / 3.0).epsilon(0.1));
}
