#include "support/fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;

namespace
{

constexpr auto callerCount = 6;

constexpr auto unavailableStatus = 503;

/** How long the callers still wait, as they state with their requests. */
constexpr auto statedTime = std::chrono::milliseconds { 600 };

/** How long the host does not read; longer than the callers have stated. */
constexpr auto stoppedTime = std::chrono::milliseconds { 1200 };

}

// Guards against a host that grants a request its whole deadline anew after the request lay unread, so that backend servers work past the caller's deadline.
TEST_CASE("a request whose deadline passed while the host was stopped is refused as not run")
{
    for (const auto *path : { "/read/a", "/book/a" }) {
        CAPTURE(path);
        auto fleet = Fleet();
        auto &host = fleet.hosts().front();
        auto calls = std::vector<FleetCall>(callerCount);
        auto callers = std::vector<std::thread> {};
        host.process_->suspend();
        for (auto &call : calls) {
            callers.emplace_back([&] {
                // The caller waits longer than it states, so that it receives the response.
                call = fleet.call(host, path, "key-free", std::chrono::seconds { 4 }, statedTime);
            });
        }
        std::this_thread::sleep_for(stoppedTime);
        host.process_->resume();
        for (auto &caller : callers) {
            caller.join();
        }
        const auto arrivals = fleet.arrivals();
        for (const auto &call : calls) {
            CHECK(call.response_.status_ == unavailableStatus);
            CHECK(std::none_of(arrivals.begin(), arrivals.end(), [&](const RequestArrival &arrival) {
                return arrival.requestId_ == call.id_;
            }));
        }
    }
}
