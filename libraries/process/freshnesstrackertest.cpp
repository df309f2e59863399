#include "process/freshnesstracker.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

const auto freshness = absl::Seconds(4);
const auto zones = std::vector<std::string> { "a", "b", "c", "d" };

struct StateCase
{
    std::string description_;
    absl::Duration age_;
    std::vector<std::string> storeZones_;
    std::vector<StoreReport> reports_;
    FreshnessState expected_;
};

auto down(const std::string &zone, absl::Duration age = absl::Seconds(1)) -> StoreReport
{
    return StoreReport { zone, false, age };
}

auto up(const std::string &zone, absl::Duration age = absl::Seconds(1)) -> StoreReport
{
    return StoreReport { zone, true, age };
}

auto hostState(const std::string &name, const std::string &zone, std::int64_t ageMicros, bool reachable) -> peer::HostState
{
    auto state = peer::HostState {};
    state.name = name;
    state.zone = zone;
    state.knowledgeAgeMicros = ageMicros;
    state.storeReachable = reachable;
    return state;
}

auto at(double seconds) -> absl::Time
{
    return absl::UnixEpoch() + absl::Seconds(seconds);
}

}

// Guards against an isolated host that goes on accepting withdrawn keys, and against refusing all keyed requests while only the store is down.
TEST_CASE("determineFreshness distinguishes a store outage from isolation")
{
    const auto stale = absl::Seconds(5);
    const auto cases = std::vector<StateCase> {
        { "state within the freshness bound", absl::Seconds(4), { "a" }, {}, FreshnessState::Fresh },
        { "no state known", absl::InfiniteDuration(), { "a" }, {}, FreshnessState::Isolated },
        { "report from one zone only", stale, { "a" }, { down("a") }, FreshnessState::Isolated },
        { "reports from half of the zones", stale, { "a" }, { down("a"), down("b") }, FreshnessState::Isolated },
        { "reports from most zones", stale, { "a" }, { down("a"), down("b"), down("c") }, FreshnessState::StoreDown },
        { "no report from the store zone", stale, { "a" }, { down("b"), down("c"), down("d") }, FreshnessState::Isolated },
        { "no report from one of two store zones", stale, { "a", "d" }, { down("a"), down("b"), down("c") }, FreshnessState::Isolated },
        { "stale report from the store zone", stale, { "a" }, { down("a", stale), down("b"), down("c"), down("d") }, FreshnessState::Isolated },
        { "a host reaches the store", stale, { "a" }, { down("a"), down("b"), up("c") }, FreshnessState::Isolated },
        { "a stale report says that the store is reachable", stale, { "a" }, { down("a"), down("b"), down("c"), up("d", stale) }, FreshnessState::StoreDown },
        { "no store zones declared", stale, {}, { down("a"), down("b"), down("c"), down("d") }, FreshnessState::Isolated },
        { "several reports from one zone", stale, { "a" }, { down("a"), down("a"), down("a"), down("b") }, FreshnessState::Isolated },
    };
    for (const auto &stateCase : cases) {
        CAPTURE(stateCase.description_);
        const auto inputs = FreshnessInputs { stateCase.age_, freshness, stateCase.storeZones_, zones, stateCase.reports_ };
        CHECK(freshnessStateName(determineFreshness(inputs)) == std::string(freshnessStateName(stateCase.expected_)));
    }
}

// Guards against a state that looks newer than it is: its age counts from when the request was sent, and the age that a peer reports is added.
TEST_CASE("the age of the store state counts from when the request was sent")
{
    auto tracker = FreshnessTracker();
    CHECK(tracker.ageAt(at(1)) == absl::InfiniteDuration());
    tracker.recordStoreResponse(at(10));
    CHECK(tracker.ageAt(at(12)) == absl::Seconds(2));
    tracker.recordPeerResponse(at(12), hostState("p", "a", 3000000, true));
    CHECK(tracker.ageAt(at(12)) == absl::Seconds(2));
    tracker.recordPeerResponse(at(13), hostState("p", "a", 1000000, true));
    CHECK(tracker.ageAt(at(13)) == absl::Seconds(1));
    tracker.recordPeerResponse(at(14), hostState("p", "a", -1, true));
    CHECK(tracker.ageAt(at(14)) == absl::Seconds(2));
    CHECK(tracker.storeReachable(at(14), absl::Seconds(4)));
    CHECK_FALSE(tracker.storeReachable(at(14.5), absl::Seconds(4)));
}

TEST_CASE("a host's own store report counts for its zone")
{
    auto configuration = Configuration {};
    configuration.platform_.storeZones_ = { "a" };
    configuration.entryHosts_ = { { "h1", "a", "", "" }, { "h2", "b", "", "" }, { "h3", "c", "", "" } };
    auto tracker = FreshnessTracker("a");
    tracker.recordStoreResponse(at(10));
    CHECK(tracker.stateAt(at(14), configuration) == FreshnessState::Fresh);
    CHECK(tracker.stateAt(at(15), configuration) == FreshnessState::Isolated);
    tracker.recordPeerResponse(at(14.5), hostState("h2", "b", 4500000, false));
    CHECK(tracker.stateAt(at(15), configuration) == FreshnessState::StoreDown);
}

// Guards against a withdrawal that is removed before the configuration contains it, and against one that is kept for ever.
TEST_CASE("withdrawals are held until the configuration contains them")
{
    auto withdrawal = peer::Withdrawal {};
    withdrawal.keyId = "key-1";
    withdrawal.digest = "d1";
    auto tracker = FreshnessTracker();
    CHECK(tracker.addWithdrawals({ withdrawal }));
    CHECK_FALSE(tracker.addWithdrawals({ withdrawal }));
    auto configuration = Configuration {};
    configuration.keys_ = { Key { "key-1", "org", "d1", true } };
    tracker.removeAppliedWithdrawals(configuration);
    CHECK(tracker.isWithdrawn("d1"));
    CHECK(tracker.withdrawals() == std::vector<peer::Withdrawal> { withdrawal });
    configuration.keys_[0].active_ = false;
    tracker.removeAppliedWithdrawals(configuration);
    CHECK_FALSE(tracker.isWithdrawn("d1"));
}

// Guards against a withdrawal that peers with older revisions add again each time it has been removed.
TEST_CASE("withdrawals that the configuration contains are not pending")
{
    auto withdrawal = peer::Withdrawal {};
    withdrawal.digest = "d1";
    auto configuration = Configuration {};
    CHECK(pendingWithdrawals({ withdrawal }, configuration).size() == 1);
    configuration.revision_ = 3;
    CHECK(pendingWithdrawals({ withdrawal }, configuration).empty());
    configuration.keys_ = { Key { "key-1", "org", "d1", true } };
    CHECK(pendingWithdrawals({ withdrawal }, configuration).size() == 1);
    configuration.keys_[0].active_ = false;
    CHECK(pendingWithdrawals({ withdrawal }, configuration).empty());
}
