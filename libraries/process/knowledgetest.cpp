#include "process/knowledge.h"

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
    KnowledgeState expected_;
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

// Guards against a cut-off host that goes on accepting withdrawn keys, and against refusals of all keyed requests while only the store is down.
TEST_CASE("decideKnowledge tells a store outage from isolation")
{
    const auto stale = absl::Seconds(5);
    const auto cases = std::vector<StateCase> {
        { "recent", absl::Seconds(4), { "a" }, {}, KnowledgeState::Fresh },
        { "never known", absl::InfiniteDuration(), { "a" }, {}, KnowledgeState::Isolated },
        { "alone", stale, { "a" }, { down("a") }, KnowledgeState::Isolated },
        { "half of the zones", stale, { "a" }, { down("a"), down("b") }, KnowledgeState::Isolated },
        { "most zones", stale, { "a" }, { down("a"), down("b"), down("c") }, KnowledgeState::StoreDown },
        { "store zone not heard", stale, { "a" }, { down("b"), down("c"), down("d") }, KnowledgeState::Isolated },
        { "one of two store zones not heard", stale, { "a", "d" }, { down("a"), down("b"), down("c") }, KnowledgeState::Isolated },
        { "store zone heard too long ago", stale, { "a" }, { down("a", stale), down("b"), down("c"), down("d") }, KnowledgeState::Isolated },
        { "a host reaches the store", stale, { "a" }, { down("a"), down("b"), up("c") }, KnowledgeState::Isolated },
        { "a host reached the store before", stale, { "a" }, { down("a"), down("b"), down("c"), up("d", stale) }, KnowledgeState::StoreDown },
        { "no store zones declared", stale, {}, { down("a"), down("b"), down("c"), down("d") }, KnowledgeState::Isolated },
        { "several hosts of one zone", stale, { "a" }, { down("a"), down("a"), down("a"), down("b") }, KnowledgeState::Isolated },
    };
    for (const auto &stateCase : cases) {
        CAPTURE(stateCase.description_);
        const auto facts = KnowledgeFacts { stateCase.age_, freshness, stateCase.storeZones_, zones, stateCase.reports_ };
        CHECK(knowledgeStateName(decideKnowledge(facts)) == std::string(knowledgeStateName(stateCase.expected_)));
    }
}

// Guards against knowledge that looks newer than it is: the time counts from sending, and a peer's own age is added.
TEST_CASE("Knowledge ages from the time a request was sent")
{
    auto knowledge = Knowledge();
    CHECK(knowledge.ageAt(at(1)) == absl::InfiniteDuration());
    knowledge.storeAnswered(at(10));
    CHECK(knowledge.ageAt(at(12)) == absl::Seconds(2));
    knowledge.peerAnswered(at(12), hostState("p", "a", 3000000, true));
    CHECK(knowledge.ageAt(at(12)) == absl::Seconds(2));
    knowledge.peerAnswered(at(13), hostState("p", "a", 1000000, true));
    CHECK(knowledge.ageAt(at(13)) == absl::Seconds(1));
    knowledge.peerAnswered(at(14), hostState("p", "a", -1, true));
    CHECK(knowledge.ageAt(at(14)) == absl::Seconds(2));
    CHECK(knowledge.storeReachable(at(14), absl::Seconds(4)));
    CHECK_FALSE(knowledge.storeReachable(at(14.5), absl::Seconds(4)));
}

TEST_CASE("Knowledge counts its own zone")
{
    auto configuration = Configuration {};
    configuration.platform_.storeZones_ = { "a" };
    configuration.entryHosts_ = { { "h1", "a", "", "" }, { "h2", "b", "", "" }, { "h3", "c", "", "" } };
    auto knowledge = Knowledge("a");
    knowledge.storeAnswered(at(10));
    CHECK(knowledge.stateAt(at(14), configuration) == KnowledgeState::Fresh);
    CHECK(knowledge.stateAt(at(15), configuration) == KnowledgeState::Isolated);
    knowledge.peerAnswered(at(14.5), hostState("h2", "b", 4500000, false));
    CHECK(knowledge.stateAt(at(15), configuration) == KnowledgeState::StoreDown);
}

// Guards against a withdrawal that is forgotten before the configuration shows it, and against one that is kept for ever.
TEST_CASE("Knowledge keeps withdrawals until the configuration shows them")
{
    auto withdrawal = peer::Withdrawal {};
    withdrawal.keyId = "key-1";
    withdrawal.digest = "d1";
    auto knowledge = Knowledge();
    CHECK(knowledge.addWithdrawals({ withdrawal }));
    CHECK_FALSE(knowledge.addWithdrawals({ withdrawal }));
    auto configuration = Configuration {};
    configuration.keys_ = { Key { "key-1", "org", "d1", true } };
    knowledge.removeShownWithdrawals(configuration);
    CHECK(knowledge.isWithdrawn("d1"));
    CHECK(knowledge.withdrawals() == std::vector<peer::Withdrawal> { withdrawal });
    configuration.keys_[0].active_ = false;
    knowledge.removeShownWithdrawals(configuration);
    CHECK_FALSE(knowledge.isWithdrawn("d1"));
}

// Guards against a withdrawal that peers with older revisions bring back after it was forgotten, over and over.
TEST_CASE("withdrawals that the configuration shows are left out")
{
    auto withdrawal = peer::Withdrawal {};
    withdrawal.digest = "d1";
    auto configuration = Configuration {};
    CHECK(withdrawalsNotShown({ withdrawal }, configuration).size() == 1);
    configuration.revision_ = 3;
    CHECK(withdrawalsNotShown({ withdrawal }, configuration).empty());
    configuration.keys_ = { Key { "key-1", "org", "d1", true } };
    CHECK(withdrawalsNotShown({ withdrawal }, configuration).size() == 1);
    configuration.keys_[0].active_ = false;
    CHECK(withdrawalsNotShown({ withdrawal }, configuration).empty());
}
