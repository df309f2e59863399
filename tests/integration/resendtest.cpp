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

/** Longer than the deadline of the route, which starts at the receipt of the request. */
constexpr auto pastDeadline = std::chrono::milliseconds { 2500 };
/** Shorter than the deadline, and long enough to inject the fault while the request is in flight. */
constexpr auto serviceMilliseconds = "1500";
constexpr auto maximumAttempts = 40;

struct ResendCase
{
    std::string name_;
    bool usesRunToken_ = false;
    /** Whether the host is suspended and resumed; otherwise it is killed and restarted. */
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

/** Sends a request until its outcome is not "not-run": a host that has just started or resumed must first borrow rate shares from its peers. */
auto sendUntilDispatched(Caller &caller, const TestHost &host, const CallerRequest &request) -> CallerResponse
{
    auto response = caller.send(host.address_, request);
    for (auto attempt = 0; attempt < maximumAttempts && response.outcome_ == "not-run"; ++attempt) {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        response = caller.send(host.address_, request);
    }
    return response;
}

/** Resends a request that may have run to all hosts except the failed one, and checks that its outcome is unknown. */
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

// Guards against executing a request twice, or returning the outcome "not-run" for it, when the dispatching host crashed or was suspended and the caller
// resent it to another host.
TEST_CASE("a request resent after its host failed in flight runs at most once")
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
        // A restarted or resumed host refuses keyed requests until its key data is fresh.
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
