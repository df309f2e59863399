#include "support/fleet.h"
#include "support/stopcallers.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;

namespace
{

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** From the last preparation to the signal. */
constexpr auto leadTime = Milliseconds { 1000 };

/** A caller that sends so much later than planned no longer sends in time. */
constexpr auto largestCallerDelay = Milliseconds { 50 };

constexpr auto uploadBytes = std::size_t { 5000 };
constexpr auto callerLimit = Milliseconds { 20000 };

constexpr auto servedStatus = 200;
constexpr auto notRunStatus = 503;

/** What may become of a request. */
enum class Allowed {
    Served,
    /** Answered by its backend server, or refused as not run. */
    ServedOrNotRun,
    /** Neither sent to a backend server nor answered: the response before it closes the connection. */
    NotTaken,
};

struct LateRequest
{
    std::string title_;
    Allowed allowed_ = Allowed::ServedOrNotRun;
    StopRequest request_;
    /** Sent before it on the same connection; none if it has no path. */
    StopRequest first_ = {};
};

struct LateStop
{
    std::string title_;
    Milliseconds grace_;
    Milliseconds routeTimeout_;
    /** Quick requests of each route before the stop. */
    int earlierRequests_ = 0;
    std::vector<LateRequest> requests_;
};

auto requestAt(int after, const std::string &path, int work, Milliseconds timeLimit = callerLimit) -> StopRequest
{
    return { Milliseconds { after }, path, 0, {}, {}, timeLimit, Milliseconds { work } };
}

auto uploadAt(int after, const std::string &path, int bodyDelay, int work) -> StopRequest
{
    return { Milliseconds { after }, path, uploadBytes, Milliseconds { bodyDelay }, {}, callerLimit, Milliseconds { work } };
}

/** Requests around a stop with a grace of 10 s, whose work ends before the host does if they are sent within the first 3 s. */
auto requestsOfTenSeconds() -> std::vector<LateRequest>
{
    return {
        { "a request that may run once", Allowed::ServedOrNotRun, requestAt(4500, "/book/late", 5500) },
        { "a request that may be repeated", Allowed::ServedOrNotRun, requestAt(4500, "/read/late", 5500) },
        { "sent soon after the first 3 s", Allowed::ServedOrNotRun, requestAt(3200, "/book/soon", 6500) },
        { "on a kept connection", Allowed::ServedOrNotRun, requestAt(4500, "/book/kept", 5500), requestAt(-500, "/read/kept", 20) },
        { "an upload that ends late", Allowed::ServedOrNotRun, uploadAt(2000, "/book/upload", 2500, 5500) },
        { "sent in time", Allowed::Served, requestAt(2500, "/book/in-time", 5500) },
        { "an upload that ends in time", Allowed::Served, uploadAt(1500, "/book/upload-in-time", 1000, 5500) },
        { "sent late, with a limit that ends before the host", Allowed::Served, requestAt(4800, "/book/limited", 200, Milliseconds { 2000 }) },
        { "behind a request on its connection", Allowed::NotTaken, requestAt(4000, "/book/behind", 100), requestAt(2000, "/read/before", 4000) },
    };
}

auto warmUp(Fleet &fleet, int requests) -> void
{
    for (const auto &backend : fleet.backends()) {
        backend->setWork(Milliseconds { 60 });
    }
    for (auto number = 0; number < requests; ++number) {
        for (const auto *path : { "/read/a", "/book/a" }) {
            CHECK(fleet.call(fleet.hosts()[0], path).response_.status_ == servedStatus);
        }
    }
}

auto isAllowed(const LateRequest &late, const StopCall &call, bool hasRun) -> bool
{
    const auto isServed = call.status_ == servedStatus && hasRun;
    const auto isRefused = call.status_ == notRunStatus && !hasRun;
    switch (late.allowed_) {
    case Allowed::Served:
        return isServed || (isRefused && call.sentAfter_ - late.request_.after_ > largestCallerDelay);
    case Allowed::ServedOrNotRun:
        return isServed || isRefused;
    case Allowed::NotTaken:
        return !call.isAnswered_ && !hasRun;
    }
    return false;
}

auto findCall(const std::vector<StopCall> &calls, const std::string &id) -> StopCall
{
    const auto found = std::find_if(calls.begin(), calls.end(), [&](const StopCall &call) {
        return call.id_ == id;
    });
    return found == calls.end() ? StopCall { id, {} } : *found;
}

/** The identifiers of a request and of the one before it on its connection, which is empty if there is none. */
struct SentRequest
{
    std::string first_;
    std::string id_;
};

auto sendAll(StopCallers &callers, const std::vector<LateRequest> &requests) -> std::vector<SentRequest>
{
    auto sent = std::vector<SentRequest> {};
    for (const auto &late : requests) {
        if (late.first_.path_.empty()) {
            sent.push_back({ "", callers.sendAt(late.request_) });
            continue;
        }
        const auto [first, id] = callers.sendBehind(late.first_, late.request_);
        sent.push_back({ first, id });
    }
    return sent;
}

auto checkOutcome(const LateRequest &late, const SentRequest &sent, const std::vector<StopCall> &calls, const Fleet &fleet) -> void
{
    const auto call = findCall(calls, sent.id_);
    CAPTURE(late.title_);
    CAPTURE(call.status_);
    CAPTURE(call.sentAfter_.count());
    CAPTURE(call.endedAfter_.count());
    CHECK(isAllowed(late, call, fleet.runs().contains(sent.id_)));
    if (sent.first_.empty()) {
        return;
    }
    const auto first = findCall(calls, sent.first_);
    CHECK(first.status_ == servedStatus);
    // By this, the caller learns that the request behind was not taken.
    CHECK(first.closesConnection_ == (late.allowed_ == Allowed::NotTaken));
}

}

// Guards against a request that is taken late in a planned stop and broken off while its backend server works on it (LOST).
TEST_CASE("a stopping host answers every request that it takes late, or refuses it as not run")
{
    const auto cases = std::vector<LateStop> {
        { "a grace of 10 s and routes of which next to nothing is known", Milliseconds { 10000 }, Milliseconds { 10000 }, 0, requestsOfTenSeconds() },
        { "a grace of 10 s and routes whose requests were short", Milliseconds { 10000 }, Milliseconds { 10000 }, 20, requestsOfTenSeconds() },
        { "a grace of 20 s",
          Milliseconds { 20000 },
          Milliseconds { 15000 },
          0,
          { { "late", Allowed::ServedOrNotRun, requestAt(8000, "/book/late", 12000) }, { "in time", Allowed::Served, requestAt(2500, "/book/a", 12000) } } },
        { "a grace of 6 s",
          Milliseconds { 6000 },
          Milliseconds { 3000 },
          0,
          { { "in time", Allowed::Served, requestAt(2000, "/book/a", 600) },
            { "just in time", Allowed::Served, requestAt(2800, "/book/b", 600) },
            { "late", Allowed::ServedOrNotRun, requestAt(3200, "/book/late", 2900) } } },
    };
    for (const auto &stopCase : cases) {
        CAPTURE(stopCase.title_);
        auto settings = FleetSettings {};
        settings.grace_ = stopCase.grace_;
        settings.routeTimeout_ = stopCase.routeTimeout_;
        auto fleet = Fleet(settings);
        warmUp(fleet, stopCase.earlierRequests_);
        auto &host = fleet.hosts()[0];
        const auto signalAt = Clock::now() + leadTime;
        auto callers = StopCallers(host, signalAt);
        const auto sent = sendAll(callers, stopCase.requests_);
        std::this_thread::sleep_until(signalAt);
        host.process_->terminate();
        CHECK(host.process_->waitForExit(stopCase.grace_) == 0);
        const auto calls = callers.join();
        for (auto index = std::size_t { 0 }; index < sent.size(); ++index) {
            checkOutcome(stopCase.requests_[index], sent[index], calls, fleet);
        }
    }
}
