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
inline constexpr auto leavingBound = std::chrono::seconds { 5 };
/** Time over which requests are counted after the bound; longer than the first time after which a daemon tries a closing server again. */
inline constexpr auto observedTime = std::chrono::seconds { 3 };

/** How a backend server says that it is leaving. */
enum class LeavingSign {
    Rule,
    HostList,
    Health,
    ConnectionClose,
};

/** A backend server and its way to leave. */
struct LeavingServer
{
    std::string name_;
    LeavingSign sign_;
};

/** What fails while the servers leave. */
enum class Outage {
    None,
    Store,
    /** Zone r1-3 is cut off. */
    ZoneCutOff,
};

/** Three zones with a host and four backend servers each, behind proxies. */
[[nodiscard]] auto leavingSettings() -> DeploymentSettings;

/** Sends short and long open requests to every host until it is destroyed. */
class OpenLoad
{
public:
    OpenLoad(Deployment &deployment, Caller &caller);
    ~OpenLoad();
    OpenLoad(const OpenLoad &) = delete;
    auto operator=(const OpenLoad &) -> OpenLoad & = delete;

private:
    std::atomic<bool> stopped_ = false;
    std::vector<std::thread> threads_;
};

/** Requests that a backend server has received, without the reports that daemons ask for. */
[[nodiscard]] auto receivedRequests(const TestBackend &backend) -> int;

/** Sets what the health endpoint of a stand-in says. */
auto setHealth(const TestBackend &backend, const std::string &state) -> void;

/**
 * Lets servers leave under load, during an outage, and checks that they get no new request after the bound and that every request is served whole.
 * Uses the checks of the calling test case.
 */
auto checkLeaving(Outage outage, const std::vector<LeavingServer> &servers) -> void;

}
