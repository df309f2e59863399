#include "support/caller.h"
#include "support/configurationstatus.h"
#include "support/controlcall.h"
#include "support/deployment.h"
#include "support/invariants.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

using namespace integration;
using namespace std::chrono_literals;

namespace
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

/** Time within which an accepted configuration must be in force on all hosts. */
constexpr auto propagationLimit = 6s;
constexpr auto toolLimit = 30s;
/** Exit codes of the tool. */
constexpr auto exitSuccess = 0;
constexpr auto exitUnreachable = 3;
constexpr auto exitConflict = 4;
constexpr auto seed = 41;

auto proxiedSettings(int zones, int hostsPerZone) -> DeploymentSettings
{
    auto settings = DeploymentSettings {};
    settings.zonesPerRegion_ = zones;
    settings.hostsPerZone_ = hostsPerZone;
    settings.usesFaultProxy_ = true;
    return settings;
}

/** An organisation's rule file; a different burst makes it a different edit. */
auto organisationRule(const std::string &name, int burst) -> std::string
{
    return fmt::format("kind: organisation\nname: {}\nrate: 2000/s\nburst: {}\nweight: 1\n", name, burst);
}

/** An operator with a working folder of rule files. */
struct Operator
{
    Operator(Deployment &deployment, std::string name)
        : deployment_(deployment)
        , name_(std::move(name))
        , folder_(deployment.folder() + "/" + name_)
    {
    }

    auto run(std::vector<std::string> arguments) -> ProgramResult
    {
        arguments.insert(arguments.begin(), programPath("lycheecleat"));
        arguments.insert(arguments.end(), { "--store", deployment_.storeAddress() });
        return runProgram("tool-" + name_, arguments, deployment_.folder(), toolLimit);
    }

    auto pull() -> ProgramResult
    {
        return run({ "pull", folder_ });
    }

    auto apply() -> ProgramResult
    {
        return run({ "apply", folder_ });
    }

    auto write(const std::string &organisation, int burst) -> void
    {
        writeText(folder_ + "/40-organisation-" + organisation + ".yaml", organisationRule(organisation, burst));
    }

    auto read(const std::string &organisation) -> std::string
    {
        return readText(folder_ + "/40-organisation-" + organisation + ".yaml");
    }

    Deployment &deployment_;
    std::string name_;
    std::string folder_;
};

/** The rule file of an organisation in the store, read through a pull into a new folder. */
auto storedRule(Deployment &deployment, const std::string &organisation) -> std::string
{
    static auto number = 0;
    auto reader = Operator(deployment, fmt::format("reader-{}", ++number));
    REQUIRE(reader.pull().exitCode_ == exitSuccess);
    return reader.read(organisation);
}

/** Polls all ready daemons and records violations: a daemon's revision decreases, also across a restart, or one revision has two digests. */
class RevisionMonitor
{
public:
    explicit RevisionMonitor(Deployment &deployment)
        : deployment_(deployment)
    {
        for (const auto &host : deployment.hosts()) {
            hosts_.push_back(HostAddress { host.name_, host.adminAddress_ });
        }
        thread_ = std::thread([this] {
            while (!isStopping_) {
                poll();
                std::this_thread::sleep_for(20ms);
            }
        });
    }
    RevisionMonitor(const RevisionMonitor &) = delete;
    auto operator=(const RevisionMonitor &) -> RevisionMonitor & = delete;
    ~RevisionMonitor()
    {
        isStopping_ = true;
        thread_.join();
    }

    /** The violations so far, one per line. */
    auto violations() -> std::string
    {
        const auto lock = std::lock_guard(mutex_);
        return violations_;
    }

private:
    struct HostAddress
    {
        std::string name_;
        std::string address_;
    };

    auto poll() -> void
    {
        for (const auto &host : hosts_) {
            auto target = TestHost {};
            target.name_ = host.name_;
            target.adminAddress_ = host.address_;
            const auto status = readConfigurationStatus(deployment_, target);
            if (status && status->ready_) {
                recordStatus(host.name_, *status);
            }
        }
    }

    auto recordStatus(const std::string &name, const ConfigurationStatus &status) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        auto &highestRevision = highestRevisions_[name];
        if (status.revision_ < highestRevision) {
            violations_ += fmt::format("{} reverted from revision {} to {}\n", name, highestRevision, status.revision_);
        }
        highestRevision = std::max(highestRevision, status.revision_);
        const auto &digest = digests_.try_emplace(status.revision_, status.digest_).first->second;
        if (digest != status.digest_) {
            violations_ += fmt::format("{} has a different digest for revision {}\n", name, status.revision_);
        }
    }

    const Deployment &deployment_;
    std::vector<HostAddress> hosts_;
    std::mutex mutex_;
    std::map<std::string, std::int64_t> highestRevisions_;
    std::map<std::int64_t, std::string> digests_;
    std::string violations_;
    std::atomic<bool> isStopping_ = false;
    std::thread thread_;
};

struct RaceCase
{
    std::string name_;
    std::string firstOrganisation_;
    std::string secondOrganisation_;
    /** Expected exit codes of both operators, sorted. */
    std::vector<int> exitCodes_;
};

struct LostReplyCase
{
    std::string name_;
    std::string prefix_;
    int count_ = 0;
};

}

// Guards against a lost update when two operators apply concurrently, and against two edits of one file that both report success.
TEST_CASE("of two concurrent applies, edits of different files both succeed and edits of the same file conflict")
{
    auto deployment = Deployment(proxiedSettings(2, 1));
    auto monitor = RevisionMonitor(deployment);
    const auto cases = std::vector<RaceCase> {
        { "disjoint files", "alpha", "beta", { exitSuccess, exitSuccess } },
        { "the same file", "alpha", "alpha", { exitSuccess, exitConflict } },
    };
    auto burst = 3000;
    for (const auto &raceCase : cases) {
        for (auto round = 0; round < 5; ++round) {
            CAPTURE(raceCase.name_);
            CAPTURE(round);
            auto first = Operator(deployment, fmt::format("first-{}", burst));
            auto second = Operator(deployment, fmt::format("second-{}", burst));
            REQUIRE(first.pull().exitCode_ == exitSuccess);
            REQUIRE(second.pull().exitCode_ == exitSuccess);
            first.write(raceCase.firstOrganisation_, ++burst);
            second.write(raceCase.secondOrganisation_, ++burst);
            auto secondApply = std::async(std::launch::async, [&] {
                return second.apply();
            });
            const auto firstResult = first.apply();
            const auto secondResult = secondApply.get();
            auto exitCodes = std::vector { firstResult.exitCode_, secondResult.exitCode_ };
            std::sort(exitCodes.begin(), exitCodes.end());
            CAPTURE(firstResult.errorOutput_);
            CAPTURE(secondResult.errorOutput_);
            CHECK(exitCodes == raceCase.exitCodes_);
            if (firstResult.exitCode_ == exitSuccess) {
                CHECK(storedRule(deployment, raceCase.firstOrganisation_) == first.read(raceCase.firstOrganisation_));
            }
            if (secondResult.exitCode_ == exitSuccess) {
                CHECK(storedRule(deployment, raceCase.secondOrganisation_) == second.read(raceCase.secondOrganisation_));
            }
            CHECK(waitForRevision(deployment, storedRevision(deployment), propagationLimit) == "");
        }
    }
    CHECK(monitor.violations() == "");
}

// Guards against reporting a change as failed, or applying it twice, because the reply to its write was lost.
TEST_CASE("a change is applied exactly once when replies to its writes are lost")
{
    auto deployment = Deployment(proxiedSettings(2, 1));
    auto monitor = RevisionMonitor(deployment);
    const auto cases = std::vector<LostReplyCase> {
        { "head", "head", 1 },
        { "chunk", "chunk/", 1 },
        { "chunk twice", "chunk/", 2 },
        { "first write of any key", "", 1 },
    };
    auto burst = 4000;
    for (const auto &lostCase : cases) {
        CAPTURE(lostCase.name_);
        const auto before = storedRevision(deployment);
        const auto lostBefore = readControl(deployment.storeAddress(), "/control/counts").at("lost_reply").get<int>();
        postControl(deployment.storeAddress(), "/control/lose-replies", Json { { "count", lostCase.count_ }, { "prefix", lostCase.prefix_ } });
        deployment.writeRule("40-organisation-alpha.yaml", organisationRule("alpha", ++burst));
        const auto applied = deployment.applyRules();
        CAPTURE(applied.errorOutput_);
        CHECK(applied.exitCode_ == exitSuccess);
        CHECK(readControl(deployment.storeAddress(), "/control/counts").at("lost_reply").get<int>() == lostBefore + lostCase.count_);
        CHECK(storedRevision(deployment) == before + 1);
        CHECK(storedRule(deployment, "alpha") == organisationRule("alpha", burst));
        CHECK(waitForRevision(deployment, before + 1, propagationLimit) == "");
    }
    CHECK(monitor.violations() == "");
}

// Guards against a partially written change, and a change that is reported as applied but missing, when the store becomes unavailable and hosts crash
// during the apply.
TEST_CASE("applies succeed or report the outage, and succeed when repeated, while the store fails and hosts restart")
{
    auto deployment = Deployment(proxiedSettings(3, 1));
    auto monitor = RevisionMonitor(deployment);
    auto random = std::mt19937(seed);
    auto burst = 5000;
    auto interruptedApplies = 0;
    for (auto round = 0; round < 10; ++round) {
        CAPTURE(round);
        deployment.writeRule("40-organisation-alpha.yaml", organisationRule("alpha", ++burst));
        const auto delay = std::chrono::milliseconds(random() % 30);
        auto &host = deployment.hosts()[random() % deployment.hosts().size()];
        auto runningApply = std::async(std::launch::async, [&] {
            return deployment.applyRules();
        });
        std::this_thread::sleep_for(delay);
        postControl(deployment.storeAddress(), "/control/outage", Json { { "on", true } });
        host.process_->kill();
        const auto applied = runningApply.get();
        CAPTURE(applied.errorOutput_);
        CHECK((applied.exitCode_ == exitSuccess || applied.exitCode_ == exitUnreachable));
        interruptedApplies += applied.exitCode_ == exitUnreachable ? 1 : 0;
        postControl(deployment.storeAddress(), "/control/outage", Json { { "on", false } });
        if (applied.exitCode_ == exitSuccess) {
            CHECK(storedRule(deployment, "alpha") == organisationRule("alpha", burst));
        }
        const auto repeated = deployment.applyRules();
        CAPTURE(repeated.errorOutput_);
        CHECK(repeated.exitCode_ == exitSuccess);
        CHECK(storedRule(deployment, "alpha") == organisationRule("alpha", burst));
        deployment.startHost(host);
        CHECK(waitForRevision(deployment, storedRevision(deployment), propagationLimit) == "");
    }
    MESSAGE("applies interrupted by the outage: ", interruptedApplies);
    CHECK(monitor.violations() == "");
}

// Guards against a host that adopts an older configuration from a store restored from a snapshot, also after the host's restart.
TEST_CASE("hosts reject the older configuration of a store that was restored from a snapshot")
{
    auto deployment = Deployment(proxiedSettings(3, 1));
    const auto key = deployment.grantKey("alpha");
    deployment.waitUntilKeyAccepted(key.key_);
    auto monitor = RevisionMonitor(deployment);
    auto caller = Caller {};
    postControl(deployment.storeAddress(), "/control/snapshot", Json::object());
    REQUIRE(deployment.runTool({ "key", "withdraw", key.name_ }).exitCode_ == exitSuccess);
    const auto newest = storedRevision(deployment);
    REQUIRE(waitForRevision(deployment, newest, propagationLimit) == "");

    postControl(deployment.storeAddress(), "/control/rewind", Json::object());
    REQUIRE(storedRevision(deployment) == newest - 1);
    auto refusals = 0;
    for (auto &host : deployment.hosts()) {
        refusals += host.process_->waitForText("event=configuration_refused reason=older", propagationLimit) ? 1 : 0;
    }
    CHECK(refusals == static_cast<int>(deployment.hosts().size()));
    auto &restarted = deployment.hosts().front();
    restarted.process_->kill();
    deployment.startHost(restarted);
    CHECK(waitForRevision(deployment, newest, propagationLimit) == "");

    // The next change reuses a revision number that is in force with different content.
    CHECK(deployment.runTool({ "drain", "backend/r1-1-b1" }).exitCode_ == exitSuccess);
    REQUIRE(storedRevision(deployment) == newest);
    CHECK(deployment.hosts().back().process_->waitForText("event=configuration_refused reason=conflict", propagationLimit));
    CHECK(waitForRevision(deployment, newest, propagationLimit) == "");
    auto request = CallerRequest {};
    request.path_ = "/dives";
    request.key_ = key.key_;
    for (auto &host : deployment.hosts()) {
        CAPTURE(host.name_);
        CHECK(caller.send(host.address_, request).status_ != 200);
    }
    CHECK(monitor.violations() == "");
    CHECK(findViolations(deployment, caller.records(), { key.key_ }) == "");
}

// Guards against a host that keeps an old revision after a partition or a suspension.
TEST_CASE("hosts adopt the newest revision after a partition ends or their process resumes")
{
    auto deployment = Deployment(proxiedSettings(3, 2));
    auto monitor = RevisionMonitor(deployment);
    auto &suspended = deployment.host("r1-1-h1");
    deployment.isolateZone("r1-3", true);
    suspended.process_->suspend();
    for (auto burst = 7001; burst <= 7003; ++burst) {
        deployment.writeRule("40-organisation-alpha.yaml", organisationRule("alpha", burst));
        REQUIRE(deployment.applyRules().exitCode_ == exitSuccess);
    }
    // Longer than the freshness bound and the timeouts of all peer and store calls.
    std::this_thread::sleep_for(6s);
    const auto newest = storedRevision(deployment);
    for (const auto *const name : { "r1-3-h1", "r1-3-h2" }) {
        CHECK(readConfigurationStatus(deployment, deployment.host(name)).value_or(ConfigurationStatus {}).revision_ == newest - 3);
    }
    for (const auto *const name : { "r1-1-h2", "r1-2-h1", "r1-2-h2" }) {
        CHECK(readConfigurationStatus(deployment, deployment.host(name)).value_or(ConfigurationStatus {}).revision_ == newest);
    }
    deployment.isolateZone("r1-3", false);
    suspended.process_->resume();
    CHECK(waitForRevision(deployment, newest, propagationLimit) == "");
    CHECK(monitor.violations() == "");
}
