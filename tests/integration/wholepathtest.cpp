#include "support/caller.h"
#include "support/controlcall.h"
#include "support/deployment.h"
#include "support/invariants.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

using namespace integration;

namespace
{

constexpr auto lookupPath = "/.well-known/lycheecleat/lookup";

struct AccessCase
{
    std::string name_;
    std::string path_;
    std::string method_;
    std::string key_;
    std::string idempotencyKey_;
    std::string outcome_;
    std::string reason_;
    bool isServed_ = false;
};

}

// Guards against components that work separately but not together: the rules pass through the tool and the store, the requests through a daemon and a
// backend server.
TEST_CASE("requests are served according to the applied rule folder")
{
    auto deployment = Deployment(DeploymentSettings {});
    const auto key = deployment.grantKey("alpha").key_;
    deployment.waitUntilKeyAccepted(key);
    const auto unknownKey = std::string("lk_") + std::string(64, '0');
    const auto cases = std::vector<AccessCase> {
        { "open without a key", "/open/prices", "GET", "", "", "ran", "", true },
        { "keyed with a key", "/dives", "GET", key, "", "ran", "", true },
        { "keyed POST with a key", "/dives", "POST", key, "", "ran", "", true },
        { "keyed without a key", "/dives", "GET", "", "", "not-run", "key_missing", false },
        { "keyed with an unknown key", "/dives", "GET", unknownKey, "", "not-run", "key_unknown", false },
        { "once with an idempotency key", "/once/bookings", "POST", key, "booking-1", "ran", "", true },
        { "once without an idempotency key", "/once/bookings", "POST", key, "", "not-run", "idempotency_key_required", false },
    };
    auto caller = Caller {};
    for (const auto &accessCase : cases) {
        for (auto &host : deployment.hosts()) {
            CAPTURE(accessCase.name_);
            CAPTURE(host.name_);
            auto request = CallerRequest {};
            request.path_ = accessCase.path_;
            request.method_ = accessCase.method_;
            request.key_ = accessCase.key_;
            request.idempotencyKey_ = accessCase.idempotencyKey_.empty() ? "" : accessCase.idempotencyKey_ + host.name_;
            request.runsAtMostOnce_ = accessCase.path_ == "/once/bookings";
            const auto response = caller.send(host.address_, request);
            CAPTURE(response.error_);
            CAPTURE(response.body_);
            CHECK(response.isComplete_);
            CHECK((response.status_ == 200) == accessCase.isServed_);
            CHECK(response.outcome_ == accessCase.outcome_);
            CHECK(response.reason_ == accessCase.reason_);
        }
    }
    CHECK(findViolations(deployment, caller.records(), { key, unknownKey }) == "");
}

// Guards against executing a request twice when the caller resends it to the same or another host, with or without a run token.
TEST_CASE("a request on a non-repeatable route runs once, however often it is sent")
{
    auto deployment = Deployment(DeploymentSettings {});
    const auto key = deployment.grantKey("alpha").key_;
    deployment.waitUntilKeyAccepted(key);
    auto caller = Caller {};
    auto lookupRequest = CallerRequest {};
    lookupRequest.path_ = lookupPath;
    const auto lookup = caller.send(deployment.hosts().front().address_, lookupRequest);
    REQUIRE(lookup.status_ == 200);
    const auto prefix = nlohmann::json::parse(lookup.body_).at("idempotency_key_prefix").get<std::string>();
    for (const auto &idempotencyKey : std::vector<std::string> { "claimed-in-the-store", prefix + "booking" }) {
        CAPTURE(idempotencyKey);
        auto request = CallerRequest {};
        request.method_ = "POST";
        request.path_ = "/once/bookings";
        request.key_ = key;
        request.idempotencyKey_ = idempotencyKey;
        request.testId_ = makeTestId();
        request.runsAtMostOnce_ = true;
        auto ranCount = 0;
        for (auto &host : deployment.hosts()) {
            for (auto repetition = 0; repetition < 2; ++repetition) {
                ranCount += caller.send(host.address_, request).outcome_ == "ran" ? 1 : 0;
            }
        }
        CHECK(ranCount >= 1);
        CHECK(deployment.executions()[request.testId_] == 1);
    }
    CHECK(findViolations(deployment, caller.records(), { key }) == "");
}

// Guards against a graceful stop that interrupts requests or exits with an error.
TEST_CASE("SIGTERM ends a daemon with exit code 0 and no request is interrupted")
{
    auto settings = DeploymentSettings {};
    settings.lookupLifetime_ = "1s";
    auto deployment = Deployment(settings);
    auto &host = deployment.hosts().front();
    auto caller = Caller {};
    host.process_->terminate();
    auto exitCode = std::optional<int> {};
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(15);
    while (!exitCode && std::chrono::steady_clock::now() < deadline) {
        auto request = CallerRequest {};
        request.path_ = "/open/during-stop";
        request.headers_ = { { "X-Test-Service-Ms", "100" } };
        const auto response = caller.send(host.address_, request);
        // New connections are refused once the listener is closed; requests on accepted connections are served.
        CHECK((response.status_ == 200 || response.error_.find("Connection") != std::string::npos));
        exitCode = host.process_->waitForExit(std::chrono::milliseconds(20));
    }
    CAPTURE(host.process_->errorOutput());
    REQUIRE(exitCode.has_value());
    CHECK(*exitCode == 0);
    CHECK(findViolations(deployment, caller.records(), {}) == "");
}
