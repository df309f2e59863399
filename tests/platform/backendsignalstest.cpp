#include "support/backgroundload.h"
#include "support/disruptions.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

using namespace platformtest;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto okStatus = 200;

/** The sites' bound on requests to a leaving server: none that was sent later than this after the host had passed on a response that says so. */
constexpr auto drain = std::chrono::milliseconds { 2500 };

/** The users' bound on requests to a paused server: at most two between this time after its response and the end of the pause. */
constexpr auto pauseSettling = std::chrono::milliseconds { 500 };
constexpr auto maximumArrivalsInPause = 2;

constexpr auto faultDuration = std::chrono::seconds { 10 };
constexpr auto loadAfterFaults = std::chrono::seconds { 4 };
constexpr auto callersPerPath = 3;

/** An arrival with the host that sent the request and the time at which its caller sent it. */
struct HostArrival
{
    RequestArrival arrival_;
    std::string host_;
    Clock::time_point sentAt_;
};

/** What was observed in one run. */
struct Observation
{
    std::vector<FleetCall> calls_;
    std::vector<RequestArrival> arrivals_;
    std::vector<Disruption> disruptions_;
};

auto hostArrivals(const Observation &observation) -> std::vector<HostArrival>
{
    auto callsById = std::map<std::string, const FleetCall *> {};
    for (const auto &call : observation.calls_) {
        callsById[call.id_] = &call;
    }
    auto found = std::vector<HostArrival> {};
    for (const auto &arrival : observation.arrivals_) {
        const auto call = callsById.find(arrival.requestId_);
        if (call != callsById.end()) {
            found.push_back({ arrival, call->second->host_, call->second->sentAt_ });
        }
    }
    return found;
}

auto describeArrival(const HostArrival &arrival) -> std::string
{
    return arrival.arrival_.requestId_ + " from " + arrival.host_ + " at " + arrival.arrival_.instance_ + "\n";
}

/** Requests that reached a leaving server although their host had passed on a response with Server-Leaving more than the bound before. */
auto requestsToLeavingServers(const Observation &observation) -> std::string
{
    const auto arrivals = hostArrivals(observation);
    auto callsById = std::map<std::string, const FleetCall *> {};
    for (const auto &call : observation.calls_) {
        callsById[call.id_] = &call;
    }
    auto passedOn = std::map<std::pair<std::string, std::string>, std::vector<Clock::time_point>> {};
    for (const auto &arrival : arrivals) {
        const auto &call = *callsById.at(arrival.arrival_.requestId_);
        if (arrival.arrival_.signals_.leaving_ == "1" && call.response_.status_ == okStatus) {
            passedOn[{ arrival.host_, arrival.arrival_.instance_ }].push_back(call.receivedAt_);
        }
    }
    auto violations = std::string {};
    for (const auto &arrival : arrivals) {
        const auto &times = passedOn[{ arrival.host_, arrival.arrival_.instance_ }];
        const auto isViolation = std::any_of(times.begin(), times.end(), [&](Clock::time_point time) {
            return arrival.sentAt_ > time + drain && !isDisrupted(observation.disruptions_, arrival.host_, time, arrival.arrival_.at_);
        });
        violations += isViolation ? describeArrival(arrival) : "";
    }
    return violations;
}

/** Pauses within which more requests than allowed arrived from the host that had been asked for the pause. */
auto brokenPauses(const Observation &observation) -> std::string
{
    const auto arrivals = hostArrivals(observation);
    auto violations = std::string {};
    for (const auto &rejected : arrivals) {
        if (rejected.arrival_.signals_.retryAfter_.empty()) {
            continue;
        }
        const auto begin = rejected.arrival_.at_;
        const auto end = begin + std::chrono::seconds { std::stoi(rejected.arrival_.signals_.retryAfter_) };
        const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const HostArrival &arrival) {
            const auto isSamePair = arrival.host_ == rejected.host_ && arrival.arrival_.instance_ == rejected.arrival_.instance_;
            return isSamePair && arrival.arrival_.at_ > begin + pauseSettling && arrival.arrival_.at_ < end;
        });
        if (count > maximumArrivalsInPause && !isDisrupted(observation.disruptions_, rejected.host_, begin, end)) {
            violations += std::to_string(count) + " in the pause after " + describeArrival(rejected);
        }
    }
    return violations;
}

/** Injects pauses beside faults of hosts and of the store, pseudo-randomly from a seed. */
class SignalInjector
{
public:
    SignalInjector(Fleet &fleet, unsigned seed)
        : fleet_(fleet)
        , disruptor_(fleet, seed)
    {
    }

    auto run() -> void
    {
        const auto end = Clock::now() + faultDuration;
        while (Clock::now() < end) {
            const auto actions = std::vector<std::function<void()>> {
                [this] {
                    pauseServer();
                },
                [this] {
                    pauseServer();
                },
                [this] {
                    pauseAllServers();
                },
                [this] {
                    disruptor_.disruptHost();
                },
                [this] {
                    disruptor_.loseOrRestoreStore();
                },
            };
            actions[disruptor_.randomBelow(actions.size())]();
            std::this_thread::sleep_for(std::chrono::milliseconds { 50 + disruptor_.randomBelow(400) });
        }
        fleet_.store().setFault("", StoreFault::None);
    }

    [[nodiscard]] auto disruptions() const -> const std::vector<Disruption> &
    {
        return disruptor_.disruptions();
    }

private:
    // The first server leaves and the second sends bad headers throughout; both keep doing so.
    auto pauseServer() -> void
    {
        constexpr auto firstPausing = std::size_t { 2 };
        pause(firstPausing + disruptor_.randomBelow(fleet_.backends().size() - firstPausing), 1);
    }

    auto pauseAllServers() -> void
    {
        pause(1, fleet_.backends().size() - 1);
    }

    auto pause(std::size_t first, std::size_t count) -> void
    {
        const auto seconds = std::to_string(1 + disruptor_.randomBelow(3));
        for (auto index = first; index < first + count; ++index) {
            fleet_.backends()[index]->setSignals({ "", seconds });
        }
        std::this_thread::sleep_for(std::chrono::milliseconds { 50 + disruptor_.randomBelow(300) });
        for (auto index = first; index < first + count; ++index) {
            fleet_.backends()[index]->setSignals({ index == 1 ? "yes" : "", "" });
        }
    }

    Fleet &fleet_;
    Disruptor disruptor_;
};

auto countArrivals(const Observation &observation, const std::string &instance, Clock::time_point after) -> std::ptrdiff_t
{
    return std::count_if(observation.arrivals_.begin(), observation.arrivals_.end(), [&](const RequestArrival &arrival) {
        return arrival.instance_ == instance && arrival.at_ > after;
    });
}

}

// Guards against requests to a server that said that it is leaving or asked for a pause, whatever runs beside: retries, requests that were chosen before,
// open connections, a store that is away, and hosts that are frozen or restarted; and against losing a server that sends malformed headers.
TEST_CASE("servers that leave or pause are left alone beside kills, freezes, restarts and a store that is away")
{
    for (const auto seed : seedsFromEnvironment("SIGNAL_SEEDS")) {
        CAPTURE(seed);
        auto fleet = Fleet();
        auto repeatableLoad = BackgroundLoad(fleet, "/read/a", "key-free", callersPerPath);
        auto atMostOnceLoad = BackgroundLoad(fleet, "/book/a", "key-free", callersPerPath);
        std::this_thread::sleep_for(std::chrono::seconds { 1 });
        const auto &leaving = *fleet.backends()[0];
        const auto &malformed = *fleet.backends()[1];
        fleet.backends()[0]->setSignals({ "1", "" });
        fleet.backends()[1]->setSignals({ "yes", "" });
        auto injector = SignalInjector(fleet, seed);
        injector.run();
        const auto faultsEndedAt = Clock::now();
        std::this_thread::sleep_for(loadAfterFaults);
        auto observation = Observation { repeatableLoad.stop(), fleet.arrivals(), injector.disruptions() };
        const auto atMostOnceCalls = atMostOnceLoad.stop();
        observation.calls_.insert(observation.calls_.end(), atMostOnceCalls.begin(), atMostOnceCalls.end());
        observation.arrivals_ = fleet.arrivals();
        const auto runs = fleet.runs();
        CHECK(requestsToLeavingServers(observation) == "");
        CHECK(brokenPauses(observation) == "");
        CHECK(findDuplicateRuns(atMostOnceCalls, runs) == "");
        CHECK(findContractViolations(observation.calls_, runs) == "");
        CHECK(countArrivals(observation, leaving.instance(), Clock::time_point {}) > 0);
        CHECK(countArrivals(observation, malformed.instance(), faultsEndedAt) > 0);
        for (auto index = std::size_t { 2 }; index < fleet.backends().size(); ++index) {
            CHECK(countArrivals(observation, fleet.backends()[index]->instance(), faultsEndedAt) > 0);
        }
        MESSAGE("seed ",
                seed,
                ": calls ",
                observation.calls_.size(),
                ", arrivals ",
                observation.arrivals_.size(),
                ", disruptions ",
                observation.disruptions_.size());
    }
}
