/** A deployment of real processes on loopback addresses: store, backend servers, daemons and optionally a fault proxy between them. */
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
    /** Maximum number of requests that a daemon serves concurrently. */
    int threads_ = 64;
    std::vector<TestOrganisation> organisations_ = { { "alpha" }, { "beta" } };
    std::string freshness_ = "4s";
    std::string loan_ = "2s";
    std::string lookupLifetime_ = "5s";
    std::string routeDeadline_ = "2s";
    std::string slowStart_ = "0s";
    /** Puts a fault proxy on every connection from a daemon to the store, a daemon or a backend server. */
    bool usesFaultProxy_ = false;
    /** Additional command-line options of the store and the backend servers. */
    std::vector<std::string> storeOptions_;
    std::vector<std::string> backendOptions_;
    /** Rule files by name, which are added to the generated ones or replace them. */
    std::map<std::string, std::string> ruleFiles_;
};

/** A key granted by the command-line tool. */
struct GrantedKey
{
    /** Public name, used to withdraw the key. */
    std::string name_;
    /** The secret key. */
    std::string key_;
};

/** A daemon's names and addresses. */
struct TestHost
{
    std::string name_;
    std::string zone_;
    std::string region_;
    /** Listening address for callers. */
    std::string address_;
    /** Listening address for peers, and the address that peers connect to, which is the fault proxy if there is one. */
    std::string peerListen_;
    std::string peerAddress_;
    std::string adminAddress_;
    /** The address at which this daemon connects to the store, which is the fault proxy if there is one. */
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
    /** The address that daemons connect to, which is the fault proxy if there is one. */
    std::string address_;
    std::string executionsFile_;
    std::unique_ptr<Process> process_;
};

/**
 * Starts all processes, applies the rules and waits until every daemon serves requests. Routes: "/open" (open), "/once" (keyed, not repeatable) and "/"
 * (keyed). Throws with the reason if a process does not start. The destructor ends all processes and removes the folder, unless an exception (such as a
 * failed REQUIRE) ends the test or KEEP_TEST_FILES is set.
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
    /** Folder with the settings, rules and output of all processes. */
    [[nodiscard]] auto folder() const -> const std::string &;
    [[nodiscard]] auto ruleFolder() const -> std::string;

    auto startStore() -> void;
    auto startHost(TestHost &host) -> void;
    auto startBackend(TestBackend &backend) -> void;

    /** Waits until each running daemon serves an open request. Throws after the time limit. */
    auto waitUntilServing(std::chrono::milliseconds limit = std::chrono::seconds(20)) -> void;

    /** Writes a file into the rule folder; it takes effect with applyRules. */
    auto writeRule(const std::string &name, const std::string &text) -> void;
    auto removeRule(const std::string &name) -> void;

    /** Applies the rule folder with the command-line tool. */
    auto applyRules() -> ProgramResult;

    /** Runs the command-line tool; the option --store is added where the command takes it. */
    auto runTool(const std::vector<std::string> &arguments) -> ProgramResult;

    /** Grants a key with the command-line tool. Throws if the tool fails. */
    auto grantKey(const std::string &organisation) -> GrantedKey;

    /** Waits until every running daemon accepts a key. Throws after the time limit. */
    auto waitUntilKeyAccepted(const std::string &key, std::chrono::milliseconds limit = std::chrono::seconds(6)) -> void;

    /**
     * Sets a fault in the fault proxy: cut, freeze, drop-replies {"on"}, delay {"ms"} or silence. Links are "store-HOST", "peer-HOST" (connections to
     * that daemon) and "backend-NAME"; a name may end in "*". If sources are given, the fault applies only to connections opened by these daemons.
     */
    auto injectFault(const std::string &fault, const std::vector<std::string> &links, nlohmann::json body, const std::vector<std::string> &sources = {})
        -> void;

    /** Partitions a zone from all other zones and from the store, or ends the partition. Requires the fault proxy. */
    auto isolateZone(const std::string &zone, bool on) -> void;

    /** Number of executions by X-Test-Id over all backend servers, including those before a crash. */
    [[nodiscard]] auto executions() const -> std::map<std::string, int>;

private:
    auto chooseAddressBlock() -> void;
    auto assignAddresses() -> void;
    auto writeRules() -> void;
    auto startProxy() -> void;
    auto sendSourcesToProxy() -> void;
    [[nodiscard]] auto addressOf(int thirdOctet, int fourthOctet, int port) const -> std::string;

    DeploymentSettings settings_;
    std::string folder_;
    std::string secretFile_;
    std::string operatorKeyFile_;
    /** Second octet of all addresses: 127.BLOCK.x.y. */
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
