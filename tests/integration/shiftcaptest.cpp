#include "support/caller.h"
#include "support/constantrateload.h"
#include "support/controlcall.h"
#include "support/deployment.h"
#include "support/invariants.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace integration;
using namespace std::chrono_literals;

namespace
{

constexpr auto cap = 20;
constexpr auto shiftRule = "30-shift-move.yaml";
constexpr auto keyAcceptanceLimit = 20s;
/** Time after which the shares of a new shift are in force: the freshness bound plus a margin. */
constexpr auto sharePropagationTime = 6s;

/** Sends a request that belongs to the load of the source region to one of its hosts. */
auto sendFromSource(Caller &caller, Deployment &deployment, const std::string &key, int number) -> void
{
    const auto usesSecondHost = deployment.settings().zonesPerRegion_ > 1 && number % 3 == 0;
    auto &host = deployment.host(usesSecondHost ? "r1-2-h1" : "r1-1-h1");
    auto request = CallerRequest {};
    request.path_ = "/moved";
    request.key_ = key;
    request.timeout_ = 5000ms;
    caller.send(host.address_, request);
}

/** Execution start times of the source region's requests on each backend server of the target region, in milliseconds of the server's own clock. */
auto movedStartTimes(Deployment &deployment, const std::vector<CallRecord> &records) -> std::vector<std::vector<double>>
{
    auto moved = std::set<std::string> {};
    for (const auto &record : records) {
        if (record.request_.path_ == "/moved") {
            moved.insert(record.request_.testId_);
        }
    }
    auto starts = std::vector<std::vector<double>> {};
    for (const auto &backend : deployment.backends()) {
        if (backend.region_ != "r2") {
            continue;
        }
        starts.emplace_back();
        const auto record = readControl(backend.listen_, "/control/record");
        REQUIRE(record.at("discarded") == 0);
        for (const auto &request : record.at("requests")) {
            if (moved.count(request.at("id").get<std::string>()) > 0 && request.at("outcome") != "shed") {
                starts.back().push_back(request.at("start_ms").get<double>());
            }
        }
    }
    return starts;
}

auto maximumPerSecond(std::vector<double> starts) -> int
{
    std::sort(starts.begin(), starts.end());
    auto maximum = 0;
    auto first = std::size_t { 0 };
    for (auto last = std::size_t { 0 }; last < starts.size(); ++last) {
        while (starts[last] - starts[first] > 1000) {
            ++first;
        }
        maximum = std::max(maximum, static_cast<int>(last - first + 1));
    }
    return maximum;
}

}

// Guards against moving more requests than the operator's cap through the shift, through failover between the same regions, or through requests that took
// tokens of the cap, waited for slots of the target region and then all start at the same time.
TEST_CASE("moved requests never exceed the cap of their shift")
{
    auto settings = DeploymentSettings {};
    // With one zone, one host owns the whole cap; with two, the hosts share it and lend parts to each other.
    SUBCASE("one host owns the cap")
    {
        settings.zonesPerRegion_ = 1;
    }
    SUBCASE("two hosts share the cap")
    {
        settings.zonesPerRegion_ = 2;
    }
    settings.regions_ = 2;
    settings.routeDeadline_ = "4s";
    settings.usesFaultProxy_ = true;
    auto deployment = Deployment(settings);
    const auto key = deployment.grantKey("alpha").key_;
    deployment.waitUntilKeyAccepted(key, keyAcceptanceLimit);
    if (settings.zonesPerRegion_ > 1) {
        // Uses only one server of the target region, so that one clock times all moved executions.
        deployment.writeRule("70-drain.yaml", "kind: drain\nname: one-clock\ntarget: backend/r2-2-b1\n");
    }
    deployment.writeRule(
        shiftRule, fmt::format("kind: shift\nname: move\npool: main\nfrom: r1\nto: r2\nshare: 50%\ncap: {}/s\nstart: 2020-01-01T00:00:00Z\nover: 1s\n", cap));
    const auto applied = deployment.applyRules();
    CAPTURE(applied.output_ + applied.errorOutput_);
    REQUIRE(applied.exitCode_ == 0);
    std::this_thread::sleep_for(sharePropagationTime);

    auto caller = Caller {};
    auto load = ConstantRateLoad(80, 64, [&](int number) {
        sendFromSource(caller, deployment, key, number);
    });
    std::this_thread::sleep_for(6s);
    // Three times, the target region's own callers occupy all its slots for a while.
    for (auto round = 0; round < 3; ++round) {
        auto occupyingThreads = std::vector<std::thread> {};
        for (auto index = 0; index < 2 * settings.slots_; ++index) {
            occupyingThreads.emplace_back([&] {
                auto request = CallerRequest {};
                request.path_ = "/busy";
                request.key_ = key;
                request.headers_ = { { "X-Test-Service-Ms", "900" } };
                caller.send(deployment.host("r2-1-h1").address_, request);
            });
        }
        for (auto &thread : occupyingThreads) {
            thread.join();
        }
        std::this_thread::sleep_for(500ms);
    }
    // Triggers failover by killing all backend servers of the source region.
    for (auto &backend : deployment.backends()) {
        if (backend.region_ == "r1") {
            backend.process_->kill();
        }
    }
    std::this_thread::sleep_for(6s);
    load.stop();

    auto total = std::size_t { 0 };
    for (const auto &starts : movedStartTimes(deployment, caller.records())) {
        total += starts.size();
        const auto maximum = maximumPerSecond(starts);
        MESSAGE("moved " << starts.size() << " requests, at most " << maximum << " in a second under a cap of " << cap);
        CHECK(maximum <= cap);
    }
    // The bound would hold trivially if few requests were moved. The load lasts more than 12 s.
    CHECK(total > 12 * cap / 4);
    CHECK(findViolations(deployment, caller.records(), { key }) == "");
}
