#include "process/returnqueue.h"

#include "core/clock.h"

#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <string>
#include <thread>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto candidates = std::uint64_t { 7 };

auto requestOf(const std::string &organisation, absl::Duration timeout) -> WaitingRequest
{
    auto request = WaitingRequest {};
    request.candidates_ = candidates;
    request.organisation_ = organisation;
    request.deadline_ = monotonicNow() + timeout;
    request.choose_ = [] {
        return false;
    };
    request.servedAt_ = [] {
        return std::optional(monotonicNow());
    };
    return request;
}

struct WaitCase
{
    std::string title_;
    std::optional<absl::Duration> servedAfter_;
    absl::Duration longestWait_;
};

}

// Guards against a request that is held until its deadline although it is known that it can't be served.
TEST_CASE("a request that can't be served before its deadline doesn't wait")
{
    const auto cases = std::vector<WaitCase> {
        { "no known return", std::nullopt, absl::Milliseconds(100) },
        { "return after the deadline", absl::Seconds(5), absl::Milliseconds(100) },
        { "never", absl::InfiniteDuration(), absl::Milliseconds(100) },
        { "return before the deadline, but no choice", absl::ZeroDuration(), absl::Seconds(2) },
    };
    for (const auto &waitCase : cases) {
        CAPTURE(waitCase.title_);
        auto queue = ReturnQueue {};
        auto request = requestOf("a", absl::Seconds(1));
        const auto begun = monotonicNow();
        request.servedAt_ = [&] {
            return waitCase.servedAfter_ ? std::optional(begun + *waitCase.servedAfter_) : std::nullopt;
        };
        CHECK(queue.await(request) == WaitResult::Unservable);
        CHECK(monotonicNow() - begun < waitCase.longestWait_);
        CHECK(queue.isEmpty());
        CHECK_FALSE(queue.hasWaiting(candidates));
    }
}

// Guards against holding a thread for a caller that has left.
TEST_CASE("a wait ends when the caller leaves")
{
    auto sockets = std::array<int, 2> {};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, sockets.data()) == 0);
    auto queue = ReturnQueue {};
    auto request = requestOf("a", absl::Seconds(5));
    request.callerSocket_ = sockets[0];
    close(sockets[1]);
    const auto begun = monotonicNow();
    CHECK(queue.await(request) == WaitResult::CallerLeft);
    CHECK(monotonicNow() - begun < absl::Seconds(1));
    close(sockets[0]);
}

// Guards against an organisation with many waiting requests that holds up another one, and that takes all threads.
TEST_CASE("waiting requests are served in fair order, and an organisation has a limit of them")
{
    auto queue = ReturnQueue {};
    auto order = std::vector<std::string> {};
    auto mutex = absl::Mutex {};
    auto isOpen = std::atomic<bool> { false };
    auto unservable = std::atomic<int> { 0 };
    auto threads = std::vector<std::thread> {};
    const auto startWaiting = [&](const std::string &organisation) {
        threads.emplace_back([&, organisation] {
            auto request = requestOf(organisation, absl::Seconds(20));
            request.choose_ = [&, organisation] {
                if (!isOpen) {
                    return false;
                }
                const auto lock = absl::MutexLock(&mutex);
                order.push_back(organisation);
                return true;
            };
            unservable += queue.await(request) == WaitResult::Unservable ? 1 : 0;
        });
        absl::SleepFor(absl::Milliseconds(5));
    };
    constexpr auto flood = 20;
    constexpr auto limit = 16;
    for (auto number = 0; number < flood; ++number) {
        startWaiting("many");
    }
    startWaiting("few");
    absl::SleepFor(absl::Milliseconds(100));
    CHECK(queue.hasWaiting(candidates));
    CHECK(unservable == flood - limit);
    isOpen = true;
    for (auto &thread : threads) {
        thread.join();
    }
    REQUIRE(order.size() == limit + 1);
    const auto position = std::find(order.begin(), order.end(), "few") - order.begin();
    CHECK(position <= 1);
    CHECK(queue.isEmpty());
}

// Guards against a request that waits behind another one, whose backend servers are all paused for longer, although one is free for it.
TEST_CASE("a request for which a backend server is free does not wait for its turn")
{
    auto queue = ReturnQueue {};
    auto head = std::thread([&] {
        CHECK(queue.await(requestOf("a", absl::Seconds(1))) == WaitResult::Unservable);
    });
    while (queue.isEmpty()) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    auto request = requestOf("b", absl::Seconds(1));
    request.hasFreeBackend_ = [] {
        return true;
    };
    request.choose_ = [] {
        return true;
    };
    const auto begun = monotonicNow();
    CHECK(queue.await(request) == WaitResult::Chosen);
    CHECK(monotonicNow() - begun < absl::Milliseconds(500));
    head.join();
}
