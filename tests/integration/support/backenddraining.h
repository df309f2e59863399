/** Draining of backend servers under load, through each supported signal. */
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

/** Time after which a draining server must receive no new request. It includes the lag of the host list. */
inline constexpr auto drainLimit = std::chrono::seconds { 5 };
/** Time after drainLimit during which requests are counted. Longer than the delay after which a daemon first tries a closing server again. */
inline constexpr auto observationTime = std::chrono::seconds { 3 };

/** How daemons are informed that a backend server is draining. */
enum class DrainSignal {
    DrainRule,
    HostList,
    HealthEndpoint,
    ConnectionClose,
};

/** A backend server to drain and the signal to use. */
struct DrainingServer
{
    std::string name_;
    DrainSignal signal_;
};

/** The fault that is present while the servers drain. */
enum class Outage {
    None,
    Store,
    /** Zone r1-3 is partitioned from the other zones and the store. */
    ZoneIsolated,
};

/** Three zones with one host and four backend servers each, connected through the fault proxy. */
[[nodiscard]] auto drainTestSettings() -> DeploymentSettings;

/** Sends short and long requests without keys to every host until it is destroyed. */
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

/** Number of requests that a backend server has received, excluding daemons' requests for load reports. */
[[nodiscard]] auto countReceivedRequests(const TestBackend &backend) -> int;

/** Sets the state that the health endpoint of a backend stand-in reports. */
auto setHealthState(const TestBackend &backend, const std::string &state) -> void;

/**
 * Drains servers under load and under an outage. Checks that they receive no new request after drainLimit, that every request gets a complete
 * response, and that the invariants hold. Uses doctest assertions, so it must be called from a test case.
 */
auto checkDraining(Outage outage, const std::vector<DrainingServer> &servers) -> void;

}
