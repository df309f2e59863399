#include "support/caller.h"
#include "support/deployment.h"
#include "support/invariants.h"
#include "support/scenario.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <string>
#include <thread>
#include <vector>

using namespace integration;

namespace
{

constexpr auto statusOk = 200;
/** Enough concurrent requests to open connections to every backend server of the zone. */
constexpr auto warmUpRequests = 12;
/** Fewer than the retries that a host's retry budget has accumulated. */
constexpr auto parallelRequests = 4;

auto requestTo(const std::string &path, const std::string &key) -> CallerRequest
{
    auto request = CallerRequest {};
    request.testId_ = makeTestId();
    request.path_ = path + request.testId_;
    request.key_ = key;
    return request;
}

auto sendInParallel(Caller &caller, const TestHost &host, const std::vector<CallerRequest> &requests) -> std::vector<CallerResponse>
{
    auto responses = std::vector<CallerResponse>(requests.size());
    auto threads = std::vector<std::thread> {};
    for (auto index = std::size_t { 0 }; index < requests.size(); ++index) {
        threads.emplace_back([&, index] {
            responses[index] = caller.send(host.address_, requests[index]);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return responses;
}

/** Fills the pools of a host with connections and then makes all of them unresponsive. */
auto silencePools(Deployment &deployment, Caller &caller, const TestHost &host, const std::string &key) -> void
{
    auto requests = std::vector<CallerRequest> {};
    for (auto number = 0; number < warmUpRequests; ++number) {
        requests.push_back(requestTo("/warm/", key));
        requests.back().headers_ = { { "X-Test-Service-Ms", "100" } };
    }
    for (const auto &response : sendInParallel(caller, host, requests)) {
        CHECK(response.status_ == statusOk);
    }
    deployment.injectFault("silence", { "backend-*" }, nlohmann::json::object(), { host.name_ });
}

}

// Guards against a retry on another pooled connection of the same age, which is just as unresponsive as the first.
TEST_CASE("pooled connections that became unresponsive fail no repeatable request and repeat no other request")
{
    auto settings = DeploymentSettings {};
    settings.backendsPerZone_ = 2;
    settings.usesFaultProxy_ = true;
    auto deployment = Deployment(settings);
    const auto key = deployment.grantKey("alpha").key_;
    deployment.waitUntilKeyAccepted(key);
    auto caller = Caller {};
    for (const auto &host : deployment.hosts()) {
        CAPTURE(host.name_);
        silencePools(deployment, caller, host, key);
        auto repeatable = std::vector<CallerRequest> {};
        for (auto number = 0; number < parallelRequests; ++number) {
            repeatable.push_back(requestTo("/dives/", key));
        }
        for (const auto &response : sendInParallel(caller, host, repeatable)) {
            CAPTURE(response.reason_);
            CHECK(response.status_ == statusOk);
        }
        silencePools(deployment, caller, host, key);
        auto nonRepeatable = std::vector<CallerRequest> {};
        for (auto number = 0; number < parallelRequests; ++number) {
            nonRepeatable.push_back(requestTo("/once/bookings/", key));
            nonRepeatable.back().method_ = "POST";
            nonRepeatable.back().idempotencyKey_ = nonRepeatable.back().testId_;
            nonRepeatable.back().runsAtMostOnce_ = true;
        }
        for (const auto &response : sendInParallel(caller, host, nonRepeatable)) {
            CAPTURE(response.reason_);
            CHECK((response.outcome_ == "ran" || response.outcome_ == "unknown"));
        }
        for (const auto &request : nonRepeatable) {
            CHECK(executionsOf(deployment, request.testId_) <= 1);
        }
    }
    CHECK(findViolations(deployment, caller.records(), { key }) == "");
}
