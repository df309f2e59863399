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

/** Takes all peers that are due. */
auto takeAllDue(ExchangeSchedule &schedule, absl::Time now) -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    while (auto name = schedule.next(now)) {
        names.push_back(*name);
    }
    return names;
}

}

// Guards against exchange traffic that grows with the square of the number of hosts.
TEST_CASE("above the limit, the interval grows with the number of peers")
{
    CHECK(exchangeIntervalFor(0) == exchangeInterval);
    CHECK(exchangeIntervalFor(32) == exchangeInterval);
    CHECK(exchangeIntervalFor(64) == 2 * exchangeInterval);
}

TEST_CASE("each peer is due once per interval")
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

// Guards against unresponsive peers that occupy every thread and so delay the exchanges with all others.
TEST_CASE("concurrent exchanges with failed peers are limited")
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

// Guards against a new revision that is announced only at the next regular exchange.
TEST_CASE("expedite makes idle peers due at once, and busy peers when their exchange succeeds")
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

TEST_CASE("expedite makes a bounded sample of many peers due")
{
    auto schedule = ExchangeSchedule();
    schedule.setPeers(at(0), namesOf(3000));
    const auto before = takeAllDue(schedule, at(0)).size();
    schedule.expedite(at(0), 7);
    CHECK(takeAllDue(schedule, at(0)).size() <= maximumPeersPerInterval);
    CHECK(before <= maximumPeersPerInterval);
}

// Guards against a removed peer that stays counted among the concurrent exchanges with failed peers.
TEST_CASE("a failed peer that is removed during its exchange is no longer counted when the exchange ends")
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
