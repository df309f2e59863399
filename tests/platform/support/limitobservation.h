/** The load of the tests of backend servers that name a limit, and what they check. */
#pragma once

#include "support/backgroundload.h"
#include "support/disruptions.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace platformtest
{

/** The users' bound holds from this time after a server first named its limit. */
inline constexpr auto stableWindow = std::chrono::seconds { 4 };

/** An arrival at a server, with the host that sent the request. */
struct HostArrival
{
    std::string host_;
    std::chrono::steady_clock::time_point at_;
    /** Whether the response to it names a limit. */
    bool isLimited_ = false;
};

/** What was observed of one server that named a limit. */
struct LimitObservation
{
    std::vector<HostArrival> arrivals_;
    /** When each host first passed on a response that named the limit. */
    std::map<std::string, std::chrono::steady_clock::time_point> toldAt_ = {};
    std::vector<Disruption> disruptions_ = {};
    std::chrono::steady_clock::time_point firstNamedAt_ = {};
};

/** Collects the arrivals at a server. */
[[nodiscard]] auto observeLimit(const std::vector<FleetCall> &calls, const std::vector<RequestArrival> &arrivals, const std::string &instance)
    -> LimitObservation;

/** The largest number of requests in 4 s from hosts that the server had told and that were not disrupted near that time. */
[[nodiscard]] auto largestWindow(const LimitObservation &observation) -> int;

/** The users' bound on the requests in 4 s: one and a half times what the limit allows, and five more. */
[[nodiscard]] auto allowedInWindow(double requestsPerSecond) -> int;

/** Number of arrivals from a time to before another one. */
[[nodiscard]] auto countArrivals(const LimitObservation &observation, std::chrono::steady_clock::time_point begin, std::chrono::steady_clock::time_point end)
    -> std::ptrdiff_t;

/** A deployment with eight hosts and six backend servers. */
[[nodiscard]] auto limitTestFleet() -> FleetSettings;

/** Requests of both kinds to all hosts in turn. */
class MixedLoad
{
public:
    explicit MixedLoad(Fleet &fleet);

    /** Stops the load and returns all calls. */
    auto stop() -> std::vector<FleetCall>;

private:
    BackgroundLoad repeatable_;
    BackgroundLoad atMostOnce_;
};

}
