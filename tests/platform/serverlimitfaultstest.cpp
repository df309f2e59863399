#include "support/limitobservation.h"

#include <doctest/doctest.h>

#include <cstddef>
#include <thread>
#include <vector>

using namespace platformtest;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto limit = 3.2;
constexpr auto faultDuration = std::chrono::seconds { 16 };

}

// Guards against a sum over hosts that exceeds the limit while hosts come, go, stand still or know different things (LIMIT).
TEST_CASE("a server that names a limit gets no more than that beside kills, freezes, restarts and a store that is away")
{
    for (const auto seed : seedsFromEnvironment("LIMIT_SEEDS")) {
        CAPTURE(seed);
        auto fleet = Fleet(limitTestFleet());
        auto disruptor = Disruptor(fleet, seed);
        // A host that joins later.
        auto &late = fleet.hosts().back();
        late.process_->kill();
        auto load = MixedLoad(fleet);
        std::this_thread::sleep_for(std::chrono::seconds { 2 });
        const auto namedAt = Clock::now();
        const auto limitedServers = std::vector<std::size_t> { 0, 3 };
        for (const auto index : limitedServers) {
            fleet.backends()[index]->setSignals({ "", "", "3.2" });
        }
        std::this_thread::sleep_for(stableWindow);
        fleet.startHost(late);
        while (Clock::now() < namedAt + stableWindow + faultDuration) {
            if (disruptor.randomBelow(3) == 0) {
                disruptor.loseOrRestoreStore();
            } else {
                disruptor.disruptHost();
            }
            std::this_thread::sleep_for(std::chrono::milliseconds { 500 + disruptor.randomBelow(1500) });
        }
        fleet.store().setFault("", StoreFault::None);
        const auto calls = load.stop();
        for (const auto index : limitedServers) {
            CAPTURE(index);
            auto observation = observeLimit(calls, fleet.arrivals(), fleet.backends()[index]->instance());
            observation.firstNamedAt_ = namedAt;
            observation.disruptions_ = disruptor.disruptions();
            MESSAGE("seed ", seed, ", server ", index, ": largest window ", largestWindow(observation), " of ", allowedInWindow(limit));
            CHECK(largestWindow(observation) <= allowedInWindow(limit));
        }
        CHECK(findContractViolations(calls, fleet.runs()) == "");
    }
}
