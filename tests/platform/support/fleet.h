/** A test deployment on the users' platform: real daemons on loopback addresses, with stand-ins for the store and the backend servers in this process. */
#pragma once

#include "support/caller.h"
#include "support/faultproxy.h"
#include "support/keyvalueserver.h"
#include "support/platformbackend.h"
#include "support/process.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace platformtest
{

/** Settings of a deployment, which has the regions r1 and r2 with one zone each, r1-a and r2-a. */
struct FleetSettings
{
    int hostsPerZone_ = 2;
    int backendsPerZone_ = 2;
    /** Requests per second and burst of the organisation "limited"; the organisation "free" has no limit. */
    double rate_ = 20;
    int burst_ = 20;
    /** Puts a fault proxy on each host's connections to the store and on the connections to each backend server. */
    bool usesFaultProxy_ = false;
    /** Memory limit in the settings of each host; the smallest of the sites. */
    int memoryMegabytes_ = 112;
    /** Descriptor limit in the settings of each host; 0 sets none. */
    int maximumDescriptors_ = 0;
    /** Time from the stop signal until a host is killed, in the settings of each host. */
    std::chrono::milliseconds grace_ { 6000 };
    /** Timeout of both routes. */
    std::chrono::milliseconds routeTimeout_ { 3000 };
};

/** One entry host. */
struct FleetHost
{
    std::string name_;
    std::string zone_;
    std::string callerAddress_;
    std::string readyAddress_;
    std::string lookupAddress_;
    /** Address of the store's endpoint for this host, and the address in the host's settings: that of the fault proxy if one is used. */
    std::string storeAddress_;
    std::string configuredStoreAddress_;
    std::string settingsFile_;
    std::unique_ptr<integration::Process> process_;
};

/** A request and its response. */
struct FleetCall
{
    std::string id_;
    integration::CallerResponse response_;
    std::chrono::steady_clock::time_point sentAt_;
    /** Name of the host to which the request was sent, and when its response was received. */
    std::string host_ = {};
    std::chrono::steady_clock::time_point receivedAt_ = {};
};

/** Starts the deployment; the constructor throws when a part does not start. The destructor ends all processes. */
class Fleet
{
public:
    explicit Fleet(FleetSettings settings = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;

    [[nodiscard]] auto store() -> KeyValueServer &;
    [[nodiscard]] auto hosts() -> std::vector<FleetHost> &;
    [[nodiscard]] auto backends() -> std::vector<std::unique_ptr<PlatformBackend>> &;
    [[nodiscard]] auto runs() const -> std::multimap<std::string, RequestRun>;
    [[nodiscard]] auto arrivals() const -> std::vector<RequestArrival>;
    /** Number of requests that a backend server has run. */
    [[nodiscard]] auto runCountOn(const std::string &instance) const -> int;

    auto startHost(FleetHost &host) -> void;

    /** Writes the configuration with the next version. API keys: "key-free" of "free" and "key-limited" of "limited", except withdrawn ones. */
    auto configure(const std::vector<std::string> &withdrawnKeys = {}) -> void;

    /** Makes a control call to the fault proxy: cut, freeze, drop-replies {"on"}, delay {"ms"}, silence. Links are "store-HOST" and "upstream-INSTANCE", or "*"
     * for all. */
    auto injectFault(const std::string &fault, const std::string &link, nlohmann::json body) -> void;

    /** Writes a configuration with new limits for the organisation "limited". */
    auto setLimit(double rate, int burst) -> void;

    /**
     * Sends a request to a host. Requests under /read/ may be retried, those under /book/ may run at most once. The request states how long its caller waits:
     * the timeout, unless another time is given.
     */
    auto call(const FleetHost &host,
              const std::string &path,
              const std::string &key = "key-free",
              std::chrono::milliseconds timeout = std::chrono::seconds { 4 },
              std::optional<std::chrono::milliseconds> statedTime = std::nullopt) -> FleetCall;

    /** Polls until the condition holds; false after the time limit. */
    [[nodiscard]] static auto waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit) -> bool;

    /** Waits until every running host serves a request. Throws after the time limit. */
    auto waitUntilServing(std::chrono::milliseconds limit = std::chrono::seconds { 15 }) -> void;

private:
    auto writeSettings(const FleetHost &host) const -> void;
    auto addHost(const std::string &zone, int thirdOctet, int number) -> void;
    auto addBackend(const std::string &zone, int thirdOctet, int number) -> void;
    auto startProxy() -> void;

    FleetSettings settings_;
    std::string folder_;
    int version_ = 0;
    KeyValueServer store_;
    RequestRunLog log_;
    std::vector<std::unique_ptr<PlatformBackend>> backends_;
    std::vector<FleetHost> hosts_;
    std::vector<standin::ProxyLink> links_;
    std::unique_ptr<standin::FaultProxy> proxy_;
    integration::Caller caller_;
};

/** Describes violations of the request contract, one per line: a run of a request that was reported as not run, an API key that reached a backend server, or a
 * successful response that is not the complete response to the request. */
[[nodiscard]] auto findContractViolations(const std::vector<FleetCall> &calls, const std::multimap<std::string, RequestRun> &runs) -> std::string;

/** Maximum number of an organisation's runs in any window of the given length, regardless of when their requests were sent. */
[[nodiscard]] auto maximumRunsInWindow(const std::multimap<std::string, RequestRun> &runs, const std::string &organisation, std::chrono::milliseconds window)
    -> int;

/** Lists requests that ran more than once; call it with at-most-once requests only. */
[[nodiscard]] auto findDuplicateRuns(const std::vector<FleetCall> &calls, const std::multimap<std::string, RequestRun> &runs) -> std::string;

}
