/** Backend servers that leave under load, in each of the ways the design names. */
#pragma once

#include "support/caller.h"
#include "support/deployment.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace integration
{

/** A leaving server gets no new request after this time; it holds for a host list that is this much late too. */
inline constexpr auto drainLimit = std::chrono::seconds { 5 };
/** Time over which requests are counted after the bound; longer than the first time after which a daemon tries a closing server again. */
inline constexpr auto observationTime = std::chrono::seconds { 3 };

/** How a backend server says that it is leaving. */
enum class DrainSignal {
    DrainRule,
    HostList,
    HealthEndpoint,
    ConnectionClose,
};

/** A backend server and its way to leave. */
struct DrainingServer
{
    std::string name_;
    DrainSignal signal_;
};

/** What fails while the servers leave. */
enum class Outage {
    None,
    Store,
    /** Zone r1-3 is cut off. */
    ZoneCutOff,
};

/** Three zones with a host and four backend servers each, behind proxies. */
[[nodiscard]] auto drainTestSettings() -> DeploymentSettings;

/** Sends short and long open requests to every host until it is destroyed. */
class OpenRouteLoad
{
public:
    OpenRouteLoad(Deployment &deployment, Caller &caller);
    ~OpenRouteLoad();
    OpenRouteLoad(const OpenRouteLoad &) = delete;
    auto operator=(const OpenRouteLoad &) -> OpenRouteLoad & = delete;

private:
    std::atomic<bool> stopped_ = false;
    std::vector<std::thread> threads_;
};

/** Requests that a backend server has received, without the reports that daemons ask for. */
[[nodiscard]] auto countReceivedRequests(const TestBackend &backend) -> int;

/** Sets what the health endpoint of a stand-in says. */
auto setHealthState(const TestBackend &backend, const std::string &state) -> void;

/**
 * Lets servers leave under load, during an outage, and checks that they get no new request after the bound and that every request is served whole.
 * Uses the checks of the calling test case.
 */
auto checkDraining(Outage outage, const std::vector<DrainingServer> &servers) -> void;

}
