#include "support/caller.h"
#include "support/deployment.h"
#include "support/invariants.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>

using namespace integration;

namespace
{

/** Freshness bound of the rules, 1 s for the interval of the peer exchange, and a margin for a busy machine. */
constexpr auto staleLimit = std::chrono::seconds { 15 };
constexpr auto pollInterval = std::chrono::milliseconds { 100 };

/** Sends a request until the response has the given status or the time limit has passed; returns the last response. */
auto sendUntil(Caller &caller, const TestHost &host, const CallerRequest &request, int status, std::chrono::milliseconds limit) -> CallerResponse
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    auto response = caller.send(host.address_, request);
    while (response.status_ != status && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        response = caller.send(host.address_, request);
    }
    return response;
}

}

// Guards against an isolated host that keeps accepting keys which may have been withdrawn, and against one that keeps refusing after the partition.
TEST_CASE("an isolated zone refuses keyed requests, serves open ones, and recovers")
{
    auto settings = DeploymentSettings {};
    settings.regions_ = 1;
    settings.zonesPerRegion_ = 3;
    settings.usesFaultProxy_ = true;
    auto deployment = Deployment(settings);
    const auto key = deployment.grantKey("alpha").key_;
    deployment.waitUntilKeyAccepted(key);
    auto caller = Caller {};
    auto keyed = CallerRequest {};
    keyed.path_ = "/dives";
    keyed.key_ = key;
    auto open = CallerRequest {};
    open.path_ = "/open/prices";
    auto &isolated = deployment.host("r1-3-h1");

    deployment.isolateZone("r1-3", true);
    const auto refusal = sendUntil(caller, isolated, keyed, 503, staleLimit);
    CAPTURE(refusal.body_);
    CHECK(refusal.reason_ == "knowledge_stale");
    CHECK(refusal.outcome_ == "not-run");
    CHECK(caller.send(isolated.address_, open).status_ == 200);
    for (const auto *const name : { "r1-1-h1", "r1-2-h1" }) {
        CAPTURE(name);
        CHECK(caller.send(deployment.host(name).address_, keyed).status_ == 200);
    }

    deployment.isolateZone("r1-3", false);
    const auto recovered = sendUntil(caller, isolated, keyed, 200, staleLimit);
    CAPTURE(recovered.body_);
    CHECK(recovered.status_ == 200);
    CHECK(findViolations(deployment, caller.records(), { key }) == "");
}
