#include "support/backenddraining.h"

#include "support/controlcall.h"
#include "support/invariants.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>

namespace integration
{

namespace
{

using Json = nlohmann::json;

constexpr auto hostListLagMilliseconds = 2000;
constexpr auto warmUpTime = std::chrono::milliseconds { 1000 };
/** Slots lent before a partition stay in use until the loan has expired (2 s) and the deadline of the route has passed. */
constexpr auto settleTime = std::chrono::seconds { 7 };
constexpr auto pauseBetweenRequests = std::chrono::milliseconds { 20 };
constexpr auto shortCallersPerHost = 3;
constexpr auto longCallersPerHost = 8;
/**
 * A daemon abandons an unresponsive connection after half of the remaining time, at most 2 s. With 1500 ms, a stall of 500 ms on a busy machine made
 * requests time out, and healthy servers were ejected.
 */
constexpr auto longServiceMilliseconds = "800";
constexpr auto statusOk = 200;

auto sendRepeatedly(const std::atomic<bool> &stopped, Caller &caller, const std::string &address, bool isLong) -> void
{
    while (!stopped) {
        auto request = CallerRequest {};
        request.path_ = "/open/prices";
        if (isLong) {
            request.headers_ = { { "X-Test-Service-Ms", longServiceMilliseconds } };
        }
        caller.send(address, request);
        std::this_thread::sleep_for(pauseBetweenRequests);
    }
}

auto startDraining(Deployment &deployment, const DrainingServer &server) -> void
{
    const auto &backend = deployment.backend(server.name_);
    switch (server.signal_) {
    case DrainSignal::DrainRule: {
        const auto result = deployment.runTool({ "drain", "backend/" + server.name_ });
        REQUIRE(result.exitCode_ == 0);
        return;
    }
    case DrainSignal::HostList: {
        const auto entry = Json { { "name", server.name_ }, { "address", backend.address_ }, { "leaving", true } };
        postControl(deployment.storeAddress(), "/control/hosts", Json { { "lag_ms", hostListLagMilliseconds }, { "hosts", Json::array({ entry }) } });
        return;
    }
    case DrainSignal::HealthEndpoint:
        setHealthState(backend, "draining");
        return;
    case DrainSignal::ConnectionClose:
        setHealthState(backend, "closing");
        return;
    }
}

auto startOutage(Deployment &deployment, Outage outage) -> void
{
    if (outage == Outage::Store) {
        postControl(deployment.storeAddress(), "/control/outage", Json { { "on", true } });
    }
    if (outage == Outage::ZoneIsolated) {
        deployment.isolateZone("r1-3", true);
        std::this_thread::sleep_for(settleTime);
    }
}

/** Waits until a server has a request in flight; false after the time limit. */
auto waitForRequestInFlight(const TestBackend &backend) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + settleTime;
    while (readControl(backend.listen_, "/control/counts").at("in_flight") == 0) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        std::this_thread::sleep_for(pauseBetweenRequests);
    }
    return true;
}

auto describeUnservedCalls(const Caller &caller) -> std::string
{
    auto unserved = std::string {};
    for (const auto &call : caller.records()) {
        if (call.response_.status_ != statusOk) {
            unserved += fmt::format("{} {} {} {}\n", call.entryHost_, call.response_.status_, call.response_.reason_, call.response_.error_);
        }
    }
    return unserved;
}

}

auto drainTestSettings() -> DeploymentSettings
{
    auto settings = DeploymentSettings {};
    settings.zonesPerRegion_ = 3;
    settings.backendsPerZone_ = 4;
    settings.routeDeadline_ = "4s";
    settings.usesFaultProxy_ = true;
    return settings;
}

OpenRouteLoad::OpenRouteLoad(Deployment &deployment, Caller &caller)
{
    for (auto &host : deployment.hosts()) {
        for (auto number = 0; number < shortCallersPerHost + longCallersPerHost; ++number) {
            threads_.emplace_back([this, &caller, address = host.address_, isLong = number >= shortCallersPerHost] {
                sendRepeatedly(stopped_, caller, address, isLong);
            });
        }
    }
}

OpenRouteLoad::~OpenRouteLoad()
{
    stopped_ = true;
    for (auto &thread : threads_) {
        thread.join();
    }
}

auto countReceivedRequests(const TestBackend &backend) -> int
{
    const auto record = readControl(backend.listen_, "/control/record").at("requests");
    return static_cast<int>(std::count_if(record.begin(), record.end(), [](const Json &request) {
        return request.at("outcome") != "report";
    }));
}

auto setHealthState(const TestBackend &backend, const std::string &state) -> void
{
    postControl(backend.listen_, "/control/health", Json { { "state", state } });
}

auto checkDraining(Outage outage, const std::vector<DrainingServer> &servers) -> void
{
    auto deployment = Deployment(drainTestSettings());
    auto earlyCaller = Caller {};
    {
        const auto load = OpenRouteLoad(deployment, earlyCaller);
        std::this_thread::sleep_for(warmUpTime);
        startOutage(deployment, outage);
    }
    auto caller = Caller {};
    auto received = std::vector<int> {};
    {
        const auto load = OpenRouteLoad(deployment, caller);
        std::this_thread::sleep_for(warmUpTime);
        for (const auto &server : servers) {
            CAPTURE(server.name_);
            REQUIRE(waitForRequestInFlight(deployment.backend(server.name_)));
            startDraining(deployment, server);
        }
        std::this_thread::sleep_for(drainLimit);
        for (const auto &server : servers) {
            received.push_back(countReceivedRequests(deployment.backend(server.name_)));
        }
        std::this_thread::sleep_for(observationTime);
    }
    for (auto index = std::size_t { 0 }; index < servers.size(); ++index) {
        CAPTURE(servers[index].name_);
        CHECK(countReceivedRequests(deployment.backend(servers[index].name_)) - received[index] == 0);
    }
    CHECK(describeUnservedCalls(caller) == "");
    CHECK(findViolations(deployment, earlyCaller.records(), {}) == "");
    CHECK(findViolations(deployment, caller.records(), {}) == "");
}

}
