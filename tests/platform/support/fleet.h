/** A deployment on the users' platform: real daemons on loopback addresses, and the stand-ins of the store and the backend servers in this process. */
#pragma once

#include "support/caller.h"
#include "support/faultproxy.h"
#include "support/keyvalueserver.h"
#include "support/process.h"
#include "support/upstream.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace platformtest
{

/** Size of a deployment, which has the regions r1 and r2 with one zone each, r1-a and r2-a. */
struct FleetSettings
{
    int hostsPerZone_ = 2;
    int upstreamsPerZone_ = 2;
    /** Rate and burst of the organisation "limited"; "free" has none. */
    double rate_ = 20;
    int burst_ = 20;
    /** Puts a fault proxy on each host's connections to the store and on the connections to each backend server. */
    bool isProxied_ = false;
    /** Memory that the settings give each host; the smallest of the sites. */
    int memoryMegabytes_ = 112;
};

/** One entry host. */
struct FleetHost
{
    std::string name_;
    std::string zone_;
    std::string callerAddress_;
    std::string readyAddress_;
    std::string lookupAddress_;
    /** Address of the store for this host, and the one that it calls: the proxy's, if there is one. */
    std::string storeAddress_;
    std::string storeSeenAt_;
    std::string settingsFile_;
    std::unique_ptr<integration::Process> process_;
};

/** A request and what became of it. */
struct FleetCall
{
    std::string id_;
    integration::CallerResponse answer_;
    std::chrono::steady_clock::time_point sentAt_;
};

/** Starts everything. The destructor ends all processes. Failures to start throw with the reason. */
class Fleet
{
public:
    explicit Fleet(FleetSettings settings = {});
    ~Fleet();
    Fleet(const Fleet &) = delete;
    auto operator=(const Fleet &) -> Fleet & = delete;

    [[nodiscard]] auto store() -> KeyValueServer &;
    [[nodiscard]] auto hosts() -> std::vector<FleetHost> &;
    [[nodiscard]] auto upstreams() -> std::vector<std::unique_ptr<Upstream>> &;
    [[nodiscard]] auto runs() const -> std::multimap<std::string, UpstreamRun>;
    /** How many requests a backend server has run. */
    [[nodiscard]] auto runsOn(const std::string &instance) const -> int;

    auto startHost(FleetHost &host) -> void;

    /** Writes the configuration under the next version. Keys: "key-free" of "free", "key-limited" of "limited", unless left out. */
    auto configure(const std::vector<std::string> &keysLeftOut = {}) -> void;

    /** Calls the fault proxy: cut, freeze, drop-replies {"on"}, delay {"ms"}, silence. Links are "store-HOST" and "upstream-INSTANCE", or "*" for all. */
    auto injectFault(const std::string &fault, const std::string &link, nlohmann::json body) -> void;

    /** Changes the limit of the organisation "limited" with the next configuration. */
    auto setLimit(double rate, int burst) -> void;

    /** Sends a request to a host. Paths: /read/ may run more than once, /book/ at most once. */
    auto
    call(const FleetHost &host, const std::string &path, const std::string &key = "key-free", std::chrono::milliseconds timeout = std::chrono::seconds { 4 })
        -> FleetCall;

    /** Waits until a condition holds; false after the time. */
    [[nodiscard]] static auto waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit) -> bool;

    /** Waits until every running host answers a request. Throws after the time. */
    auto waitUntilServing(std::chrono::milliseconds limit = std::chrono::seconds { 15 }) -> void;

private:
    auto writeSettings(const FleetHost &host) const -> void;
    auto addHost(const std::string &zone, int third, int number) -> void;
    auto addUpstream(const std::string &zone, int third, int number) -> void;
    auto startProxy() -> void;

    FleetSettings settings_;
    std::string folder_;
    int version_ = 0;
    KeyValueServer store_;
    RunLog log_;
    std::vector<std::unique_ptr<Upstream>> upstreams_;
    std::vector<FleetHost> hosts_;
    std::vector<standin::ProxyLink> links_;
    std::unique_ptr<standin::FaultProxy> proxy_;
    integration::Caller caller_;
};

/** What must hold of all calls: no run of a request that was answered as not run, no key passed on, no answer but the whole one to the request. */
[[nodiscard]] auto findBrokenPromises(const std::vector<FleetCall> &calls, const std::multimap<std::string, UpstreamRun> &runs) -> std::string;

/** Most runs of an organisation in any window of the given length, whenever their requests were sent. */
[[nodiscard]] auto mostRunsInWindow(const std::multimap<std::string, UpstreamRun> &runs, const std::string &organisation, std::chrono::milliseconds window)
    -> int;

/** Requests that ran more than once; to be called with those that must not. */
[[nodiscard]] auto findRepeatedRuns(const std::vector<FleetCall> &calls, const std::multimap<std::string, UpstreamRun> &runs) -> std::string;

}
