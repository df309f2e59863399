#include "connection/hoststatus.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto revision = std::int64_t { 7 };

auto peer(const std::string &name, const std::string &zone, std::int64_t peerRevision, absl::Duration age = absl::Milliseconds(100)) -> PeerStatus
{
    return { name, zone, peerRevision, age };
}

struct ConfirmationCase
{
    std::string name_;
    std::vector<HostStatus> statuses_;
    std::vector<std::string> expectedZones_;
};

}

// Guards against reporting a change as active before every zone has applied it, and against waiting for stopped hosts.
TEST_CASE("unconfirmedZones lists the zones that have not applied the revision")
{
    const auto cases = std::vector<ConfirmationCase> {
        { "no status received", {}, { "a", "b" } },
        { "all zones are confirmed", { { "h1", "a", 7, { peer("h2", "b", 8) } } }, {} },
        { "one host of a zone is behind", { { "h1", "a", 7, { peer("h2", "b", 7), peer("h3", "b", 6) } } }, { "b" } },
        { "a stopped host is ignored", { { "h1", "a", 7, { peer("h2", "b", 7), peer("h3", "b", 6, absl::Seconds(9)) } } }, {} },
        { "a zone without a live host", { { "h1", "a", 7, { peer("h2", "b", 7, absl::Seconds(9)) } } }, { "b" } },
        { "the daemon reports an old peer state as live", { { "h1", "a", 7, { { "h2", "b", 6, absl::Seconds(9), true } } } }, { "b" } },
        { "the daemon reports a recent peer state as stopped", { { "h1", "a", 7, { peer("h2", "b", 7), { "h3", "b", 6, absl::Seconds(1), false } } } }, {} },
        { "the newest report of a host is used", { { "h1", "a", 7, { peer("h2", "b", 6) } }, { "h2", "b", 7, { peer("h1", "a", 6) } } }, {} },
    };
    for (const auto &confirmationCase : cases) {
        CAPTURE(confirmationCase.name_);
        CHECK(unconfirmedZones({ "a", "b" }, confirmationCase.statuses_, revision) == confirmationCase.expectedZones_);
    }
}

// Guards against a change of the administration API that the parser does not follow, and against malformed responses being accepted.
TEST_CASE("valid administration responses are parsed and malformed ones are errors")
{
    const auto status = attempt([]() {
        return parseHostStatus(R"({"host":"h1","zone":"a","revision":7,"more":1,"peers":[{"name":"h2","zone":"b","revision":6,"age_ms":250}]})");
    });
    REQUIRE(std::holds_alternative<HostStatus>(status));
    CHECK(std::get<HostStatus>(status) == HostStatus { "h1", "a", 7, { peer("h2", "b", 6, absl::Milliseconds(250)) } });
    const auto withdrawal = attempt([]() {
        return parseWithdrawalStatus(R"({"key":"k","accepted":true,"in_configuration":false,"confirmed_zones":["a"],"zones":["a","b"]})");
    });
    REQUIRE(std::holds_alternative<WithdrawalStatus>(withdrawal));
    CHECK(std::get<WithdrawalStatus>(withdrawal) == WithdrawalStatus { true, { "a" }, { "a", "b" } });
    for (const auto &text : std::vector<std::string> { "", "[]", "{}", R"({"host":1,"zone":"a","revision":7,"peers":[]})" }) {
        CAPTURE(text);
        const auto malformed = attempt([&]() {
            return parseHostStatus(text);
        });
        CHECK(std::holds_alternative<Error>(malformed));
    }
}
