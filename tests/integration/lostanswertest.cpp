#include "support/caller.h"
#include "support/deployment.h"
#include "support/invariants.h"
#include "support/scenario.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <thread>
#include <vector>

using namespace integration;

namespace
{

constexpr auto statusOk = 200;
/** Large enough that reading a response takes several reads. */
constexpr auto responseBytes = std::size_t { 200'000 };
/** Number of concurrent requests of each kind (repeatable and not repeatable). */
constexpr auto parallelRequests = 3;

struct LostResponseCase
{
    std::string name_;
    /** X-Test-Mode of the backend stand-in. */
    std::string mode_;
    bool isServed_ = false;
    /** Bounds of the executions of a repeatable request; other requests have exactly one. A missing response is retried only on a reused connection. */
    int minimumExecutions_ = 1;
    int maximumExecutions_ = 1;
};

auto requestWith(const std::string &mode, bool isRepeatable, const std::string &key) -> CallerRequest
{
    auto request = CallerRequest {};
    request.testId_ = makeTestId();
    request.method_ = isRepeatable ? "GET" : "POST";
    // Unique paths keep the requests from being counted as the same crash suspect.
    request.path_ = (isRepeatable ? "/dives/" : "/once/bookings/") + request.testId_;
    request.key_ = key;
    request.idempotencyKey_ = isRepeatable ? "" : request.testId_;
    request.runsAtMostOnce_ = !isRepeatable;
    request.headers_ = { { "X-Test-Answer-Bytes", std::to_string(responseBytes) } };
    if (!mode.empty()) {
        request.headers_.emplace_back("X-Test-Mode", mode);
    }
    return request;
}

auto isCompleteResponse(const CallerResponse &response, const CallerRequest &request) -> bool
{
    const auto body = nlohmann::json::parse(response.body_, nullptr, false);
    return body.is_object() && body.value("id", "") == request.testId_ && body.value("fill", "").size() == responseBytes;
}

/** Sends requests in parallel, each followed by a request without fault to the same host, which must get its own response. */
auto checkRequests(Deployment &deployment, Caller &caller, const LostResponseCase &lostCase, const std::string &key) -> void
{
    auto requests = std::vector<CallerRequest> {};
    for (auto number = 0; number < parallelRequests; ++number) {
        requests.push_back(requestWith(lostCase.mode_, true, key));
        requests.push_back(requestWith(lostCase.mode_, false, key));
    }
    auto responses = std::vector<CallerResponse>(requests.size());
    auto laterRequests = std::vector<CallerRequest> {};
    auto laterResponses = std::vector<CallerResponse>(requests.size());
    auto threads = std::vector<std::thread> {};
    for (auto index = std::size_t { 0 }; index < requests.size(); ++index) {
        laterRequests.push_back(requestWith("", true, key));
    }
    for (auto index = std::size_t { 0 }; index < requests.size(); ++index) {
        threads.emplace_back([&, index] {
            // Pairs of a repeatable and a non-repeatable request go to the hosts in turn, so that each host gets few enough retries for its retry budget.
            const auto &host = deployment.hosts().at(index / 2 % deployment.hosts().size());
            responses[index] = caller.send(host.address_, requests[index]);
            laterResponses[index] = caller.send(host.address_, laterRequests[index]);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto executions = deployment.executions();
    for (auto index = std::size_t { 0 }; index < requests.size(); ++index) {
        const auto &request = requests[index];
        CAPTURE(request.path_);
        CAPTURE(responses[index].error_);
        CAPTURE(responses[index].reason_);
        CHECK(responses[index].isComplete_);
        CHECK((responses[index].status_ == statusOk) == lostCase.isServed_);
        CHECK(responses[index].outcome_ == (lostCase.isServed_ ? "ran" : "unknown"));
        CHECK((responses[index].status_ != statusOk || isCompleteResponse(responses[index], request)));
        CHECK(executions.at(request.testId_) >= (request.runsAtMostOnce_ ? 1 : lostCase.minimumExecutions_));
        CHECK(executions.at(request.testId_) <= (request.runsAtMostOnce_ ? 1 : lostCase.maximumExecutions_));
        CAPTURE(laterResponses[index].reason_);
        CHECK(laterResponses[index].status_ == statusOk);
        CHECK(isCompleteResponse(laterResponses[index], laterRequests[index]));
    }
}

}

// Guards against forwarding a truncated response as complete, returning another request's response, and retrying a repeatable request more than once.
TEST_CASE("a truncated, undelimited, late or missing backend response is never forwarded as a success")
{
    const auto cases = std::vector<LostResponseCase> {
        { "complete", "", true, 1, 1 },
        { "truncated before the body", "cut=0", false, 2, 2 },
        { "truncated after 10 bytes", "cut=10", false, 2, 2 },
        { "truncated within a large body", "cut=150000", false, 2, 2 },
        { "without a length", "no-length", false, 2, 2 },
        { "delayed within the deadline", "late=300", true, 1, 1 },
        { "delayed beyond the deadline", "late=2500", false, 1, 2 },
        { "no response", "never", false, 1, 2 },
    };
    auto settings = DeploymentSettings {};
    settings.backendsPerZone_ = 2;
    settings.usesFaultProxy_ = true;
    auto deployment = Deployment(settings);
    const auto key = deployment.grantKey("alpha").key_;
    deployment.waitUntilKeyAccepted(key);
    auto caller = Caller {};
    for (const auto &lostCase : cases) {
        CAPTURE(lostCase.name_);
        checkRequests(deployment, caller, lostCase, key);
    }
    CHECK(findViolations(deployment, caller.records(), { key }) == "");
}

// Guards against dispatching a request again after the network lost its response, and against returning its late response to the next request.
TEST_CASE("a response lost between host and backend server gives the outcome unknown and is returned to no other request")
{
    auto settings = DeploymentSettings {};
    settings.backendsPerZone_ = 2;
    settings.usesFaultProxy_ = true;
    for (const auto *const fault : { "drop-replies", "cut" }) {
        auto deployment = Deployment(settings);
        const auto key = deployment.grantKey("alpha").key_;
        deployment.waitUntilKeyAccepted(key);
        auto caller = Caller {};
        CAPTURE(fault);
        for (const auto isRepeatable : { true, false }) {
            CAPTURE(isRepeatable);
            auto request = requestWith("", isRepeatable, key);
            request.headers_.emplace_back("X-Test-Service-Ms", "500");
            auto response = CallerResponse {};
            auto inFlight = std::thread([&] {
                response = caller.send(deployment.hosts().front().address_, request);
            });
            CHECK(waitForExecution(deployment, request.testId_));
            deployment.injectFault(fault, { "backend-*" }, { { "on", true } });
            inFlight.join();
            deployment.injectFault(fault, { "backend-*" }, { { "on", false } });
            CAPTURE(response.reason_);
            CHECK(response.outcome_ == "unknown");
            // The retry of a repeatable request is hit by the same fault, either before or after it has reached a backend server.
            CHECK(executionsOf(deployment, request.testId_) <= (isRepeatable ? 2 : 1));
            for (const auto &host : deployment.hosts()) {
                const auto later = requestWith("", true, key);
                const auto laterResponse = caller.send(host.address_, later);
                CAPTURE(laterResponse.reason_);
                CHECK(isCompleteResponse(laterResponse, later));
            }
        }
        CHECK(findViolations(deployment, caller.records(), { key }) == "");
    }
}
