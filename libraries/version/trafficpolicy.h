/** The operators' intent for a deployment whose backend servers and entry hosts are discovered instead of declared. */
#pragma once

#include "version/organisation.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** How often a request may be executed. */
enum class Repeatability {
    /** Idempotent: may run more than once. */
    Repeatable,
    /** May run at most once for each time the caller sends it. */
    AtMostOnce,
};

/** One destination of a route, with its weight among the route's destinations. */
struct Destination
{
    std::string service_;
    double weight_ = 1;

    auto operator==(const Destination &other) const -> bool = default;
};

/** A route. Among the routes of a host, the one with the longest matching prefix wins. */
struct PolicyRoute
{
    std::string name_;
    /** Host header to match, in lower case and without a port. */
    std::string host_;
    /** Begins and ends with a slash. */
    std::string prefix_;
    Repeatability repeatability_ = Repeatability::AtMostOnce;
    /** Longest time that a caller is kept waiting. */
    absl::Duration timeout_;
    /** Time within which an answer has its full value. */
    absl::Duration latencyObjective_;
    /** 0 is the most urgent. */
    int priority_ = 0;
    /** Most backend servers to which one request may be sent. */
    int maximumAttempts_ = 1;
    /** Whether requests need no key. */
    bool isOpen_ = false;
    /** Whether a backend server that has handled the same object recently is faster. */
    bool isSticky_ = false;
    /** Regions that may handle the requests; empty allows all. */
    std::vector<std::string> homeRegions_;
    std::vector<Destination> destinations_;

    auto operator==(const PolicyRoute &other) const -> bool = default;
};

/** A service, whose backend servers register themselves. */
struct PolicyService
{
    std::string name_;
    std::string healthPath_;
    /** Connections that one backend server accepts from all hosts together. */
    int maximumConnections_ = 0;
    /** How long a backend server stays cold after its start. */
    absl::Duration coldStart_;
    /** Requests a second that a cold backend server tolerates. */
    double coldRequestsPerSecond_ = 0;

    auto operator==(const PolicyService &other) const -> bool = default;
};

/** An organisation with its keys. */
struct PolicyOrganisation
{
    /** Name, rate and burst; a rate of 0 is no limit. */
    Organisation limits_;
    std::vector<std::string> keys_;
    /** Takes precedence over the priorities of routes; absent when the organisation has none. */
    std::optional<int> priority_;
    /** Regions that may handle the organisation's requests; empty allows all. */
    std::vector<std::string> homeRegions_;

    auto operator==(const PolicyOrganisation &other) const -> bool = default;
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
    std::size_t maximumHeadBytes_ = std::size_t { 16 } * 1024;
    std::size_t maximumBodyBytes_ = std::size_t { 64 } * 1024 * 1024;
    absl::Duration headTimeout_ = absl::Seconds(3);
    absl::Duration idleTimeout_ = absl::Seconds(15);

    auto operator==(const CallerLimits &other) const -> bool = default;
};

/** One version of the operators' intent, in full. */
struct TrafficPolicy
{
    /** Rises with each change; 0 when there is none. */
    std::int64_t version_ = 0;
    std::vector<PolicyRoute> routes_;
    std::vector<PolicyService> services_;
    std::vector<PolicyOrganisation> organisations_;
    CallerLimits limits_;

    auto operator==(const TrafficPolicy &other) const -> bool = default;
};

}
