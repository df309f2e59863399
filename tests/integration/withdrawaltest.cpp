#include "support/caller.h"
#include "support/configurationstatus.h"
#include "support/controlcall.h"
#include "support/deployment.h"
#include "support/invariants.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace integration;
using namespace std::chrono_literals;

namespace
{

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

/** Time within which a change must be in force on all hosts. */
constexpr auto propagationLimit = 6s;
/** Freshness bound of the rules plus 1 s. */
constexpr auto staleLimit = 5s;
/** Recovery time after a partition: connections are reopened only after their timeouts. */
constexpr auto recoveryLimit = 10s;
constexpr auto pollInterval = 20ms;
constexpr auto statusOk = 200;
constexpr auto served = "served";

auto keyedRequest(const std::string &key) -> CallerRequest
{
    auto request = CallerRequest {};
    request.path_ = "/dives";
    request.key_ = key;
    return request;
}

/** "served", the reason of the refusal, or "no answer" without a complete response. */
auto resultOf(const CallerResponse &response) -> std::string
{
    if (!response.isComplete_) {
        return "no answer";
    }
    return response.status_ == statusOk ? served : response.reason_;
}

/** Sends keyed requests until one has the given result or the time limit has passed; counts the results. */
auto sendUntil(Caller &caller, const TestHost &host, const std::string &key, const std::string &result, std::chrono::milliseconds limit)
    -> std::map<std::string, int>
{
    auto counts = std::map<std::string, int> {};
    const auto deadline = Clock::now() + limit;
    while (counts[result] == 0 && Clock::now() < deadline) {
        ++counts[resultOf(caller.send(host.address_, keyedRequest(key)))];
        std::this_thread::sleep_for(pollInterval);
    }
    return counts;
}

/** Sends keyed requests to a host for the given time; counts the results. */
auto sendFor(Caller &caller, const TestHost &host, const std::string &key, std::chrono::milliseconds time) -> std::map<std::string, int>
{
    auto counts = std::map<std::string, int> {};
    const auto deadline = Clock::now() + time;
    while (Clock::now() < deadline) {
        ++counts[resultOf(caller.send(host.address_, keyedRequest(key)))];
        std::this_thread::sleep_for(pollInterval);
    }
    return counts;
}

/** Checks that keyed requests to every host have the given result before the deadline. */
auto checkAllHosts(Deployment &deployment, Caller &caller, const std::string &key, const std::string &result, Clock::time_point deadline) -> void
{
    for (auto &host : deployment.hosts()) {
        CAPTURE(host.name_);
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        CHECK(sendUntil(caller, host, key, result, std::max(remaining, 1ms))[result] > 0);
    }
}

auto threeZoneSettings(int hostsPerZone) -> DeploymentSettings
{
    auto settings = DeploymentSettings {};
    settings.zonesPerRegion_ = 3;
    settings.hostsPerZone_ = hostsPerZone;
    settings.usesFaultProxy_ = true;
    return settings;
}

/** A persistent connection of a caller, which counts how often it was opened. */
struct PersistentConnection
{
    explicit PersistentConnection(const std::string &address)
        : client_("http://" + address)
    {
        client_.set_keep_alive(true);
        client_.set_socket_options([this](auto) {
            ++openCount_;
        });
    }

    auto send(const std::string &key) -> std::string
    {
        const auto response = client_.Get("/dives", httplib::Headers { { "Host", "service.example" }, { "X-Api-Key", key } });
        if (!response) {
            return "no answer";
        }
        return response->status == statusOk ? served : response->get_header_value("X-Refusal-Reason");
    }

    httplib::Client client_;
    int openCount_ = 0;
};

auto withdrawAtHost(Deployment &deployment, const std::string &keyName, const std::string &host) -> ProgramResult
{
    auto command = std::vector<std::string> { programPath("lycheecleat"), "key", "withdraw", keyName };
    const auto options = administrationOptions(deployment, { host });
    command.insert(command.end(), options.begin(), options.end());
    return runProgram("tool", command, deployment.folder(), 20s);
}

auto restart(Deployment &deployment, TestHost &host) -> void
{
    host.process_->kill();
    deployment.startHost(host);
}

}

// Guards against checking a key only when a connection is opened.
TEST_CASE("a withdrawn key is refused on persistent connections")
{
    auto deployment = Deployment(threeZoneSettings(1));
    const auto key = deployment.grantKey("alpha");
    deployment.waitUntilKeyAccepted(key.key_);
    auto connections = std::vector<std::unique_ptr<PersistentConnection>> {};
    for (auto &host : deployment.hosts()) {
        connections.push_back(std::make_unique<PersistentConnection>(host.address_));
        CHECK(connections.back()->send(key.key_) == served);
    }
    REQUIRE(deployment.runTool({ "key", "withdraw", key.name_ }).exitCode_ == 0);
    const auto deadline = Clock::now() + propagationLimit;
    for (auto &connection : connections) {
        auto result = connection->send(key.key_);
        while (result == served && Clock::now() < deadline) {
            std::this_thread::sleep_for(pollInterval);
            result = connection->send(key.key_);
        }
        CHECK(result == "key_withdrawn");
    }
    for (auto repetition = 0; repetition < 20; ++repetition) {
        for (auto &connection : connections) {
            CHECK(connection->send(key.key_) == "key_withdrawn");
            CHECK(connection->openCount_ == 1);
        }
    }
    CHECK(findViolations(deployment, {}, { key.key_ }) == "");
}

// Guards against losing a withdrawal when a host that stored it restarts, or when the store recovers and its configuration still has the key as active.
TEST_CASE("a key withdrawn while the store is down stays withdrawn")
{
    auto deployment = Deployment(threeZoneSettings(1));
    const auto withdrawn = deployment.grantKey("alpha");
    const auto active = deployment.grantKey("alpha");
    deployment.waitUntilKeyAccepted(withdrawn.key_);
    deployment.waitUntilKeyAccepted(active.key_);
    auto caller = Caller {};

    postControl(deployment.storeAddress(), "/control/outage", Json { { "on", true } });
    const auto submitted = withdrawAtHost(deployment, withdrawn.name_, "r1-1-h1");
    CAPTURE(submitted.output_);
    CAPTURE(submitted.errorOutput_);
    REQUIRE(submitted.exitCode_ == 0);
    checkAllHosts(deployment, caller, withdrawn.key_, "key_withdrawn", Clock::now() + staleLimit);

    // Restarts the hosts one after the other, so that in the end no process that received the withdrawal from the operator's command is running.
    for (auto &host : deployment.hosts()) {
        CAPTURE(host.name_);
        restart(deployment, host);
        CHECK(sendFor(caller, host, withdrawn.key_, 500ms)[served] == 0);
        CHECK(sendUntil(caller, host, active.key_, served, staleLimit)[served] > 0);
    }

    postControl(deployment.storeAddress(), "/control/outage", Json { { "on", false } });
    for (auto &host : deployment.hosts()) {
        CAPTURE(host.name_);
        CHECK(sendFor(caller, host, withdrawn.key_, 1s)[served] == 0);
        CHECK(readConfigurationStatus(deployment, host).value_or(ConfigurationStatus {}).pendingWithdrawals_ == std::vector { withdrawn.name_ });
    }
    auto &restarted = deployment.hosts().back();
    restart(deployment, restarted);
    CHECK(sendFor(caller, restarted, withdrawn.key_, 1s)[served] == 0);

    REQUIRE(deployment.runTool({ "key", "withdraw", withdrawn.name_ }).exitCode_ == 0);
    CHECK(waitForRevision(deployment, storedRevision(deployment), propagationLimit) == "");
    for (auto &host : deployment.hosts()) {
        CAPTURE(host.name_);
        CHECK(readConfigurationStatus(deployment, host).value_or(ConfigurationStatus {}).pendingWithdrawals_.empty());
        CHECK(resultOf(caller.send(host.address_, keyedRequest(withdrawn.key_))) == "key_withdrawn");
        CHECK(resultOf(caller.send(host.address_, keyedRequest(active.key_))) == served);
    }
    CHECK(findViolations(deployment, caller.records(), { withdrawn.key_, active.key_ }) == "");
}

// Guards against a partitioned host that can't receive a withdrawal and accepts the key for longer than the freshness bound, also after a restart.
TEST_CASE("a partitioned zone stops accepting keys within the freshness bound and never accepts a withdrawn key again")
{
    auto deployment = Deployment(threeZoneSettings(2));
    const auto withdrawn = deployment.grantKey("alpha");
    const auto active = deployment.grantKey("alpha");
    deployment.waitUntilKeyAccepted(withdrawn.key_);
    deployment.waitUntilKeyAccepted(active.key_);
    auto caller = Caller {};
    auto &first = deployment.host("r1-3-h1");
    auto &second = deployment.host("r1-3-h2");

    deployment.isolateZone("r1-3", true);
    const auto deadline = Clock::now() + staleLimit;
    REQUIRE(deployment.runTool({ "key", "withdraw", withdrawn.name_ }).exitCode_ == 0);
    for (auto *const host : { &first, &second }) {
        CAPTURE(host->name_);
        const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        CHECK(sendUntil(caller, *host, withdrawn.key_, "knowledge_stale", remaining)["knowledge_stale"] > 0);
    }
    CHECK(Clock::now() < deadline + 1s);

    restart(deployment, first);
    for (auto *const host : { &first, &second }) {
        CAPTURE(host->name_);
        CHECK(sendFor(caller, *host, withdrawn.key_, 1s)[served] == 0);
        CHECK(sendFor(caller, *host, active.key_, 200ms)[served] == 0);
    }

    deployment.isolateZone("r1-3", false);
    for (auto *const host : { &first, &second }) {
        CAPTURE(host->name_);
        auto counts = sendUntil(caller, *host, withdrawn.key_, "key_withdrawn", recoveryLimit);
        CHECK(counts["key_withdrawn"] > 0);
        CHECK(counts[served] == 0);
        CHECK(sendUntil(caller, *host, active.key_, served, recoveryLimit)[served] > 0);
    }
    CHECK(findViolations(deployment, caller.records(), { withdrawn.key_, active.key_ }) == "");
}

// Guards against a resumed host that treats its state as being as fresh as before the suspension.
TEST_CASE("a host that was suspended while a key was withdrawn never accepts the key")
{
    auto deployment = Deployment(threeZoneSettings(1));
    const auto withdrawn = deployment.grantKey("alpha");
    deployment.waitUntilKeyAccepted(withdrawn.key_);
    auto caller = Caller {};
    auto &host = deployment.hosts().front();
    host.process_->suspend();
    REQUIRE(deployment.runTool({ "key", "withdraw", withdrawn.name_ }).exitCode_ == 0);
    // These requests wait in the backlog of the host's listening socket, so the host handles them first after it resumes.
    auto waiting = std::vector<std::future<std::string>> {};
    for (auto count = 0; count < 8; ++count) {
        waiting.push_back(std::async(std::launch::async, [&] {
            auto request = keyedRequest(withdrawn.key_);
            request.timeout_ = 20s;
            return resultOf(caller.send(host.address_, request));
        }));
    }
    std::this_thread::sleep_for(staleLimit);
    host.process_->resume();
    for (auto &response : waiting) {
        CHECK(response.get() != served);
    }
    auto counts = sendUntil(caller, host, withdrawn.key_, "key_withdrawn", propagationLimit);
    CHECK(counts["key_withdrawn"] > 0);
    CHECK(counts[served] == 0);
    CHECK(findViolations(deployment, caller.records(), { withdrawn.key_ }) == "");
}
