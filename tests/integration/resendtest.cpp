#include "support/caller.h"
#include "support/deployment.h"
#include "support/invariants.h"
#include "support/scenario.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace integration;

namespace
{

/** Longer than the deadline of the route, which counts from the receipt. */
constexpr auto pastDeadline = std::chrono::milliseconds { 2500 };
/** Within the deadline, and long enough to act while the request is in flight. */
constexpr auto serviceMilliseconds = "1500";
constexpr auto maximumAttempts = 40;

struct ResendCase
{
    std::string name_;
    bool usesRunToken_ = false;
    /** The host is frozen and resumed; otherwise it is killed and started again. */
    bool isSuspended_ = false;
};

auto bookingRequest(const std::string &key, const std::string &idempotencyKey) -> CallerRequest
{
    auto request = CallerRequest {};
    request.method_ = "POST";
    request.path_ = "/once/bookings";
    request.key_ = key;
    request.idempotencyKey_ = idempotencyKey;
    request.testId_ = makeTestId();
    request.headers_ = { { "X-Test-Service-Ms", serviceMilliseconds } };
    request.runsAtMostOnce_ = true;
    return request;
}

/** Sends a request until it is not refused: a host that has just started or resumed borrows its first rate shares from others. */
auto sendUntilDispatched(Caller &caller, const TestHost &host, const CallerRequest &request) -> CallerResponse
{
    auto response = caller.send(host.address_, request);
    for (auto attempt = 0; attempt < maximumAttempts && response.outcome_ == "not-run"; ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        response = caller.send(host.address_, request);
    }
    return response;
}

/** Sends a request that may have run to all hosts but one. */
auto checkResentElsewhere(Deployment &deployment, Caller &caller, const CallerRequest &request, const std::string &failedHost) -> void
{
    for (const auto &host : deployment.hosts()) {
        if (host.name_ == failedHost) {
            continue;
        }
        const auto response = caller.send(host.address_, request);
        CAPTURE(host.name_);
        CAPTURE(response.body_);
        CAPTURE(response.error_);
        CHECK(response.outcome_ == "unknown");
    }
}

}

// Guards against a booking made twice, or called not run, because the host that dispatched it died or was paused and the caller resent it elsewhere.
TEST_CASE("a request whose host fails while it is in flight runs at most once when it is resent")
{
    const auto cases = std::vector<ResendCase> {
        { "killed, claimed in the store", false, false },
        { "killed, run token", true, false },
        { "frozen, claimed in the store", false, true },
        { "frozen, run token", true, true },
    };
    auto settings = DeploymentSettings {};
    settings.hostsPerZone_ = 2;
    settings.usesFaultProxy_ = true;
    auto deployment = Deployment(settings);
    const auto key = deployment.grantKey("alpha").key_;
    auto caller = Caller {};
    for (const auto &resendCase : cases) {
        CAPTURE(resendCase.name_);
        deployment.waitUntilKeyAccepted(key);
        const auto prefix = lookUpKeyPrefix(caller, deployment.hosts().front());
        auto &failing = deployment.host(hostOfKeyPrefix(prefix));
        const auto request = bookingRequest(key, resendCase.usesRunToken_ ? prefix + "booking" : "booking-" + resendCase.name_.substr(0, 6));
        auto first = CallerResponse {};
        auto inFlight = std::thread([&] {
            first = sendUntilDispatched(caller, failing, request);
        });
        CHECK(waitForExecution(deployment, request.testId_));
        if (resendCase.isSuspended_) {
            failing.process_->suspend();
            std::this_thread::sleep_for(pastDeadline);
        } else {
            failing.process_->kill();
        }
        checkResentElsewhere(deployment, caller, request, failing.name_);
        if (resendCase.isSuspended_) {
            failing.process_->resume();
        } else {
            deployment.startHost(failing);
        }
        inFlight.join();
        CHECK(first.outcome_ != "not-run");
        // A host that is back first learns which keys are valid; until then it refuses every keyed request.
        deployment.waitUntilKeyAccepted(key, std::chrono::seconds(20));
        for (const auto &host : deployment.hosts()) {
            const auto response = caller.send(host.address_, request);
            CAPTURE(host.name_);
            CAPTURE(response.body_);
            CHECK((response.outcome_ == "ran" || response.outcome_ == "unknown"));
        }
        CHECK(executionsOf(deployment, request.testId_) == 1);
    }
    CHECK(findViolations(deployment, caller.records(), { key }) == "");
}
