/** A whole deployment of real processes on loopback addresses: store, backend servers, daemons and, if wanted, a fault proxy between them. */
#pragma once

#include "support/process.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace integration
{

/** An organisation of a deployment. */
struct TestOrganisation
{
    std::string name_;
    std::string rate_ = "2000/s";
    int burst_ = 2000;
};

/** Size and rules of a deployment. */
struct DeploymentSettings
{
    /** Regions are named r1, r2 and so on; their zones r1-1, r1-2. The store is in r1. */
    int regions_ = 1;
    int zonesPerRegion_ = 2;
    /** Hosts are named ZONE-h1 and so on. */
    int hostsPerZone_ = 1;
    /** Backend servers are named ZONE-b1 and so on, all in the pool "main". */
    int backendsPerZone_ = 1;
    int slots_ = 8;
    int serviceMilliseconds_ = 5;
    /** Requests that a daemon serves at once. */
    int threads_ = 64;
    std::vector<TestOrganisation> organisations_ = { { "alpha" }, { "beta" } };
    std::string freshness_ = "4s";
    std::string loan_ = "2s";
    std::string lookupLifetime_ = "5s";
    std::string routeDeadline_ = "2s";
    std::string slowStart_ = "0s";
    /** Puts a fault proxy on every connection from a daemon to the store, a daemon or a backend server. */
    bool usesFaultProxy_ = false;
    /** More options of the store and the backend servers. */
    std::vector<std::string> storeOptions_;
    std::vector<std::string> backendOptions_;
    /** Rule files that are added to, or replace, the generated ones, by name. */
    std::map<std::string, std::string> ruleFiles_;
};

/** A key that the tool granted. */
struct GrantedKey
{
    /** Public name, by which it is withdrawn. */
    std::string name_;
    /** The key itself. */
    std::string key_;
};

/** A daemon's names and addresses. */
struct TestHost
{
    std::string name_;
    std::string zone_;
    std::string region_;
    /** For callers. */
    std::string address_;
    /** Where the daemon listens for others, and where they connect: the proxy, if there is one. */
    std::string peerListen_;
    std::string peerAddress_;
    std::string adminAddress_;
    /** Address of the store as this daemon sees it. */
    std::string storeAddress_;
    std::unique_ptr<Process> process_;
};

/** A backend server's names and addresses. */
struct TestBackend
{
    std::string name_;
    std::string zone_;
    std::string region_;
    std::string listen_;
    /** Where daemons connect: the proxy, if there is one. */
    std::string address_;
    std::string executionsFile_;
    std::unique_ptr<Process> process_;
};

/**
 * Starts everything, applies the rules and waits until every daemon serves. Routes: "/open" (open), "/once" (keyed, not repeatable) and "/" (keyed).
 * Every failure to start throws with the reason. The destructor ends all processes; files of a failed test stay.
 */
class Deployment
{
public:
    explicit Deployment(DeploymentSettings settings);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    auto operator=(const Deployment &) -> Deployment & = delete;

    [[nodiscard]] auto settings() const -> const DeploymentSettings &;
    [[nodiscard]] auto hosts() -> std::vector<TestHost> &;
    [[nodiscard]] auto backends() -> std::vector<TestBackend> &;
    [[nodiscard]] auto host(const std::string &name) -> TestHost &;
    [[nodiscard]] auto backend(const std::string &name) -> TestBackend &;
    [[nodiscard]] auto store() -> Process &;
    [[nodiscard]] auto storeAddress() const -> const std::string &;
    /** Folder of settings, rules and output. */
    [[nodiscard]] auto folder() const -> const std::string &;
    [[nodiscard]] auto ruleFolder() const -> std::string;

    auto startStore() -> void;
    auto startHost(TestHost &host) -> void;
    auto startBackend(TestBackend &backend) -> void;

    /** Waits until each running daemon answers an open request. Throws after the time. */
    auto waitUntilServing(std::chrono::milliseconds limit = std::chrono::seconds(20)) -> void;

    /** Writes a rule file into the folder; it takes effect with applyRules. */
    auto writeRule(const std::string &name, const std::string &text) -> void;
    auto removeRule(const std::string &name) -> void;

    /** Applies the rule folder through the tool. */
    auto applyRules() -> ProgramResult;

    /** Runs the command-line tool; the option --store is added where the command takes it. */
    auto runTool(const std::vector<std::string> &arguments) -> ProgramResult;

    /** Grants a key through the tool. Throws when the tool fails. */
    auto grantKey(const std::string &organisation) -> GrantedKey;

    /** Waits until every running daemon accepts a key. */
    auto waitUntilKeyAccepted(const std::string &key, std::chrono::milliseconds limit = std::chrono::seconds(6)) -> void;

    /**
     * Calls the fault proxy: cut, freeze, drop-replies {"on"}, delay {"ms"}, silence. Links are "store-HOST", "peer-HOST" (connections to that daemon)
     * and "backend-NAME"; a name may end in "*". With sources, only connections that these daemons opened are meant.
     */
    auto injectFault(const std::string &fault, const std::vector<std::string> &links, nlohmann::json body, const std::vector<std::string> &sources = {})
        -> void;

    /** Cuts a zone off from all other zones and from the store, or joins it again. Needs proxies. */
    auto isolateZone(const std::string &zone, bool on) -> void;

    /** Executions by X-Test-Id over all backend servers, those before a crash included. */
    [[nodiscard]] auto executions() const -> std::map<std::string, int>;

private:
    auto chooseAddressBlock() -> void;
    auto assignAddresses() -> void;
    auto writeRules() -> void;
    auto startProxy() -> void;
    auto sendSourcesToProxy() -> void;
    [[nodiscard]] auto addressOf(int third, int fourth, int port) const -> std::string;

    DeploymentSettings settings_;
    std::string folder_;
    std::string secretFile_;
    std::string operatorKeyFile_;
    /** Second part of all addresses: 127.BLOCK.x.y. */
    int addressBlock_ = 0;
    std::string storeAddress_;
    std::string proxyControl_;
    std::vector<std::string> proxyLinks_;
    std::vector<TestHost> hosts_;
    std::vector<TestBackend> backends_;
    std::unique_ptr<Process> store_;
    std::unique_ptr<Process> proxy_;
};

}
