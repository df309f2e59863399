#include "support/backgroundload.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;

namespace
{

constexpr auto okStatus = 200;

struct BackendFaultCase
{
    std::string title_;
    PlatformBackendFault fault_;
};

}

// Guards against a second run of an at-most-once request, and against a "not run" response to a request that has run, however the exchange with the backend
// server fails.
TEST_CASE("at-most-once requests run at most once however the exchange with the backend server fails")
{
    const auto cases = std::vector<BackendFaultCase> {
        { "response lost", PlatformBackendFault::ResponseLost },
        { "no response", PlatformBackendFault::Unresponsive },
        { "response body truncated", PlatformBackendFault::TruncatedBody },
        { "rejected as overloaded", PlatformBackendFault::Overloaded },
    };
    auto fleet = Fleet();
    for (const auto &backendFaultCase : cases) {
        CAPTURE(backendFaultCase.title_);
        auto atMostOnceLoad = BackgroundLoad(fleet, "/book/a", "key-free", 3);
        auto repeatableLoad = BackgroundLoad(fleet, "/read/a", "key-free", 3);
        std::this_thread::sleep_for(std::chrono::milliseconds { 300 });
        fleet.backends().front()->setFault(backendFaultCase.fault_);
        std::this_thread::sleep_for(std::chrono::milliseconds { 1500 });
        fleet.backends().front()->setFault(PlatformBackendFault::None);
        const auto atMostOnceCalls = atMostOnceLoad.stop();
        const auto calls = repeatableLoad.stop();
        const auto runs = fleet.runs();
        CHECK(findDuplicateRuns(atMostOnceCalls, runs) == "");
        CHECK(findContractViolations(atMostOnceCalls, runs) == "");
        CHECK(findContractViolations(calls, runs) == "");
    }
}

// Guards against a second run, or a false "not run" response, when an entry host is killed or terminated while it serves, and against truncated responses on
// termination.
TEST_CASE("the request contract holds while entry hosts are killed, terminated and restarted")
{
    auto fleet = Fleet();
    auto atMostOnceLoad = BackgroundLoad(fleet, "/book/a", "key-free", 4);
    auto &killed = fleet.hosts()[0];
    auto &stopped = fleet.hosts()[2];
    std::this_thread::sleep_for(std::chrono::milliseconds { 500 });
    killed.process_->kill();
    stopped.process_->terminate();
    fleet.startHost(killed);
    CHECK(stopped.process_->waitForExit(std::chrono::seconds { 7 }) == 0);
    fleet.startHost(stopped);
    fleet.waitUntilServing();
    const auto calls = atMostOnceLoad.stop();
    const auto runs = fleet.runs();
    CHECK(findDuplicateRuns(calls, runs) == "");
    CHECK(findContractViolations(calls, runs) == "");
    CHECK(calls.size() > 100);
}

// Guards against exceeding an organisation's fleet-wide rate and burst while hosts are frozen, killed, restarted and disconnected from the store, and against a
// lowered limit that does not take effect.
TEST_CASE("an organisation stays within its limit over all hosts")
{
    constexpr auto window = std::chrono::seconds { 5 };
    constexpr auto rate = 20.0;
    constexpr auto burst = 20;
    constexpr auto overage = 1.1;
    constexpr auto slack = 20;
    constexpr auto bound = (rate * 5 + burst) * overage + slack;
    auto fleet = Fleet();
    auto load = BackgroundLoad(fleet, "/read/a", "key-limited", 6);
    auto &hosts = fleet.hosts();
    std::this_thread::sleep_for(std::chrono::seconds { 5 });
    hosts[0].process_->suspend();
    std::this_thread::sleep_for(std::chrono::milliseconds { 1500 });
    hosts[0].process_->resume();
    hosts[1].process_->kill();
    fleet.store().setFault(hosts[2].storeAddress_, StoreFault::Unresponsive);
    std::this_thread::sleep_for(std::chrono::seconds { 1 });
    fleet.startHost(hosts[1]);
    std::this_thread::sleep_for(std::chrono::seconds { 5 });
    CHECK(maximumRunsInWindow(fleet.runs(), "limited", window) <= bound);
    CHECK(maximumRunsInWindow(fleet.runs(), "limited", window) > 0);
    fleet.setLimit(4, 4);
    // The new limit takes effect within the sites' bound on configuration propagation; runs are counted over one full window after that.
    std::this_thread::sleep_for(std::chrono::milliseconds { 2500 } + window);
    const auto runsBefore = fleet.runs().size();
    std::this_thread::sleep_for(window);
    load.stop();
    CHECK(static_cast<double>(fleet.runs().size() - runsBefore) <= (4 * 5 + 4) * overage + slack);
}

// Guards against a deployment that does not recover after all hosts lose power at once, or that recovers with an outdated configuration.
TEST_CASE("the deployment recovers with the current configuration after all hosts are killed at once")
{
    auto fleet = Fleet();
    fleet.configure({ "key-limited" });
    for (auto &host : fleet.hosts()) {
        host.process_->kill();
    }
    for (auto &host : fleet.hosts()) {
        fleet.startHost(host);
    }
    // The sites' bound on the recovery time.
    fleet.waitUntilServing(std::chrono::seconds { 15 });
    for (const auto &host : fleet.hosts()) {
        CHECK(fleet.call(host, "/read/a").response_.status_ == okStatus);
        CHECK(fleet.call(host, "/read/a", "key-limited").response_.status_ == 401);
    }
}
