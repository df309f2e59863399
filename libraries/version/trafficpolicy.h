/** The operators' policy for a deployment whose backend servers and entry hosts are discovered instead of declared. */
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

/** Execution guarantee of a route's requests. */
enum class Repeatability {
    /** Idempotent: may be executed more than once. */
    Repeatable,
    /** Executed at most once each time the caller sends it. */
    AtMostOnce,
};

/** One destination of a route, with its weight among the route's destinations. */
struct Destination
{
    std::string service_;
    double weight_ = 1;

    auto operator==(const Destination &other) const -> bool = default;
};

/** A route. Among the routes of a host, the one with the longest matching prefix applies. */
struct PolicyRoute
{
    std::string name_;
    /** Host header to match, in lower case and without a port. */
    std::string host_;
    /** Begins and ends with a slash. */
    std::string prefix_;
    Repeatability repeatability_ = Repeatability::AtMostOnce;
    /** Maximum time until the caller gets a response. */
    absl::Duration timeout_;
    /** Target response time; a response within it has its full value. */
    absl::Duration latencyObjective_;
    /** 0 is the highest priority. */
    int priority_ = 0;
    /** Maximum number of backend servers to which one request may be sent. */
    int maximumAttempts_ = 1;
    /** Whether requests are accepted without a key. */
    bool isOpen_ = false;
    /** Whether requests for the same object should go to the same backend server, which is then faster. */
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
    /** Maximum connections to one backend server, all hosts together. */
    int maximumConnections_ = 0;
    /** How long a backend server stays cold after its start. */
    absl::Duration coldStart_;
    /** Requests per second that a cold backend server can handle. */
    double coldRequestsPerSecond_ = 0;

    auto operator==(const PolicyService &other) const -> bool = default;
};

/** An organisation with its keys. */
struct PolicyOrganisation
{
    /** Name, rate and burst; a rate of 0 means no limit. */
    Organisation limits_;
    std::vector<std::string> keys_;
    /** Overrides the priority of the route; absent if the organisation has none. */
    std::optional<int> priority_;
    /** Regions that may handle the organisation's requests; empty allows all. */
    std::vector<std::string> homeRegions_;

    auto operator==(const PolicyOrganisation &other) const -> bool = default;
};

/** Limits on the size and duration of callers' requests. */
struct CallerLimits
{
    std::size_t maximumHeadBytes_ = std::size_t { 16 } * 1024;
    std::size_t maximumBodyBytes_ = std::size_t { 64 } * 1024 * 1024;
    absl::Duration headTimeout_ = absl::Seconds(3);
    absl::Duration idleTimeout_ = absl::Seconds(15);

    auto operator==(const CallerLimits &other) const -> bool = default;
};

/** One complete version of the operators' policy. */
struct TrafficPolicy
{
    /** Increases with each change; 0 if there is no policy. */
    std::int64_t version_ = 0;
    std::vector<PolicyRoute> routes_;
    std::vector<PolicyService> services_;
    std::vector<PolicyOrganisation> organisations_;
    CallerLimits limits_;

    auto operator==(const TrafficPolicy &other) const -> bool = default;
};

}
