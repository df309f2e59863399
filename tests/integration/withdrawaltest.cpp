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

/** The time within which a change is in force everywhere. */
constexpr auto propagationLimit = 6s;
/** Freshness of the rules and a second. */
constexpr auto staleLimit = 5s;
/** For a zone that rejoins: connections are opened anew after their timeouts. */
constexpr auto rejoinLimit = 10s;
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

/** "served", the reason of the refusal, or the transport error. */
auto resultOf(const CallerResponse &response) -> std::string
{
    if (!response.isComplete_) {
        return "no answer";
    }
    return response.status_ == statusOk ? served : response.reason_;
}

/** Sends a keyed request until it gets a verdict, at most for a time; counts the verdicts. */
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

/** Sends keyed requests to a host for a time; counts the verdicts. */
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

/** Checks that every host gives a verdict within a time. */
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

/** A caller's connection that stays open. */
struct PersistentConnection
{
    explicit PersistentConnection(const std::string &address)
        : client_("http://" + address)
    {
        client_.set_keep_alive(true);
        client_.set_socket_options([this](auto) {
            ++connections_;
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
    int connections_ = 0;
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

// Guards against a key that is looked at only when a connection is opened.
TEST_CASE("a withdrawn key stops working on connections that stay open")
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
            CHECK(connection->connections_ == 1);
        }
    }
    CHECK(findViolations(deployment, {}, { key.key_ }) == "");
}

// Guards against a withdrawal that is lost with a host that held it, or when the store answers again and still shows the key as active.
TEST_CASE("a key withdrawn while the store is down stays withdrawn")
{
    auto deployment = Deployment(threeZoneSettings(1));
    const auto withdrawn = deployment.grantKey("alpha");
    const auto kept = deployment.grantKey("alpha");
    deployment.waitUntilKeyAccepted(withdrawn.key_);
    deployment.waitUntilKeyAccepted(kept.key_);
    auto caller = Caller {};

    postControl(deployment.storeAddress(), "/control/outage", Json { { "on", true } });
    const auto submitted = withdrawAtHost(deployment, withdrawn.name_, "r1-1-h1");
    CAPTURE(submitted.output_);
    CAPTURE(submitted.errorOutput_);
    REQUIRE(submitted.exitCode_ == 0);
    checkAllHosts(deployment, caller, withdrawn.key_, "key_withdrawn", Clock::now() + staleLimit);

    // Each host in turn, so that at the end no host that took the withdrawal from the operator's command runs.
    for (auto &host : deployment.hosts()) {
        CAPTURE(host.name_);
        restart(deployment, host);
        CHECK(sendFor(caller, host, withdrawn.key_, 500ms)[served] == 0);
        CHECK(sendUntil(caller, host, kept.key_, served, staleLimit)[served] > 0);
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
        CHECK(resultOf(caller.send(host.address_, keyedRequest(kept.key_))) == served);
    }
    CHECK(findViolations(deployment, caller.records(), { withdrawn.key_, kept.key_ }) == "");
}

// Guards against a host that can't hear of a withdrawal and serves the key for longer than the freshness of its knowledge, also after a restart.
TEST_CASE("a zone that is cut off stops serving keys in time and never serves a withdrawn one again")
{
    auto deployment = Deployment(threeZoneSettings(2));
    const auto withdrawn = deployment.grantKey("alpha");
    const auto kept = deployment.grantKey("alpha");
    deployment.waitUntilKeyAccepted(withdrawn.key_);
    deployment.waitUntilKeyAccepted(kept.key_);
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
        CHECK(sendFor(caller, *host, kept.key_, 200ms)[served] == 0);
    }

    deployment.isolateZone("r1-3", false);
    for (auto *const host : { &first, &second }) {
        CAPTURE(host->name_);
        auto counts = sendUntil(caller, *host, withdrawn.key_, "key_withdrawn", rejoinLimit);
        CHECK(counts["key_withdrawn"] > 0);
        CHECK(counts[served] == 0);
        CHECK(sendUntil(caller, *host, kept.key_, served, rejoinLimit)[served] > 0);
    }
    CHECK(findViolations(deployment, caller.records(), { withdrawn.key_, kept.key_ }) == "");
}

// Guards against a paused host that, once it runs again, takes its knowledge for as fresh as it was before the pause.
TEST_CASE("a host that was paused while a key was withdrawn never serves it")
{
    auto deployment = Deployment(threeZoneSettings(1));
    const auto withdrawn = deployment.grantKey("alpha");
    deployment.waitUntilKeyAccepted(withdrawn.key_);
    auto caller = Caller {};
    auto &host = deployment.hosts().front();
    host.process_->suspend();
    REQUIRE(deployment.runTool({ "key", "withdraw", withdrawn.name_ }).exitCode_ == 0);
    // These requests wait in the host's listening socket, so they are the first that it sees.
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
