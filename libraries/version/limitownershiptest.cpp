#include "version/limitownership.h"

#include <doctest/doctest.h>

#include <cmath>
#include <map>

using namespace lycheecleat;

namespace
{

/** Three regions of two zones; hosts are assigned to the zones round-robin. */
auto makeConfiguration(int hostCount) -> Configuration
{
    auto configuration = Configuration {};
    auto zones = std::vector<std::string> {};
    for (const auto *region : { "gisenyi", "kibuye", "cyangugu" }) {
        const auto name = std::string(region);
        configuration.regions_.push_back({ name, { name + "-a", name + "-b" } });
        zones.push_back(name + "-a");
        zones.push_back(name + "-b");
    }
    for (auto index = 0; index < hostCount; ++index) {
        const auto zone = zones[static_cast<std::size_t>(index) % zones.size()];
        configuration.entryHosts_.push_back({ "host-" + std::to_string(index), zone, "127.0.0.1:1", "127.0.0.1:2" });
    }
    return configuration;
}

struct SplitCase
{
    std::size_t ownerCount_;
    RateShare limit_;
    std::size_t expectedActiveOwners_;
};

}

// Guards against shares that don't add up to the limit, and against shares that can never admit a request.
TEST_CASE("splitLimit returns shares of whole bursts that add up to the limit")
{
    const auto cases = std::vector<SplitCase> {
        { 18, { 200, 40 }, 10 },    { 18, { 200, 4 }, 1 }, { 18, { 0.1, 1 }, 1 },  { 6, { 33.3, 20.7 }, 5 },
        { 7, { 1.0 / 3, 3.3 }, 1 }, { 1, { 5, 2.5 }, 1 },  { 3, { 100, 1.9 }, 1 }, { 300, { 12345.678, 1000 }, 250 },
    };
    for (const auto &splitCase : cases) {
        CAPTURE(splitCase.limit_.rate_);
        CAPTURE(splitCase.limit_.burst_);
        auto owners = std::vector<std::string> {};
        for (auto index = std::size_t { 0 }; index < splitCase.ownerCount_; ++index) {
            owners.push_back("host-" + std::to_string(index));
        }
        const auto shares = splitLimit(owners, splitCase.limit_);
        REQUIRE(shares.size() == splitCase.ownerCount_);
        auto rate = 0.0;
        auto burst = 0.0;
        auto activeOwners = std::size_t { 0 };
        for (const auto &share : shares) {
            rate += share.share_.rate_;
            burst += share.share_.burst_;
            activeOwners += share.share_.burst_ > 0 ? 1 : 0;
            CHECK((share.share_.burst_ == 0 || share.share_.burst_ >= 1));
            CHECK(share.share_.rate_ >= 0);
        }
        CHECK(rate == splitCase.limit_.rate_);
        CHECK(burst == doctest::Approx(splitCase.limit_.burst_).epsilon(1e-12));
        CHECK(activeOwners == splitCase.expectedActiveOwners_);
    }
}

// Guards against a subset within a single zone, and against a subset that changes when an unrelated host is added.
TEST_CASE("organisationHosts returns a stable subset over both zones")
{
    auto configuration = makeConfiguration(18);
    configuration.organisations_.push_back({ "small", 30, 10, 1 });
    configuration.organisations_.push_back({ "large", 3000, 300, 4 });
    const auto hosts = organisationHosts(configuration, "small", "kibuye");
    REQUIRE(hosts.size() == 2);
    CHECK(hosts[0].zone_ != hosts[1].zone_);
    CHECK(organisationHosts(configuration, "large", "kibuye").size() == 6);
    CHECK(organisationHosts(configuration, "absent", "kibuye").empty());
    CHECK(organisationHosts(configuration, "small", "absent").empty());
    auto drained = configuration;
    drained.drains_.push_back({ "d", DrainTarget::EntryHost, hosts[0].name_ });
    CHECK(organisationHosts(drained, "small", "kibuye") == hosts);
    CHECK(organisationShares(drained, configuration.organisations_[0]) == organisationShares(configuration, configuration.organisations_[0]));
    auto changedSubsets = 0;
    for (auto index = 0; index < 200; ++index) {
        auto before = makeConfiguration(18);
        before.organisations_.push_back({ "org-" + std::to_string(index), 30, 10, 1 });
        auto after = before;
        after.entryHosts_.push_back({ "extra", "kibuye-a", "", "" });
        const auto subsetBefore = organisationHosts(before, before.organisations_[0].name_, "kibuye");
        const auto subsetAfter = organisationHosts(after, before.organisations_[0].name_, "kibuye");
        changedSubsets += subsetBefore == subsetAfter ? 0 : 1;
    }
    // The new host is one of four in its zone, so it is expected in the subset of a quarter of the organisations; no other subset changes.
    CHECK(changedSubsets > 25);
    CHECK(changedSubsets < 80);
}

// Guards against slots that have no owner or two owners.
TEST_CASE("the slotsOwned of all hosts add up to each backend server's slots")
{
    for (const auto hostCount : { 1, 2, 5, 16, 18, 40 }) {
        CAPTURE(hostCount);
        auto configuration = makeConfiguration(hostCount);
        auto pool = Pool { "dive-log", 9, {}, absl::ZeroDuration() };
        for (auto index = 0; index < 20; ++index) {
            const auto &region = configuration.regions_[static_cast<std::size_t>(index) % 3];
            pool.backends_.push_back({ "b" + std::to_string(index), region.zones_[static_cast<std::size_t>(index / 3) % 2], "" });
        }
        auto total = std::map<std::string, int> {};
        for (const auto &host : configuration.entryHosts_) {
            for (const auto &owned : slotsOwned(configuration, pool, host.name_)) {
                total[owned.backend_.name_] += owned.slots_;
            }
        }
        for (const auto &backend : pool.backends_) {
            CHECK(total[backend.name_] == 9);
        }
    }
}

// Guards against slots whose owner is in another zone, which would be unavailable during a network partition.
TEST_CASE("slotOwners prefers the zone, then the region, then any host")
{
    auto configuration = makeConfiguration(18);
    const auto backend = BackendServer { "b", "kibuye-a", "" };
    const auto zoneOf = [&](const std::string &name) {
        return findByName(configuration.entryHosts_, name)->zone_;
    };
    for (const auto &owner : slotOwners(configuration, backend)) {
        CHECK(zoneOf(owner) == "kibuye-a");
    }
    auto &hosts = configuration.entryHosts_;
    std::erase_if(hosts, [](const EntryHost &host) {
        return host.zone_ == "kibuye-a";
    });
    for (const auto &owner : slotOwners(configuration, backend)) {
        CHECK(zoneOf(owner) == "kibuye-b");
    }
    std::erase_if(hosts, [](const EntryHost &host) {
        return host.zone_ == "kibuye-b";
    });
    CHECK(slotOwners(configuration, backend).size() == 12);
}

// Guards against exceeding the cap in a window of one second because of the burst.
TEST_CASE("shiftLimitOf admits no more than the cap in one second")
{
    for (const auto cap : { 10.0, 40.0, 5000.0 }) {
        const auto limit = shiftLimitOf({ "s", "p", "gisenyi", "kibuye", 1, cap, {}, {} });
        CHECK(limit.rate_ + limit.burst_ <= doctest::Approx(cap));
    }
}
