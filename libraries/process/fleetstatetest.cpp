#include "process/fleetstate.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

/** Decodes policies written as their version and backend servers written as "zone,ready|draining" or "zone,ready|draining,incarnation,sequence". */
auto decoders() -> RecordDecoders
{
    auto recordDecoders = RecordDecoders {};
    recordDecoders.policy_ = [](const std::string &value) -> Result<TrafficPolicy> {
        auto policy = TrafficPolicy {};
        if (!absl::SimpleAtoi(value, &policy.version_)) {
            return makeError("decode policy", "", "not a number");
        }
        auto service = PolicyService {};
        service.name_ = "s";
        service.coldStart_ = absl::Seconds(3);
        policy.services_ = { service };
        return policy;
    };
    recordDecoders.backend_ = [](const std::string &name, const std::string &value) -> Result<DiscoveredBackend> {
        const auto parts = std::vector<std::string>(absl::StrSplit(value, ','));
        if (parts.size() != 2 && parts.size() != 4) {
            return makeError("decode backend", name, "malformed");
        }
        auto backend = DiscoveredBackend {};
        backend.server_ = { name, parts[0], "127.0.0.1:1" };
        backend.service_ = "s";
        backend.isDraining_ = parts[1] == "draining";
        if (parts.size() == 4) {
            backend.incarnation_ = std::stoll(parts[2]);
            backend.sequence_ = std::stoll(parts[3]);
        }
        return backend;
    };
    return recordDecoders;
}

auto makeState() -> FleetState
{
    return { { { "zone-a", "east" }, { "zone-b", "west" } }, "zone-a", decoders() };
}

auto usableBackends(const FleetState &state, absl::Time now) -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    const auto view = state.view();
    const auto found = view->backends_.find("s");
    if (found != view->backends_.end()) {
        for (const auto &backend : found->second) {
            if (now < backend.usableUntil_) {
                names.push_back(backend.registration_.server_.name_);
            }
        }
    }
    return names;
}

auto backendRecord(const std::string &name, std::int64_t revision, const std::string &value) -> FleetRecord
{
    return { RecordKind::Backend, name, revision, value.empty(), value };
}

struct PolicyCase
{
    std::string value_;
    std::int64_t expectedVersion_;
};

}

// Guards against replacing the policy by an older version, and against losing it to a removed or undecodable record.
TEST_CASE("only a newer policy that can be decoded takes effect")
{
    const auto cases = std::vector<PolicyCase> { { "7", 7 }, { "5", 7 }, { "nonsense", 7 }, { "", 7 }, { "9", 9 } };
    auto state = makeState();
    auto revision = std::int64_t { 0 };
    for (const auto &policyCase : cases) {
        ++revision;
        state.applyFromStore(start, { revision, false, { { RecordKind::Policy, "policy", revision, policyCase.value_.empty(), policyCase.value_ } } });
        CAPTURE(policyCase.value_);
        REQUIRE(state.view()->policy_ != nullptr);
        CHECK(state.view()->policy_->policy().version_ == policyCase.expectedVersion_);
    }
}

// Guards against using an undecodable registration or one in an unknown zone, and against ignoring valid registrations because of it.
TEST_CASE("undecodable or unusable registrations provide no backend server")
{
    auto state = makeState();
    state.updateStoreContact(start - absl::Minutes(1), true);
    state.applyFromStore(start, { 3, false, { backendRecord("a", 1, "zone-a,ready"), backendRecord("b", 2, "?"), backendRecord("c", 3, "elsewhere,ready") } });
    CHECK(usableBackends(state, start) == std::vector<std::string> { "a" });
    state.applyFromStore(start, { 4, false, { backendRecord("d", 4, "zone-b,draining") } });
    CHECK(usableBackends(state, start) == std::vector<std::string> { "a" });
    state.applyFromStore(start, { 5, false, { backendRecord("a", 5, "zone-a,draining") } });
    CHECK(usableBackends(state, start).empty());
}

// Guards against dropping all servers at once because their registrations lapsed during a store outage, and against keeping a failed one.
TEST_CASE("a server whose registration lapsed in a store outage stays usable for a short time")
{
    auto state = makeState();
    state.updateStoreContact(start - absl::Minutes(1), true);
    state.applyFromStore(start - absl::Minutes(1), { 2, false, { backendRecord("a", 1, "zone-a,ready"), backendRecord("b", 2, "zone-b,ready") } });
    // Without a store outage, a removal takes effect at once.
    state.applyFromStore(start, { 3, false, { backendRecord("a", 3, "") } });
    CHECK(usableBackends(state, start) == std::vector<std::string> { "b" });
    state.updateStoreContact(start, false);
    state.updateStoreContact(start + absl::Seconds(5), true);
    state.applyFromStore(start + absl::Seconds(5), { 4, false, { backendRecord("b", 4, "") } });
    CHECK(usableBackends(state, start + absl::Seconds(5)) == std::vector<std::string> { "b" });
    CHECK(usableBackends(state, start + absl::Seconds(8)).empty());
    // Once it has registered again, it is usable without a time limit.
    state.applyFromStore(start + absl::Seconds(6), { 5, false, { backendRecord("b", 5, "zone-b,ready") } });
    CHECK(usableBackends(state, start + absl::Minutes(1)) == std::vector<std::string> { "b" });
}

namespace
{

struct RemovalCase
{
    std::string title_;
    bool isLapsed_;
    /** Whether the host that receives the removal reaches the store itself. */
    bool reachesStore_;
    bool isKept_;
};

}

// A host whose calls the store refuses receives removals from peers. Guards against requests from such a host to a deregistered server, and against
// dropping at once a server whose registration lapsed in a store outage.
TEST_CASE("without continuous contact to the store, a host adopts the lapse mark that a peer sends")
{
    const auto cases = std::vector<RemovalCase> {
        { "deregistered, and this host does not reach the store", false, false, false },
        { "deregistered, and this host reaches the store", false, true, false },
        { "lapsed, and this host does not reach the store", true, false, true },
        { "lapsed, and this host reaches the store", true, true, true },
    };
    for (const auto &removalCase : cases) {
        CAPTURE(removalCase.title_);
        auto state = makeState();
        state.updateStoreContact(start - absl::Minutes(1), true);
        state.applyFromStore(start - absl::Minutes(1), { 1, false, { backendRecord("a", 1, "zone-a,ready") } });
        state.updateStoreContact(start - absl::Seconds(5), removalCase.reachesStore_);
        auto removal = backendRecord("a", 2, "");
        removal.isLapsed_ = removalCase.isLapsed_;
        state.applyFromPeer(start, { 2, false, { removal } }, "127.0.0.1:1");
        CHECK(usableBackends(state, start) == (removalCase.isKept_ ? std::vector<std::string> { "a" } : std::vector<std::string> {}));
        CHECK(usableBackends(state, start + absl::Seconds(2)).empty());
    }
}

// Guards against keeping a deregistered server, on this host and on all peers that receive the removal from it, because this host has just started.
TEST_CASE("the first response of the store counts as a recovery only after a failed call")
{
    for (const auto hasFailed : { false, true }) {
        CAPTURE(hasFailed);
        auto state = makeState();
        if (hasFailed) {
            state.updateStoreContact(start - absl::Seconds(2), false);
        }
        state.applyFromStore(start - absl::Seconds(1), { 1, true, { backendRecord("a", 1, "zone-a,ready") } });
        state.updateStoreContact(start - absl::Seconds(1), true);
        state.applyFromStore(start, { 2, false, { backendRecord("a", 2, "") } });
        CHECK(usableBackends(state, start).size() == (hasFailed ? 1 : 0));
    }
}

// Guards against a violation of the DRAIN requirement: a deregistered server is kept for 2 s, on this host and on all peers that receive the removal from
// it, because a new process treats the time before its first response from the store as an outage.
TEST_CASE("the first read of a new process marks removals as lapses only after a failed call")
{
    for (const auto hasFailed : { false, true }) {
        CAPTURE(hasFailed);
        auto state = makeState();
        if (hasFailed) {
            state.updateStoreContact(start - absl::Seconds(2), false);
        }
        state.applyFromPeer(start - absl::Seconds(1), { 1, true, { backendRecord("a", 1, "zone-a,ready") } }, "127.0.0.1:1");
        state.applyFromStore(start, { 2, true, {} });
        state.updateStoreContact(start, true);
        CHECK(usableBackends(state, start).size() == (hasFailed ? 1 : 0));
        REQUIRE(state.changesAfter({ 0, 1 }).records_.size() == 1);
        CHECK(state.changesAfter({ 0, 1 }).records_.front().isLapsed_ == hasFailed);
    }
}

namespace
{

struct ContactCase
{
    std::string title_;
    /** Store calls of this host: seconds before the removal arrives, and whether the call succeeded. */
    std::vector<std::pair<double, bool>> storeCalls_;
    bool isKept_;
};

}

// Guards against a violation of the DRAIN requirement: one host alone loses its connection to the store, and a server is deregistered just after the
// connection is back. The host takes this for a lapsed registration, and all hosts keep the server.
TEST_CASE("with continuous contact to the store, a host ignores the lapse mark that a peer sends")
{
    const auto cases = std::vector<ContactCase> {
        { "continuous contact", { { 6, true }, { 4, true }, { 2, true }, { 0.5, true } }, false },
        { "a failed call shortly before", { { 6, true }, { 4, true }, { 2, false }, { 1, true } }, true },
        { "the last call failed", { { 6, true }, { 4, true }, { 2, false } }, true },
        { "a failed call long before", { { 9, false }, { 8, true }, { 6, true }, { 4, true }, { 2, true }, { 0.5, true } }, false },
        { "a long time without calls, as after the process was suspended", { { 60, true }, { 1, true } }, true },
        { "the last answer is too old", { { 9, true }, { 7, true }, { 5, true } }, true },
        { "started recently", { { 2, true }, { 0.5, true } }, true },
        { "no call yet", {}, true },
    };
    for (const auto &contactCase : cases) {
        CAPTURE(contactCase.title_);
        auto state = makeState();
        state.applyFromPeer(start - absl::Minutes(1), { 1, true, { backendRecord("a", 1, "zone-a,ready") } }, "127.0.0.1:1");
        for (const auto &[secondsBefore, hasSucceeded] : contactCase.storeCalls_) {
            state.updateStoreContact(start - absl::Seconds(secondsBefore), hasSucceeded);
        }
        auto removal = backendRecord("a", 2, "");
        removal.isLapsed_ = true;
        state.applyFromPeer(start, { 2, false, { removal }, false, 1 }, "127.0.0.1:1");
        CHECK(usableBackends(state, start).size() == (contactCase.isKept_ ? 1 : 0));
        REQUIRE(state.changesAfter({ 0, 1 }).records_.size() == 1);
        CHECK(state.changesAfter({ 0, 1 }).records_.front().isLapsed_ == contactCase.isKept_);
    }
}

// Guards against peers that mistake a lapse for a deregistration.
TEST_CASE("a lapse received from the store is sent to peers as a lapse")
{
    for (const auto isReachable : { false, true }) {
        CAPTURE(isReachable);
        auto state = makeState();
        state.updateStoreContact(start - absl::Minutes(1), true);
        state.applyFromStore(start - absl::Minutes(1), { 1, false, { backendRecord("a", 1, "zone-a,ready") } });
        state.updateStoreContact(start - absl::Seconds(5), isReachable);
        state.applyFromStore(start, { 2, false, { backendRecord("a", 2, "") } });
        const auto changes = state.changesAfter({ 0, 1 }).records_;
        REQUIRE(changes.size() == 1);
        CHECK(changes.front().isLapsed_ == !isReachable);
    }
}

// Guards against full load on caches that went cold while their zone was evacuated.
TEST_CASE("the servers of a zone count as cold when its evacuation ends")
{
    auto state = makeState();
    state.applyFromStore(start, { 2, false, { { RecordKind::Policy, "policy", 1, false, "1" }, backendRecord("a", 2, "zone-a,ready") } });
    state.applyFromStore(start, { 3, false, { { RecordKind::Evacuation, "zone-a", 3, false, "{}" } } });
    CHECK(state.view()->evacuatedZones_.contains("zone-a"));
    state.applyFromStore(start + absl::Seconds(9), { 4, false, { { RecordKind::Evacuation, "zone-a", 4, true, "" } } });
    CHECK(state.view()->evacuatedZones_.empty());
    CHECK(state.view()->backends_.at("s").front().coldUntil_ == start + absl::Seconds(12));
}

namespace
{

auto inEra(std::int64_t era, RecordBatch batch) -> RecordBatch
{
    batch.era_ = era;
    return batch;
}

/** What a restored store holds as the policy, when version 7 is in force. */
struct RestoredPolicyCase
{
    std::string title_;
    std::vector<FleetRecord> records_;
    std::int64_t expectedVersion_;
};

}

// Guards against a violation of the CONFIG requirement: a confirmed policy gives way to the older one of the copy, here or on a host that starts later and
// fetches its first records from this one.
TEST_CASE("an older policy of a restored store is not used, and peers are given the newest one")
{
    const auto cases = std::vector<RestoredPolicyCase> {
        { "older", { { RecordKind::Policy, "policy", 2, false, "5" } }, 7 },
        { "the same", { { RecordKind::Policy, "policy", 2, false, "7" } }, 7 },
        { "missing", {}, 7 },
        { "undecodable", { { RecordKind::Policy, "policy", 2, false, "nonsense" } }, 7 },
        { "newer", { { RecordKind::Policy, "policy", 2, false, "8" } }, 8 },
    };
    for (const auto &policyCase : cases) {
        CAPTURE(policyCase.title_);
        auto state = makeState();
        state.applyFromStore(start, inEra(1, { 6, true, { { RecordKind::Policy, "policy", 6, false, "7" } } }));
        state.applyFromStore(start, inEra(2, { 3, true, policyCase.records_ }));
        CHECK(state.asOf() == StorePosition { 2, 3 });
        CHECK(state.view()->policy_->policy().version_ == policyCase.expectedVersion_);
        auto started = makeState();
        started.applyFromPeer(start, state.changesAfter({}), "127.0.0.1:1");
        REQUIRE(started.view()->policy_ != nullptr);
        CHECK(started.view()->policy_->policy().version_ == policyCase.expectedVersion_);
        // What the operator writes again comes into force on both.
        const auto rewritten = inEra(2, { 4, false, { { RecordKind::Policy, "policy", 4, false, "9" } } });
        state.applyFromStore(start, rewritten);
        started.applyFromStore(start, rewritten);
        CHECK(state.view()->policy_->policy().version_ == 9);
        CHECK(started.view()->policy_->policy().version_ == 9);
    }
}

// Guards against requests to an evacuated zone because the copy was made before the evacuation, and against a zone that stays evacuated for good.
TEST_CASE("an evacuation that a restored store lacks is kept until it is written again, for a limited time")
{
    for (const auto isWrittenAgain : { false, true }) {
        CAPTURE(isWrittenAgain);
        auto state = makeState();
        state.applyFromStore(start, inEra(1, { 6, true, { { RecordKind::Evacuation, "zone-a", 6, false, "{}" } } }));
        state.applyFromStore(start, inEra(2, { 3, true, {} }));
        state.updateStoreContact(start + absl::Seconds(3), true);
        CHECK(state.view()->evacuatedZones_.contains("zone-a"));
        if (isWrittenAgain) {
            state.applyFromStore(start + absl::Seconds(4), inEra(2, { 4, false, { { RecordKind::Evacuation, "zone-a", 4, false, "{}" } } }));
        }
        state.updateStoreContact(start + absl::Seconds(12), true);
        CHECK(state.view()->evacuatedZones_.contains("zone-a") == isWrittenAgain);
        state.applyFromStore(start + absl::Seconds(13), inEra(2, { 5, false, { { RecordKind::Evacuation, "zone-a", 5, true, "" } } }));
        CHECK(state.view()->evacuatedZones_.empty());
    }
}

// Guards against requests to an evacuated zone because the store was restored a second time before the evacuation was written again.
TEST_CASE("a second restoration renews the time for which a missing evacuation is kept")
{
    auto state = makeState();
    state.applyFromStore(start, inEra(1, { 6, true, { { RecordKind::Evacuation, "zone-a", 6, false, "{}" } } }));
    state.applyFromStore(start + absl::Seconds(1), inEra(2, { 4, true, {} }));
    state.applyFromStore(start + absl::Seconds(8), inEra(3, { 4, true, {} }));
    state.applyFromStore(start + absl::Seconds(13), inEra(3, { 5, false, {} }));
    CHECK(state.view()->evacuatedZones_.contains("zone-a"));
    state.applyFromStore(start + absl::Seconds(20), inEra(3, { 6, false, {} }));
    CHECK(state.view()->evacuatedZones_.empty());
}

namespace
{

/** What this host knows of a backend server when the store is restored, and whether the server is used then. */
struct RestoredBackendCase
{
    std::string title_;
    /** Values of the registration in the era before; empty means removed. */
    std::vector<std::string> known_;
    std::string restored_;
    bool isUsed_;
};

}

// Guards against a violation of the DRAIN requirement: the copy that the store was restored from holds a server that had announced its shutdown or had
// deregistered meanwhile, and hosts send requests to it again.
TEST_CASE("an older registration of a restored store does not bring a server back")
{
    const auto cases = std::vector<RestoredBackendCase> {
        { "draining before", { "zone-a,ready,1,5", "zone-a,draining,1,6" }, "zone-a,ready,1,5", false },
        { "removed before", { "zone-a,ready,1,5", "" }, "zone-a,ready,1,5", false },
        { "draining, then removed", { "zone-a,ready,1,5", "zone-a,draining,1,6", "" }, "zone-a,ready,1,5", false },
        { "an earlier start", { "zone-a,ready,2,1", "zone-a,draining,2,2" }, "zone-a,ready,1,9", false },
        { "registered again", { "zone-a,ready,1,5", "" }, "zone-a,ready,1,7", true },
        { "started again", { "zone-a,ready,1,5", "zone-a,draining,1,6", "" }, "zone-a,ready,2,1", true },
        { "in use before", { "zone-a,ready,1,5", "zone-a,ready,1,8" }, "zone-a,ready,1,5", true },
        { "lapsed before, written again as it was", { "zone-a,ready,1,5" }, "zone-a,ready,1,5", true },
        { "unknown before", {}, "zone-a,ready,1,5", true },
    };
    for (const auto &backendCase : cases) {
        CAPTURE(backendCase.title_);
        auto state = makeState();
        state.updateStoreContact(start - absl::Minutes(1), true);
        state.applyFromStore(start, inEra(1, { 1, true, {} }));
        auto revision = std::int64_t { 1 };
        for (const auto &value : backendCase.known_) {
            ++revision;
            state.applyFromStore(start, inEra(1, { revision, false, { backendRecord("a", revision, value) } }));
        }
        state.applyFromStore(start, inEra(2, { 1, true, { backendRecord("a", 1, backendCase.restored_) } }));
        CHECK(usableBackends(state, start + absl::Seconds(3)).size() == (backendCase.isUsed_ ? 1 : 0));
        // A server that is still registered after the hold has renewed its registration.
        state.updateStoreContact(start + absl::Seconds(11), true);
        CHECK(usableBackends(state, start + absl::Seconds(11)).size() == 1);
    }
}
