#include "support/limitobservation.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>
#include <vector>

using namespace platformtest;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto limitedDuration = std::chrono::seconds { 12 };

/** How long the server may take to get as many requests again after its limit has ended. */
constexpr auto recoveryTime = std::chrono::seconds { 5 };

struct LimitCase
{
    std::string title_;
    /** What the server names, and what that allows per second. */
    std::string limit_;
    double requestsPerSecond_;
};

}

// Guards against sending a server in need more than it takes from all hosts together (LIMIT), and against not using what it takes.
TEST_CASE("a server that names a limit gets no more than that from all hosts together")
{
    const auto cases = std::vector<LimitCase> {
        { "as in the incident", "3.2", 3.2 },
        { "less than one a second", "0.4", 0.4 },
        { "nothing", "0", 0 },
        { "more than the hosts have", "40", 40 },
    };
    for (const auto &limitCase : cases) {
        CAPTURE(limitCase.title_);
        auto fleet = Fleet(limitTestFleet());
        auto load = MixedLoad(fleet);
        std::this_thread::sleep_for(std::chrono::seconds { 2 });
        auto &limited = *fleet.backends()[0];
        const auto namedAt = Clock::now();
        limited.setSignals({ "", "", limitCase.limit_ });
        std::this_thread::sleep_for(limitedDuration);
        limited.setSignals({});
        const auto endedAt = Clock::now();
        std::this_thread::sleep_for(recoveryTime);
        const auto stoppedAt = Clock::now();
        const auto calls = load.stop();
        auto observation = observeLimit(calls, fleet.arrivals(), limited.instance());
        observation.firstNamedAt_ = namedAt;
        const auto inForce = countArrivals(observation, namedAt + stableWindow, endedAt);
        MESSAGE(limitCase.title_,
                ": largest window ",
                largestWindow(observation),
                " of ",
                allowedInWindow(limitCase.requestsPerSecond_),
                ", while in force ",
                inForce);
        CHECK(largestWindow(observation) <= allowedInWindow(limitCase.requestsPerSecond_));
        CHECK(inForce > 0);
        // After the limit has ended the server gets as many requests again as before, of which half show that the end was noticed.
        const auto before = countArrivals(observation, namedAt - std::chrono::seconds { 1 }, namedAt);
        CHECK(countArrivals(observation, stoppedAt - std::chrono::seconds { 1 }, stoppedAt) * 2 > before);
        CHECK(findContractViolations(calls, fleet.runs()) == "");
    }
}
