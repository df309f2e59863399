#include "support/limitobservation.h"

#include <algorithm>
#include <cmath>

namespace platformtest
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto limitWindow = std::chrono::seconds { 4 };
constexpr auto limitOverage = 1.5;
constexpr auto limitSlack = 5;

/** Requests of a host count from this time after the host had passed the limit on. */
constexpr auto tellingTime = std::chrono::milliseconds { 500 };

constexpr auto callersPerPath = 4;

auto counts(const LimitObservation &observation, const HostArrival &arrival, Clock::time_point windowBegin) -> bool
{
    const auto told = observation.toldAt_.find(arrival.host_);
    const auto isTold = told != observation.toldAt_.end() && told->second + tellingTime <= arrival.at_;
    return arrival.isLimited_ && isTold && !isDisrupted(observation.disruptions_, arrival.host_, windowBegin - stableWindow, windowBegin + limitWindow);
}

}

auto observeLimit(const std::vector<FleetCall> &calls, const std::vector<RequestArrival> &arrivals, const std::string &instance) -> LimitObservation
{
    auto callsById = std::map<std::string, const FleetCall *> {};
    for (const auto &call : calls) {
        callsById[call.id_] = &call;
    }
    auto observation = LimitObservation {};
    for (const auto &arrival : arrivals) {
        const auto found = callsById.find(arrival.requestId_);
        if (arrival.instance_ != instance || found == callsById.end()) {
            continue;
        }
        const auto &call = *found->second;
        const auto isLimited = !arrival.signals_.limit_.empty();
        observation.arrivals_.push_back({ call.host_, arrival.at_, isLimited });
        if (isLimited) {
            const auto entry = observation.toldAt_.try_emplace(call.host_, call.receivedAt_).first;
            entry->second = std::min(entry->second, call.receivedAt_);
        }
    }
    return observation;
}

auto largestWindow(const LimitObservation &observation) -> int
{
    auto largest = 0;
    for (const auto &first : observation.arrivals_) {
        if (first.at_ < observation.firstNamedAt_ + stableWindow) {
            continue;
        }
        const auto count = std::count_if(observation.arrivals_.begin(), observation.arrivals_.end(), [&](const HostArrival &arrival) {
            return arrival.at_ >= first.at_ && arrival.at_ < first.at_ + limitWindow && counts(observation, arrival, first.at_);
        });
        largest = std::max(largest, static_cast<int>(count));
    }
    return largest;
}

auto allowedInWindow(double requestsPerSecond) -> int
{
    return static_cast<int>(std::floor(limitOverage * requestsPerSecond * std::chrono::duration<double>(limitWindow).count())) + limitSlack;
}

auto countArrivals(const LimitObservation &observation, Clock::time_point begin, Clock::time_point end) -> std::ptrdiff_t
{
    return std::count_if(observation.arrivals_.begin(), observation.arrivals_.end(), [&](const HostArrival &arrival) {
        return arrival.at_ >= begin && arrival.at_ < end;
    });
}

auto limitTestFleet() -> FleetSettings
{
    auto settings = FleetSettings {};
    settings.hostsPerZone_ = 4;
    settings.backendsPerZone_ = 3;
    return settings;
}

MixedLoad::MixedLoad(Fleet &fleet)
    : repeatable_(fleet, "/read/a", "key-free", callersPerPath)
    , atMostOnce_(fleet, "/book/a", "key-free", callersPerPath)
{
}

auto MixedLoad::stop() -> std::vector<FleetCall>
{
    auto calls = repeatable_.stop();
    const auto others = atMostOnce_.stop();
    calls.insert(calls.end(), others.begin(), others.end());
    return calls;
}

}
