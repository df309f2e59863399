#include "support/fleet.h"
#include "support/stopcallers.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;

namespace
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** The users' bound on a planned stop; the settings of the test deployment state the same. */
constexpr auto grace = Milliseconds { 6000 };

constexpr auto requestInterval = Milliseconds { 40 };

/** How long before the signal requests begin. */
constexpr auto leadTime = Milliseconds { 500 };

constexpr auto slow = Milliseconds { 2800 };
constexpr auto largeBody = std::size_t { 24 } * 1024 * 1024;
constexpr auto uploadBytes = std::size_t { 5000 };

auto requestsEvery(StopCallers &callers, Milliseconds from, Milliseconds until) -> void
{
    for (auto after = from; after < until; after += 2 * requestInterval) {
        callers.sendAt({ after, "/read/a" });
        callers.sendAt({ after + requestInterval, "/book/a" });
    }
}

/** Requests that reached a backend server and were cut without a complete response. */
auto cutRequests(const std::vector<StopCall> &calls, const Fleet &fleet) -> std::string
{
    auto passedOn = std::set<std::string> {};
    for (const auto &arrival : fleet.arrivals()) {
        passedOn.insert(arrival.requestId_);
    }
    auto cut = std::string {};
    for (const auto &call : calls) {
        if (!call.isAnswered_ && passedOn.contains(call.id_)) {
            cut += fmt::format("{} sent after {} ms\n", call.id_, call.sentAfter_.count());
        }
    }
    return cut;
}

/** Requests that ran and whose callers got neither the answer of the backend server nor the allowed status: answered as not run, or broken off. */
auto runsWithoutAnswer(const std::vector<StopCall> &calls, const Fleet &fleet, int allowedStatus) -> std::string
{
    const auto runs = fleet.runs();
    auto found = std::string {};
    for (const auto &call : calls) {
        if (call.status_ != 200 && call.status_ != allowedStatus && runs.contains(call.id_)) {
            found += fmt::format("{} sent after {} ms: {}\n", call.id_, call.sentAfter_.count(), call.status_);
        }
    }
    return found;
}

struct StopCase
{
    std::string title_;
    /** Prepares the deployment before the first request. */
    std::function<void(Fleet &)> prepare_;
    std::function<void(StopCallers &)> send_;
    /** Status of requests whose backend server never responds. */
    int timeoutStatus_ = 200;
};

auto setWork(Fleet &fleet, Milliseconds serviceTime, std::size_t addedBytes = 0) -> void
{
    for (const auto &backend : fleet.backends()) {
        backend->setWork(serviceTime, addedBytes);
    }
}

/** Lets the hosts learn how long requests take. */
auto warmUp(Fleet &fleet) -> void
{
    for (auto number = 0; number < 12; ++number) {
        for (const auto *path : { "/read/a", "/book/a" }) {
            CHECK(fleet.call(fleet.hosts()[0], path).response_.status_ == 200);
        }
    }
}

}

// Guards against requests that a stopping host takes, passes on and cuts at the end of its grace without an answer (LOST).
TEST_CASE("a planned stop cuts no request that was passed on")
{
    const auto cases = std::vector<StopCase> {
        { "quick backend servers",
          [](Fleet &fleet) {
              warmUp(fleet);
          },
          [](StopCallers &callers) {
              requestsEvery(callers, -leadTime, grace);
          } },
        { "backend servers that take half of the grace",
          [](Fleet &fleet) {
              setWork(fleet, slow);
              auto warmUps = std::vector<std::thread> {};
              for (auto number = 0; number < 32; ++number) {
                  warmUps.emplace_back([&fleet, number] {
                      CHECK(fleet.call(fleet.hosts()[0], number % 2 == 0 ? "/read/a" : "/book/a").response_.status_ == 200);
                  });
              }
              for (auto &thread : warmUps) {
                  thread.join();
              }
          },
          [](StopCallers &callers) {
              requestsEvery(callers, -leadTime, grace);
          } },
        { "a backend server that does not respond",
          [](Fleet &fleet) {
              warmUp(fleet);
              fleet.backends()[0]->setFault(PlatformBackendFault::Unresponsive);
          },
          [](StopCallers &callers) {
              requestsEvery(callers, -leadTime, grace);
          },
          504 },
        { "kept connections",
          [](Fleet &fleet) {
              setWork(fleet, Milliseconds { 200 });
              warmUp(fleet);
          },
          [](StopCallers &callers) {
              for (auto caller = 0; caller < 40; ++caller) {
                  callers.sendOnKeptConnection(-leadTime + Milliseconds { caller * 7 }, caller % 2 == 0 ? "/read/a" : "/book/a");
              }
          } },
        { "bodies that are still arriving",
          [](Fleet &fleet) {
              warmUp(fleet);
          },
          [](StopCallers &callers) {
              for (auto after = Milliseconds { -200 }; after < Milliseconds { 3200 }; after += Milliseconds { 100 }) {
                  callers.sendAt({ after, "/read/a", uploadBytes, Milliseconds { 1500 } });
                  callers.sendAt({ after, "/book/a", uploadBytes, Milliseconds { 700 } });
              }
          } },
        { "callers that read slowly",
          [](Fleet &fleet) {
              warmUp(fleet);
              setWork(fleet, Milliseconds { 10 }, largeBody);
          },
          [](StopCallers &callers) {
              for (auto after = Milliseconds { 2600 }; after < Milliseconds { 3000 }; after += Milliseconds { 200 }) {
                  callers.sendAt({ after, "/read/a", 0, {}, Milliseconds { 1500 } });
                  callers.sendAt({ after, "/book/a", 0, {}, Milliseconds { 1000 } });
              }
          } },
    };
    for (const auto &stopCase : cases) {
        CAPTURE(stopCase.title_);
        auto settings = FleetSettings {};
        settings.memoryMegabytes_ = 2048;
        auto fleet = Fleet(settings);
        stopCase.prepare_(fleet);
        auto &host = fleet.hosts()[0];
        const auto signalAt = Clock::now() + 2 * leadTime;
        auto callers = StopCallers(host, signalAt);
        stopCase.send_(callers);
        std::this_thread::sleep_until(signalAt);
        host.process_->terminate();
        CHECK(host.process_->waitForExit(grace) == 0);
        const auto calls = callers.join();
        const auto answered = std::count_if(calls.begin(), calls.end(), [](const StopCall &call) {
            return call.status_ == 200;
        });
        MESSAGE(stopCase.title_, ": ", calls.size(), " requests, ", answered, " served");
        CHECK(answered > 0);
        CHECK(cutRequests(calls, fleet) == "");
        CHECK(runsWithoutAnswer(calls, fleet, stopCase.timeoutStatus_) == "");
    }
}
