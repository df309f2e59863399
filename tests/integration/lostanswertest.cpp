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
/** Large enough that an answer takes several reads. */
constexpr auto responseBytes = std::size_t { 200'000 };
/** Requests of each kind that are in flight together. */
constexpr auto parallelRequests = 3;

struct LostResponseCase
{
    std::string name_;
    /** X-Test-Mode of the backend stand-in. */
    std::string mode_;
    bool isServed_ = false;
    /** Executions of a request that is repeatable; others have one. Silence is retried only on a connection used before. */
    int minimumExecutions_ = 1;
    int maximumExecutions_ = 1;
};

auto requestWith(const std::string &mode, bool isRepeatable, const std::string &key) -> CallerRequest
{
    auto request = CallerRequest {};
    request.testId_ = makeTestId();
    request.method_ = isRepeatable ? "GET" : "POST";
    // Each path is its own, so that the requests do not count as one that ends backend servers.
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

/** Sends requests in parallel, each followed by an undisturbed one on the same host, which must receive its own answer. */
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
            // Neighbours are the two kinds of one number; each host gets both, and few enough retries for its budget.
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

// Guards against a cut answer passed on as a whole one, an answer of another request, and more than the one retry that repeatable requests have.
TEST_CASE("a backend answer that is cut, undelimited, late or missing is never a short success")
{
    const auto cases = std::vector<LostResponseCase> {
        { "whole", "", true, 1, 1 },
        { "cut before the body", "cut=0", false, 2, 2 },
        { "cut after 10 bytes", "cut=10", false, 2, 2 },
        { "cut within a large body", "cut=150000", false, 2, 2 },
        { "without a length", "no-length", false, 2, 2 },
        { "late but in time", "late=300", true, 1, 1 },
        { "later than the deadline", "late=2500", false, 1, 2 },
        { "never", "never", false, 1, 2 },
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

// Guards against a second dispatch of a request whose answer the network lost, and against its late answer reaching the next request.
TEST_CASE("an answer lost between host and backend server is unknown and reaches nobody else")
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
            // The retry of a repeatable request meets the same fault before it reaches a backend server, or after.
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
