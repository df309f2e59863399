#include "support/callers.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;

namespace
{

constexpr auto okStatus = 200;

struct EndingCase
{
    std::string title_;
    UpstreamFault fault_;
};

}

// Guards against a second run of a request that may run once, and against "not run" for one that has run, whichever way an exchange ends.
TEST_CASE("requests that may run once run at most once whichever way an exchange ends")
{
    const auto cases = std::vector<EndingCase> {
        { "the answer is lost", UpstreamFault::AnswerLost },
        { "silence", UpstreamFault::Silent },
        { "the answer is cut", UpstreamFault::Cut },
        { "rejected", UpstreamFault::Full },
    };
    auto fleet = Fleet();
    for (const auto &endingCase : cases) {
        CAPTURE(endingCase.title_);
        auto once = Callers(fleet, "/book/a", "key-free", 3);
        auto repeatable = Callers(fleet, "/read/a", "key-free", 3);
        std::this_thread::sleep_for(std::chrono::milliseconds { 300 });
        fleet.upstreams().front()->setFault(endingCase.fault_);
        std::this_thread::sleep_for(std::chrono::milliseconds { 1500 });
        fleet.upstreams().front()->setFault(UpstreamFault::None);
        const auto onceCalls = once.stop();
        const auto calls = repeatable.stop();
        const auto runs = fleet.runs();
        CHECK(findRepeatedRuns(onceCalls, runs) == "");
        CHECK(findBrokenPromises(onceCalls, runs) == "");
        CHECK(findBrokenPromises(calls, runs) == "");
    }
}

// Guards against a second run or a false "not run" when an entry host dies or is asked to stop while it serves, and against a cut answer at a stop.
TEST_CASE("promises hold while entry hosts are killed, stopped and restarted")
{
    auto fleet = Fleet();
    auto once = Callers(fleet, "/book/a", "key-free", 4);
    auto &killed = fleet.hosts()[0];
    auto &stopped = fleet.hosts()[2];
    std::this_thread::sleep_for(std::chrono::milliseconds { 500 });
    killed.process_->kill();
    stopped.process_->terminate();
    fleet.startHost(killed);
    CHECK(stopped.process_->waitForExit(std::chrono::seconds { 7 }) == 0);
    fleet.startHost(stopped);
    fleet.waitUntilServing();
    const auto calls = once.stop();
    const auto runs = fleet.runs();
    CHECK(findRepeatedRuns(calls, runs) == "");
    CHECK(findBrokenPromises(calls, runs) == "");
    CHECK(calls.size() > 100);
}

// Guards against more than an organisation's rate and burst over all hosts together while hosts are frozen, killed, restarted and cut off from the store,
// and against a lowered limit that does not come in force.
TEST_CASE("an organisation gets no more than its limit over all hosts")
{
    constexpr auto window = std::chrono::seconds { 5 };
    constexpr auto rate = 20.0;
    constexpr auto burst = 20;
    constexpr auto overage = 1.1;
    constexpr auto slack = 20;
    constexpr auto bound = (rate * 5 + burst) * overage + slack;
    auto fleet = Fleet();
    auto load = Callers(fleet, "/read/a", "key-limited", 6);
    auto &hosts = fleet.hosts();
    std::this_thread::sleep_for(std::chrono::seconds { 5 });
    hosts[0].process_->suspend();
    std::this_thread::sleep_for(std::chrono::milliseconds { 1500 });
    hosts[0].process_->resume();
    hosts[1].process_->kill();
    fleet.store().setFault(hosts[2].storeAddress_, StoreFault::Silent);
    std::this_thread::sleep_for(std::chrono::seconds { 1 });
    fleet.startHost(hosts[1]);
    std::this_thread::sleep_for(std::chrono::seconds { 5 });
    CHECK(mostRunsInWindow(fleet.runs(), "limited", window) <= bound);
    CHECK(mostRunsInWindow(fleet.runs(), "limited", window) > 0);
    fleet.setLimit(4, 4);
    // In force by the bound of the sites, and from then on counted over a whole window.
    std::this_thread::sleep_for(std::chrono::milliseconds { 2500 } + window);
    const auto before = fleet.runs().size();
    std::this_thread::sleep_for(window);
    load.stop();
    CHECK(static_cast<double>(fleet.runs().size() - before) <= (4 * 5 + 4) * overage + slack);
}

// Guards against a deployment that does not come back when all hosts lose power at once, and against an older configuration afterwards.
TEST_CASE("everything is back after all hosts are killed at once")
{
    auto fleet = Fleet();
    fleet.configure({ "key-limited" });
    for (auto &host : fleet.hosts()) {
        host.process_->kill();
    }
    for (auto &host : fleet.hosts()) {
        fleet.startHost(host);
    }
    // The bound of the sites for a recovery.
    fleet.waitUntilServing(std::chrono::seconds { 15 });
    for (const auto &host : fleet.hosts()) {
        CHECK(fleet.call(host, "/read/a").answer_.status_ == okStatus);
        CHECK(fleet.call(host, "/read/a", "key-limited").answer_.status_ == 401);
    }
}
