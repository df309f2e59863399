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
    /** Whether the fault affects the connections from the host to the store; otherwise it affects the store itself. */
    bool isOnLink_ = false;
    /** Control call that sets the fault, and the bodies that switch the fault on and off. */
    std::string controlCall_;
    Json on_;
    Json off_;
    std::string outcome_;
    /** Whether a resent request runs, because the claim did not reach the store. */
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
        deployment.injectFault(faultCase.controlCall_, { "store-" + host.name_ }, body);
    } else {
        postControl(deployment.storeAddress(), "/control/" + faultCase.controlCall_, body);
    }
}

}

// Guards against dispatching a request without a confirmed claim. Also guards against the outcome "not-run" from a host that can't read the claim: an earlier
// attempt may have run.
TEST_CASE("a request whose claim is unconfirmed does not run and never gets the outcome not-run")
{
    const auto lostReplies = [](int count) {
        return Json { { "count", count } };
    };
    const auto cases = std::vector<ClaimFaultCase> {
        { "no fault", false, "lose-replies", lostReplies(0), lostReplies(0), "ran", true },
        { "outage", false, "outage", { { "on", true } }, { { "on", false } }, "unknown", true },
        { "one reply lost", false, "lose-replies", lostReplies(1), lostReplies(0), "ran", true },
        { "all replies to writes lost", false, "lose-replies", lostReplies(1000), lostReplies(0), "ran", true },
        { "store slower than the deadline", false, "slow", { { "delay_ms", 3000 } }, { { "delay_ms", 0 } }, "unknown", false },
        // The claim was stored, so the idempotency key stays claimed although nothing ran.
        { "replies to the claim and to its read lost", true, "drop-replies", { { "on", true } }, { { "on", false } }, "unknown", false },
        // The claim reaches the store after the host's attempt has timed out.
        { "claim delayed until after the timeout", true, "freeze", { { "on", true } }, { { "on", false } }, "unknown", false },
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

// Guards against the outcome "not-run" for a request that ran, when it is resent to another host during a store outage.
TEST_CASE("a host that cannot read the claim of a request that ran does not return the outcome not-run")
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
