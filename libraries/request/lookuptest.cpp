#include "request/lookup.h"

#include "version/limitownership.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <set>

using namespace lycheecleat;

namespace
{

auto makeConfiguration() -> Configuration
{
    auto configuration = Configuration {};
    configuration.revision_ = 1;
    configuration.regions_ = { Region { "north", { "n1", "n2" } }, Region { "south", { "s1" } } };
    for (const auto *name : { "a", "b", "c", "d" }) {
        configuration.entryHosts_.push_back(EntryHost { name, "n1", "127.0.0.1:80", "127.0.0.1:81" });
    }
    configuration.entryHosts_.push_back(EntryHost { "e", "n2", "127.0.0.1:80", "127.0.0.1:81" });
    configuration.entryHosts_.push_back(EntryHost { "s", "s1", "127.0.0.1:80", "127.0.0.1:81" });
    configuration.organisations_ = { Organisation { "small", 1, 1, 1 } };
    configuration.clientBlocks_ = { ClientBlocks { "blocks-north", "north", { "10.0.0.0/8", "2001:db8::/32" } },
                                    ClientBlocks { "blocks-south", "south", { "10.1.0.0/16" } } };
    return configuration;
}

auto tableOf(const Configuration &configuration) -> LookupTable
{
    return buildLookupTable(std::make_shared<const Configuration>(configuration));
}

auto allAvailable() -> AvailableHosts
{
    return { { "a", "run-a" }, { "b", "run-b" }, { "c", "run-c" }, { "d", "run-d" }, { "e", "run-e" }, { "s", "run-s" } };
}

auto namesOf(const LookupDecision &decision) -> std::set<std::string>
{
    auto names = std::set<std::string> {};
    for (const auto &host : decision.hosts_) {
        names.insert(host.name_);
    }
    return names;
}

struct ClientCase
{
    std::string client_;
    std::string region_;
};

}

// Guards against assigning a client to the region of a shorter block that also contains its address, or to any region if no block contains it.
TEST_CASE("a client belongs to the region of its longest block")
{
    const auto table = tableOf(makeConfiguration());
    const auto cases = std::vector<ClientCase> {
        { "10.2.3.4", "north" }, { "10.1.2.3", "south" }, { "2001:db8::1", "north" }, { "192.0.2.1", "none" }, { "nonsense", "error" },
    };
    for (const auto &clientCase : cases) {
        CAPTURE(clientCase.client_);
        const auto outcome = attempt([&] {
            return regionOfClient(table, clientCase.client_);
        });
        const auto *region = std::get_if<std::optional<std::string>>(&outcome);
        CHECK((region == nullptr ? "error" : region->value_or("none")) == clientCase.region_);
    }
}

// Guards against responses that name drained, dead or leaving hosts, and against an empty response while another region has available hosts.
TEST_CASE("a lookup gives the available hosts of the region, else those of other regions")
{
    auto configuration = makeConfiguration();
    configuration.drains_ = { Drain { "drain-a", DrainTarget::EntryHost, "a" }, Drain { "drain-n2", DrainTarget::Zone, "n2" } };
    const auto table = tableOf(configuration);
    auto available = allAvailable();
    available.erase("b");
    const auto query = LookupQuery { "north", "", 1 };
    const auto region = decideLookup(table, available, query);
    CHECK(region.reason_ == LookupReason::Region);
    CHECK(namesOf(region) == std::set<std::string> { "c", "d" });
    CHECK(region.run_ == "run-" + region.hosts_.front().name_);
    const auto other = decideLookup(table, { { "s", "run-s" } }, query);
    CHECK(other.reason_ == LookupReason::OtherRegion);
    CHECK(namesOf(other) == std::set<std::string> { "s" });
    CHECK(other.run_ == "run-s");
    CHECK(decideLookup(table, {}, query).reason_ == LookupReason::None);
}

// Guards against sending an organisation's callers to hosts that own no share of its rate.
TEST_CASE("a known organisation gets the hosts that own its shares")
{
    const auto configuration = makeConfiguration();
    const auto table = tableOf(configuration);
    auto expected = std::set<std::string> {};
    for (const auto &host : organisationHosts(configuration, "small", "north")) {
        expected.insert(host.name_);
    }
    REQUIRE_FALSE(expected.empty());
    const auto decision = decideLookup(table, allAvailable(), LookupQuery { "north", "small", 1 });
    CHECK(decision.reason_ == LookupReason::Organisation);
    CHECK(namesOf(decision) == expected);
    auto withoutOwners = allAvailable();
    for (const auto &name : expected) {
        withoutOwners.erase(name);
    }
    CHECK(decideLookup(table, withoutOwners, LookupQuery { "north", "small", 1 }).reason_ != LookupReason::Organisation);
    CHECK(decideLookup(table, allAvailable(), LookupQuery { "north", "stranger", 1 }).reason_ == LookupReason::Region);
}

// Guards against run tokens that all name the same host.
TEST_CASE("the first host varies with the seed")
{
    const auto table = tableOf(makeConfiguration());
    auto firstHosts = std::set<std::string> {};
    for (auto seed = std::uint64_t { 0 }; seed < 200; ++seed) {
        firstHosts.insert(decideLookup(table, allAvailable(), LookupQuery { "north", "", seed }).hosts_.front().name_);
    }
    CHECK(firstHosts.size() == 5);
}

// Guards against responses that grow with the number of hosts in a region.
TEST_CASE("the number of hosts in a response is bounded")
{
    auto configuration = makeConfiguration();
    auto available = allAvailable();
    for (auto index = 0; index < 50; ++index) {
        const auto name = "more-" + std::to_string(index);
        configuration.entryHosts_.push_back(EntryHost { name, "s1", "127.0.0.1:80", "127.0.0.1:81" });
        available[name] = "run";
    }
    CHECK(decideLookup(tableOf(configuration), available, LookupQuery { "south", "", 1 }).hosts_.size() == maximumLookupHosts);
}
