#include "process/exchangeschedule.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

auto at(int milliseconds) -> absl::Time
{
    return absl::UnixEpoch() + absl::Milliseconds(milliseconds);
}

auto namesOf(int count) -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    for (auto index = 0; index < count; ++index) {
        names.push_back("host-" + std::to_string(index));
    }
    return names;
}

/** Takes every due peer. */
auto takeAllDue(ExchangeSchedule &schedule, absl::Time now) -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    while (auto name = schedule.next(now)) {
        names.push_back(*name);
    }
    return names;
}

}

// Guards against exchange traffic that grows with the square of the fleet.
TEST_CASE("the interval grows with the number of peers above the limit")
{
    CHECK(exchangeIntervalFor(0) == exchangeInterval);
    CHECK(exchangeIntervalFor(32) == exchangeInterval);
    CHECK(exchangeIntervalFor(64) == 2 * exchangeInterval);
}

TEST_CASE("each peer is due once an interval")
{
    auto schedule = ExchangeSchedule();
    schedule.setPeers(at(0), namesOf(10));
    CHECK(schedule.nextDue() >= at(0));
    const auto first = takeAllDue(schedule, at(500));
    CHECK(first.size() == 10);
    for (const auto &name : first) {
        schedule.finish(at(500), name, true);
    }
    CHECK(takeAllDue(schedule, at(1000)).size() == 10);
    CHECK(takeAllDue(schedule, at(5000)).empty());
}

// Guards against frozen peers that take up every thread and so delay the exchanges with all others.
TEST_CASE("only a few exchanges run at once with peers that failed")
{
    auto schedule = ExchangeSchedule();
    schedule.setPeers(at(0), namesOf(10));
    for (const auto &name : takeAllDue(schedule, at(500))) {
        schedule.finish(at(500), name, name == "host-0");
    }
    const auto second = takeAllDue(schedule, at(2000));
    CHECK(second.size() == 1 + maximumSuspectExchanges);
    CHECK(second.front() == "host-0");
    CHECK(schedule.nextDue() == absl::InfiniteFuture());
    schedule.finish(at(2000), second.back(), false);
    CHECK(schedule.next(at(2000)).has_value());
}

// Guards against a new revision that waits for the next regular exchange.
TEST_CASE("hurry makes idle peers due at once and busy peers due when they finish")
{
    auto schedule = ExchangeSchedule();
    schedule.setPeers(at(0), namesOf(3));
    const auto busy = takeAllDue(schedule, at(500));
    schedule.finish(at(500), busy[0], true);
    schedule.finish(at(500), busy[1], true);
    schedule.expedite(at(501), 7);
    CHECK(takeAllDue(schedule, at(501)).size() == 2);
    schedule.finish(at(502), busy[2], true);
    CHECK(schedule.next(at(502)) == busy[2]);
}

TEST_CASE("hurry takes a bounded sample of many peers")
{
    auto schedule = ExchangeSchedule();
    schedule.setPeers(at(0), namesOf(3000));
    const auto before = takeAllDue(schedule, at(0)).size();
    schedule.expedite(at(0), 7);
    CHECK(takeAllDue(schedule, at(0)).size() <= maximumPeersPerInterval);
    CHECK(before <= maximumPeersPerInterval);
}

// Guards against a slot that a removed frozen peer keeps for ever.
TEST_CASE("a peer that is removed during its exchange frees its place")
{
    auto schedule = ExchangeSchedule();
    schedule.setPeers(at(0), namesOf(4));
    for (const auto &name : takeAllDue(schedule, at(500))) {
        schedule.finish(at(500), name, false);
    }
    const auto busy = takeAllDue(schedule, at(2000));
    CHECK(busy.size() == maximumSuspectExchanges);
    schedule.setPeers(at(2000), {});
    for (const auto &name : busy) {
        schedule.finish(at(2000), name, false);
    }
    schedule.setPeers(at(2000), namesOf(4));
    for (const auto &name : takeAllDue(schedule, at(3000))) {
        schedule.finish(at(3000), name, false);
    }
    CHECK(takeAllDue(schedule, at(4000)).size() == maximumSuspectExchanges);
}
