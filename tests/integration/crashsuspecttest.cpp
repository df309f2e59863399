#include "support/caller.h"
#include "support/deployment.h"
#include "support/invariants.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace integration;

namespace
{

constexpr auto statusOk = 200;
/** Time within which the crash report of the second backend server reaches every host. */
constexpr auto propagationLimit = std::chrono::seconds { 2 };
constexpr auto warmUpLimit = std::chrono::seconds { 10 };
constexpr auto crashSuspectThreshold = 2;
/** The number of slots that a host has at the three backend servers of its zone. */
constexpr auto warmUpRequests = 12;

struct CrashCase
{
    std::string name_;
    std::string method_;
    std::string path_;
    /** Idle time of the pooled connections before the request; 0 if there are no pooled connections. */
    std::chrono::milliseconds idle_ {};
};

auto crashRequest(const CrashCase &crashCase, const std::string &key) -> CallerRequest
{
    auto request = CallerRequest {};
    request.testId_ = makeTestId();
    request.method_ = crashCase.method_;
    request.path_ = crashCase.path_;
    request.key_ = key;
    request.idempotencyKey_ = crashCase.method_ == "POST" ? request.testId_ : "";
    request.runsAtMostOnce_ = crashCase.method_ == "POST";
    request.headers_ = { { "X-Test-Crash", "1" } };
    return request;
}

auto countCrashed(Deployment &deployment) -> int
{
    auto crashed = 0;
    for (auto &backend : deployment.backends()) {
        crashed += backend.process_->isRunning() ? 0 : 1;
    }
    return crashed;
}

/** Fills every host's pool with connections to the backend servers of its zone. */
auto warmUpPools(Deployment &deployment, Caller &caller, const std::string &key) -> void
{
    auto threads = std::vector<std::thread> {};
    for (const auto &host : deployment.hosts()) {
        for (auto number = 0; number < warmUpRequests; ++number) {
            threads.emplace_back([&] {
                auto request = CallerRequest {};
                request.path_ = "/warm";
                request.key_ = key;
                request.headers_ = { { "X-Test-Service-Ms", "100" } };
                // A host that has just started must first borrow rate shares from its peers.
                const auto deadline = std::chrono::steady_clock::now() + warmUpLimit;
                auto status = caller.send(host.address_, request).status_;
                while (status != statusOk && std::chrono::steady_clock::now() < deadline) {
                    std::this_thread::sleep_for(std::chrono::milliseconds(20));
                    status = caller.send(host.address_, request).status_;
                }
                CHECK(status == statusOk);
            });
        }
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

}

// Guards against a request that crashes one backend server after another because its caller resends it through different hosts.
TEST_CASE("every host refuses a request that has crashed two backend servers")
{
    const auto cases = std::vector<CrashCase> {
        { "not repeatable", "POST", "/once/crash", {} },
        { "repeatable", "GET", "/dives/crash", {} },
        { "repeatable on idle pooled connections", "GET", "/dives/crash", std::chrono::milliseconds(1500) },
    };
    auto settings = DeploymentSettings {};
    settings.hostsPerZone_ = 2;
    settings.backendsPerZone_ = 3;
    for (const auto &crashCase : cases) {
        auto deployment = Deployment(settings);
        const auto key = deployment.grantKey("alpha").key_;
        deployment.waitUntilKeyAccepted(key);
        auto caller = Caller {};
        CAPTURE(crashCase.name_);
        if (crashCase.idle_.count() > 0) {
            warmUpPools(deployment, caller, key);
            std::this_thread::sleep_for(crashCase.idle_);
        }
        for (auto &host : deployment.hosts()) {
            if (countCrashed(deployment) < crashSuspectThreshold) {
                CHECK(caller.send(host.address_, crashRequest(crashCase, key)).outcome_ == "unknown");
                // The exit of the process becomes visible shortly after its connection is closed.
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
            }
        }
        CHECK(countCrashed(deployment) == crashSuspectThreshold);
        std::this_thread::sleep_for(propagationLimit);
        for (auto repetition = 0; repetition < 2; ++repetition) {
            for (auto &host : deployment.hosts()) {
                const auto response = caller.send(host.address_, crashRequest(crashCase, key));
                CAPTURE(host.name_);
                CAPTURE(response.body_);
                CHECK(response.reason_ == "crash_suspect");
                CHECK(response.outcome_ == "not-run");
            }
        }
        CHECK(countCrashed(deployment) == crashSuspectThreshold);
        CHECK(findViolations(deployment, caller.records(), { key }) == "");
    }
}
