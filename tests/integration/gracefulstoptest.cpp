#include "support/caller.h"
#include "support/deployment.h"
#include "support/invariants.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace integration;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr auto lookupPath = "/.well-known/lycheecleat/lookup";
constexpr auto lookupLifetime = std::chrono::seconds { 2 };
/** Time after which no lookup response lists a stopping host. */
constexpr auto lookupRemovalLimit = std::chrono::seconds { 2 };
constexpr auto warmUpTime = std::chrono::seconds { 1 };
/** Longer than a graceful stop takes: the lookup lifetime, the propagation time and the longest request. */
constexpr auto exitLimit = std::chrono::seconds { 20 };
constexpr auto callerCount = 12;
constexpr auto longRequestCount = 6;
constexpr auto longServiceMilliseconds = "1500";
constexpr auto shortServiceMilliseconds = "30";
constexpr auto statusOk = 200;

auto stopSettings() -> DeploymentSettings
{
    auto settings = DeploymentSettings {};
    settings.zonesPerRegion_ = 3;
    settings.slots_ = 16;
    settings.lookupLifetime_ = "2s";
    settings.routeDeadline_ = "4s";
    return settings;
}

/** Addresses of the hosts that a lookup response lists; empty if the lookup fails. */
auto lookUp(Caller &caller, const std::string &host) -> std::vector<std::string>
{
    auto request = CallerRequest {};
    request.path_ = lookupPath;
    auto addresses = std::vector<std::string> {};
    const auto response = caller.send(host, request);
    if (response.status_ != statusOk) {
        return addresses;
    }
    const auto body = nlohmann::json::parse(response.body_);
    for (const auto &listed : body.at("hosts")) {
        addresses.push_back(listed.at("address").get<std::string>());
    }
    return addresses;
}

/** Callers that use each lookup response for its whole lifetime. Half of them send all requests of a response on one persistent connection. */
class CachingCallers
{
public:
    CachingCallers(Caller &caller, std::vector<std::string> lookupHosts, std::string stoppingHost)
        : caller_(caller)
        , stoppingHost_(std::move(stoppingHost))
        , lookupHosts_(std::move(lookupHosts))
    {
        for (auto number = 0; number < callerCount; ++number) {
            threads_.emplace_back([this, number] {
                while (!stopped_) {
                    callThroughLookup(number);
                }
            });
        }
    }
    CachingCallers(const CachingCallers &) = delete;
    auto operator=(const CachingCallers &) -> CachingCallers & = delete;
    ~CachingCallers()
    {
        stop();
    }

    auto stop() -> void
    {
        stopped_ = true;
        for (auto &thread : threads_) {
            if (thread.joinable()) {
                thread.join();
            }
        }
    }

    /** Requests that were not served, one per line. */
    [[nodiscard]] auto failures() -> std::string
    {
        const auto lock = std::lock_guard(mutex_);
        return failures_;
    }

    /** Number of requests sent to a host. */
    [[nodiscard]] auto requestsSentTo(const std::string &address) -> int
    {
        const auto lock = std::lock_guard(mutex_);
        return requestCounts_[address];
    }

private:
    auto callThroughLookup(int number) -> void
    {
        // The lifetime of the response is counted from the sending of the lookup, since it can't begin earlier.
        const auto end = Clock::now() + lookupLifetime;
        const auto addresses = lookUp(caller_, lookupHosts_[static_cast<std::size_t>(number) % lookupHosts_.size()]);
        if (addresses.empty()) {
            recordRequest("lookup", "no hosts returned");
            return;
        }
        // Every second pair of callers uses the stopping host while responses list it, until the end of the response's lifetime.
        const auto usesStoppingHost = number / 2 % 2 == 0 && std::find(addresses.begin(), addresses.end(), stoppingHost_) != addresses.end();
        const auto &address = usesStoppingHost ? stoppingHost_ : addresses.front();
        auto connection = httplib::Client("http://" + address);
        connection.set_keep_alive(true);
        connection.set_read_timeout(std::chrono::seconds(10));
        while (!stopped_ && Clock::now() < end) {
            const auto isPersistent = number % 2 == 0;
            const auto error = isPersistent ? sendOnPersistentConnection(connection) : sendOnce(address);
            recordRequest(address, error);
        }
    }

    auto sendOnce(const std::string &address) -> std::string
    {
        auto request = CallerRequest {};
        request.path_ = "/open/prices";
        request.headers_ = { { "X-Test-Service-Ms", shortServiceMilliseconds } };
        const auto response = caller_.send(address, request);
        return response.status_ == statusOk ? "" : std::to_string(response.status_) + " " + response.reason_ + " " + response.error_;
    }

    static auto sendOnPersistentConnection(httplib::Client &connection) -> std::string
    {
        const auto result = connection.Get("/open/prices", { { "X-Test-Id", makeTestId() }, { "X-Test-Service-Ms", shortServiceMilliseconds } });
        if (!result) {
            return "persistent connection: " + httplib::to_string(result.error());
        }
        return result->status == statusOk ? "" : "persistent connection: " + std::to_string(result->status) + " " + result->body;
    }

    auto recordRequest(const std::string &address, const std::string &error) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        ++requestCounts_[address];
        if (!error.empty()) {
            failures_ += address + ": " + error + "\n";
        }
    }

    Caller &caller_;
    const std::string stoppingHost_;
    const std::vector<std::string> lookupHosts_;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::map<std::string, int> requestCounts_;
    std::string failures_;
    std::vector<std::thread> threads_;
};

/** Long requests sent concurrently to one host. */
class LongRequests
{
public:
    LongRequests(Caller &caller, const std::string &address)
    {
        for (auto number = 0; number < longRequestCount; ++number) {
            threads_.emplace_back([this, &caller, address] {
                auto request = CallerRequest {};
                request.path_ = "/open/long";
                request.headers_ = { { "X-Test-Service-Ms", longServiceMilliseconds } };
                const auto response = caller.send(address, request);
                if (response.status_ != statusOk) {
                    const auto lock = std::lock_guard(mutex_);
                    failures_ += std::to_string(response.status_) + " " + response.reason_ + " " + response.error_ + "\n";
                }
            });
        }
    }

    /** Waits for all responses; returns the requests that were not served, one per line. */
    auto waitForFailures() -> std::string
    {
        for (auto &thread : threads_) {
            thread.join();
        }
        return failures_;
    }

private:
    std::mutex mutex_;
    std::string failures_;
    std::vector<std::thread> threads_;
};

auto isHostInLookups(Caller &caller, const std::vector<std::string> &lookupHosts, const std::string &address) -> bool
{
    auto isListed = false;
    for (const auto &host : lookupHosts) {
        for (const auto &listed : lookUp(caller, host)) {
            isListed = isListed || listed == address;
        }
    }
    return isListed;
}

}

// Guards against a graceful stop that interrupts requests in flight or fails callers that still use a cached lookup response, against a second SIGTERM
// that ends the process immediately, and against lookups that keep listing a stopping host.
TEST_CASE("a graceful stop interrupts no request, even if SIGTERM is repeated")
{
    for (const auto stopSignals : { 1, 3 }) {
        CAPTURE(stopSignals);
        auto deployment = Deployment(stopSettings());
        auto caller = Caller {};
        auto &stoppingHost = deployment.host("r1-2-h1");
        const auto lookupHosts = std::vector<std::string> { deployment.host("r1-1-h1").address_, deployment.host("r1-3-h1").address_ };
        auto callers = CachingCallers(caller, lookupHosts, stoppingHost.address_);
        std::this_thread::sleep_for(warmUpTime);
        CHECK(isHostInLookups(caller, lookupHosts, stoppingHost.address_));
        auto requestsAtSignal = LongRequests(caller, stoppingHost.address_);
        std::this_thread::sleep_for(warmUpTime / 4);
        const auto sentBefore = callers.requestsSentTo(stoppingHost.address_);
        CHECK(sentBefore > 0);

        stoppingHost.process_->terminate();
        const auto signalledAt = Clock::now();
        for (auto number = 1; number < stopSignals; ++number) {
            std::this_thread::sleep_for(warmUpTime / 4);
            stoppingHost.process_->terminate();
        }
        // These requests start within the lookup lifetime and are in flight when the listener closes.
        std::this_thread::sleep_until(signalledAt + lookupLifetime - std::chrono::milliseconds(100));
        auto requestsBeforeClose = LongRequests(caller, stoppingHost.address_);
        std::this_thread::sleep_until(signalledAt + lookupRemovalLimit);
        CHECK_FALSE(isHostInLookups(caller, lookupHosts, stoppingHost.address_));

        CHECK(requestsAtSignal.waitForFailures() == "");
        CHECK(requestsBeforeClose.waitForFailures() == "");
        const auto exitCode = stoppingHost.process_->waitForExit(exitLimit);
        CAPTURE(stoppingHost.process_->errorOutput());
        REQUIRE(exitCode.has_value());
        CHECK(*exitCode == 0);
        callers.stop();
        CHECK(callers.requestsSentTo(stoppingHost.address_) > sentBefore);
        CHECK(callers.failures() == "");
        CHECK(findViolations(deployment, caller.records(), {}) == "");
    }
}
