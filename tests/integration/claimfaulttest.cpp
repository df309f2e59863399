#include "support/caller.h"
#include "support/controlcall.h"
#include "support/deployment.h"
#include "support/invariants.h"
#include "support/scenario.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

using namespace integration;

namespace
{

using Json = nlohmann::json;

struct ClaimFaultCase
{
    std::string name_;
    /** The fault is on the connections from the host to the store; otherwise in the store. */
    bool isOnLink_ = false;
    std::string control_;
    Json on_;
    Json off_;
    std::string outcome_;
    /** The claim did not reach the store, so the caller can make the request later. */
    bool runsWhenResent_ = false;
};

auto bookingRequest(const std::string &key) -> CallerRequest
{
    auto request = CallerRequest {};
    request.testId_ = makeTestId();
    request.method_ = "POST";
    request.path_ = "/once/bookings";
    request.key_ = key;
    request.idempotencyKey_ = request.testId_;
    request.runsAtMostOnce_ = true;
    return request;
}

auto setFault(Deployment &deployment, const TestHost &host, const ClaimFaultCase &faultCase, const Json &body) -> void
{
    if (faultCase.isOnLink_) {
        deployment.injectFault(faultCase.control_, { "store-" + host.name_ }, body);
    } else {
        postControl(deployment.storeAddress(), "/control/" + faultCase.control_, body);
    }
}

}

// Guards against a dispatch without a certain claim, and against "not-run" where an earlier sending of the request may have run: a host that cannot
// read the claim cannot tell.
TEST_CASE("a request whose claim is uncertain does not run and is never called not run")
{
    const auto lost = [](int count) {
        return Json { { "count", count } };
    };
    const auto cases = std::vector<ClaimFaultCase> {
        { "no fault", false, "lose-replies", lost(0), lost(0), "ran", true },
        { "outage", false, "outage", { { "on", true } }, { { "on", false } }, "unknown", true },
        { "one reply lost", false, "lose-replies", lost(1), lost(0), "ran", true },
        { "all replies to writes lost", false, "lose-replies", lost(1000), lost(0), "ran", true },
        { "slower than the deadline", false, "slow", { { "delay_ms", 3000 } }, { { "delay_ms", 0 } }, "unknown", false },
        // The claim is in the store, so its key stays claimed although nothing ran.
        { "replies to the claim and to its reading lost", true, "drop-replies", { { "on", true } }, { { "on", false } }, "unknown", false },
        // The claim reaches the store after the host has given up.
        { "claim held back", true, "freeze", { { "on", true } }, { { "on", false } }, "unknown", false },
        { "link cut", true, "cut", { { "on", true } }, { { "on", false } }, "unknown", true },
    };
    auto settings = DeploymentSettings {};
    settings.usesFaultProxy_ = true;
    auto deployment = Deployment(settings);
    const auto key = deployment.grantKey("alpha").key_;
    auto caller = Caller {};
    for (const auto &faultCase : cases) {
        for (auto &host : deployment.hosts()) {
            CAPTURE(faultCase.name_);
            CAPTURE(host.name_);
            deployment.waitUntilKeyAccepted(key, std::chrono::seconds(20));
            const auto request = bookingRequest(key);
            setFault(deployment, host, faultCase, faultCase.on_);
            const auto response = caller.send(host.address_, request);
            const auto executionsBefore = executionsOf(deployment, request.testId_);
            setFault(deployment, host, faultCase, faultCase.off_);
            CAPTURE(response.body_);
            CAPTURE(response.error_);
            CHECK((response.outcome_ == "ran") == (executionsBefore > 0));
            CHECK(response.outcome_ == faultCase.outcome_);
            for (const auto &other : deployment.hosts()) {
                const auto hadRun = executionsOf(deployment, request.testId_) > 0;
                const auto resent = caller.send(other.address_, request);
                CAPTURE(resent.body_);
                CHECK((!hadRun || resent.outcome_ == "ran"));
            }
            CHECK(executionsOf(deployment, request.testId_) <= 1);
            CHECK((!faultCase.runsWhenResent_ || executionsOf(deployment, request.testId_) == 1));
        }
    }
    CHECK(findViolations(deployment, caller.records(), { key }) == "");
}

// Guards against "not-run" for a request that ran: a host that did not run it is asked again while the store is out.
TEST_CASE("a request that ran is not called not run by a host that cannot read its claim")
{
    auto deployment = Deployment(DeploymentSettings {});
    const auto key = deployment.grantKey("alpha").key_;
    deployment.waitUntilKeyAccepted(key, std::chrono::seconds(20));
    auto caller = Caller {};
    const auto request = bookingRequest(key);
    const auto &first = deployment.hosts().front();
    const auto &other = deployment.hosts().back();
    REQUIRE(caller.send(first.address_, request).outcome_ == "ran");
    postControl(deployment.storeAddress(), "/control/outage", Json { { "on", true } });
    const auto resent = caller.send(other.address_, request);
    CAPTURE(resent.body_);
    CHECK(resent.isComplete_);
    CHECK(resent.outcome_ == "unknown");
    CHECK(executionsOf(deployment, request.testId_) == 1);
    postControl(deployment.storeAddress(), "/control/outage", Json { { "on", false } });
}
