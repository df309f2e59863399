#include "process/fleetstate.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

/** Decodes policies written as their version and backend servers written as "zone,ready|draining". */
auto decoders() -> RecordDecoders
{
    auto made = RecordDecoders {};
    made.policy_ = [](const std::string &value) -> Result<TrafficPolicy> {
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
    made.backend_ = [](const std::string &name, const std::string &value) -> Result<DiscoveredBackend> {
        const auto parts = std::vector<std::string>(absl::StrSplit(value, ','));
        if (parts.size() != 2) {
            return makeError("decode backend", name, "malformed");
        }
        auto backend = DiscoveredBackend {};
        backend.server_ = { name, parts[0], "127.0.0.1:1" };
        backend.service_ = "s";
        backend.isDraining_ = parts[1] == "draining";
        return backend;
    };
    return made;
}

auto makeState() -> FleetState
{
    return { { { "zone-a", "east" }, { "zone-b", "west" } }, "zone-a", decoders() };
}

auto usable(const FleetState &state, absl::Time now) -> std::vector<std::string>
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

// Guards against a policy that goes back to an older version, or is lost to an unreadable one.
TEST_CASE("only a newer policy that can be read comes in force")
{
    const auto cases = std::vector<PolicyCase> { { "7", 7 }, { "5", 7 }, { "nonsense", 7 }, { "", 7 }, { "9", 9 } };
    auto state = makeState();
    auto revision = std::int64_t { 0 };
    for (const auto &policyCase : cases) {
        ++revision;
        state.apply(start, { revision, false, { { RecordKind::Policy, "policy", revision, policyCase.value_.empty(), policyCase.value_ } } }, "test");
        CAPTURE(policyCase.value_);
        REQUIRE(state.view()->policy_ != nullptr);
        CHECK(state.view()->policy_->policy().version_ == policyCase.expectedVersion_);
    }
}

// Guards against a foreign or broken registration that is used, or that hides the sound ones.
TEST_CASE("registrations that cannot be read or used name no backend server")
{
    auto state = makeState();
    state.noteStore(start - absl::Minutes(1), true);
    state.apply(start, { 3, false, { backendRecord("a", 1, "zone-a,ready"), backendRecord("b", 2, "?"), backendRecord("c", 3, "elsewhere,ready") } }, "test");
    CHECK(usable(state, start) == std::vector<std::string> { "a" });
    state.apply(start, { 4, false, { backendRecord("d", 4, "zone-b,draining") } }, "test");
    CHECK(usable(state, start) == std::vector<std::string> { "a" });
    state.apply(start, { 5, false, { backendRecord("a", 5, "zone-a,draining") } }, "test");
    CHECK(usable(state, start).empty());
}

// Guards against dropping all servers at once because their registrations lapsed while the store was away, and against keeping a dead one.
TEST_CASE("a registration that lapsed in a store outage keeps its server for a short time")
{
    auto state = makeState();
    state.noteStore(start - absl::Minutes(1), true);
    state.apply(start - absl::Minutes(1), { 2, false, { backendRecord("a", 1, "zone-a,ready"), backendRecord("b", 2, "zone-b,ready") } }, "test");
    // With the store in order, a removal counts at once.
    state.apply(start, { 3, false, { backendRecord("a", 3, "") } }, "test");
    CHECK(usable(state, start) == std::vector<std::string> { "b" });
    state.noteStore(start, false);
    state.noteStore(start + absl::Seconds(5), true);
    state.apply(start + absl::Seconds(5), { 4, false, { backendRecord("b", 4, "") } }, "test");
    CHECK(usable(state, start + absl::Seconds(5)) == std::vector<std::string> { "b" });
    CHECK(usable(state, start + absl::Seconds(8)).empty());
    // It is back for good once it has registered again.
    state.apply(start + absl::Seconds(6), { 5, false, { backendRecord("b", 5, "zone-b,ready") } }, "test");
    CHECK(usable(state, start + absl::Minutes(1)) == std::vector<std::string> { "b" });
}

// Guards against full load on caches that went cold while their zone was evacuated.
TEST_CASE("the servers of a zone count as cold when its evacuation ends")
{
    auto state = makeState();
    state.apply(start, { 2, false, { { RecordKind::Policy, "policy", 1, false, "1" }, backendRecord("a", 2, "zone-a,ready") } }, "test");
    state.apply(start, { 3, false, { { RecordKind::Evacuation, "zone-a", 3, false, "{}" } } }, "test");
    CHECK(state.view()->evacuatedZones_.contains("zone-a"));
    state.apply(start + absl::Seconds(9), { 4, false, { { RecordKind::Evacuation, "zone-a", 4, true, "" } } }, "test");
    CHECK(state.view()->evacuatedZones_.empty());
    CHECK(state.view()->backends_.at("s").front().coldUntil_ == start + absl::Seconds(12));
}
