#include "request/quotapartition.h"

#include "core/digest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto zonesPerRegion = 3;

auto makeHosts(int count, int zones) -> ShareHosts
{
    auto hosts = ShareHosts {};
    for (auto index = 0; index < count; ++index) {
        const auto zone = index % zones;
        const auto name = "host" + std::to_string(index);
        hosts.push_back({ stableHash(name) & 0xffffffffU, "zone" + std::to_string(zone), "region" + std::to_string(zone / zonesPerRegion), name, true });
    }
    return hosts;
}

auto sumOf(const std::vector<QuotaHolder> &holders) -> std::int64_t
{
    auto sum = std::int64_t { 0 };
    for (const auto &holder : holders) {
        sum += holder.limit_;
    }
    return sum;
}

struct PartitionCase
{
    int hosts_;
    int zones_;
    std::int64_t quota_;
};

const auto partitionCases = std::vector<PartitionCase> {
    { 1, 1, 60 },   { 2, 1, 60 },    { 7, 3, 5 },    { 18, 6, 60 },    { 95, 9, 0 },          { 95, 9, 60 },
    { 95, 9, 900 }, { 115, 6, 402 }, { 300, 9, 60 }, { 3100, 30, 60 }, { 3100, 30, 100'000 },
};

}

// Guards against parts that add up to more than the quota, or leave some of it unused, and against hosts that compute different parts.
TEST_CASE("the parts of all holders add up to the quota whatever the order of the hosts")
{
    for (const auto &partitionCase : partitionCases) {
        CAPTURE(partitionCase.hosts_);
        CAPTURE(partitionCase.quota_);
        auto hosts = makeHosts(partitionCase.hosts_, partitionCase.zones_);
        const auto organisation = stableHash("organisation");
        const auto holders = partitionQuota(partitionCase.quota_, hosts, organisation);
        CHECK(sumOf(holders) == partitionCase.quota_);
        auto sumOfParts = std::int64_t { 0 };
        std::reverse(hosts.begin(), hosts.end());
        const auto computedElsewhere = partitionQuota(partitionCase.quota_, hosts, organisation);
        for (const auto &host : hosts) {
            CHECK(partOf(holders, host.hash_) == partOf(computedElsewhere, host.hash_));
            sumOfParts += partOf(holders, host.hash_);
        }
        CHECK(sumOfParts == partitionCase.quota_);
    }
}

// Guards against parts too small to admit uneven demand: with one request in ten seconds for each host, a third of the requests within the limit was refused.
TEST_CASE("a small quota is held by one host of each zone")
{
    for (const auto hostCount : { 18, 95, 300, 3100 }) {
        CAPTURE(hostCount);
        const auto zones = hostCount < 100 ? 6 : 30;
        const auto holders = partitionQuota(60, makeHosts(hostCount, zones), stableHash("small"));
        CHECK(holders.size() == static_cast<std::size_t>(zones));
        auto zoneNames = std::set<std::string> {};
        for (const auto &holder : holders) {
            zoneNames.insert(holder.host_.zone_);
            CHECK(holder.limit_ >= 60 / zones);
        }
        CHECK(zoneNames.size() == static_cast<std::size_t>(zones));
    }
}

// Guards against messages for each request of a large organisation, although each host could hold a part of its quota.
TEST_CASE("a large quota is held by all hosts")
{
    for (const auto hostCount : { 18, 95, 3100 }) {
        CAPTURE(hostCount);
        const auto quota = static_cast<std::int64_t>(hostCount) * 50;
        CHECK(partitionQuota(quota, makeHosts(hostCount, 6), stableHash("large")).size() == static_cast<std::size_t>(hostCount));
    }
}

// Guards against one host that holds the quotas of many organisations.
TEST_CASE("different organisations have different holders")
{
    constexpr auto organisations = 200;
    const auto hosts = makeHosts(90, 9);
    auto holdings = std::vector<int>(hosts.size(), 0);
    for (auto organisation = 0; organisation < organisations; ++organisation) {
        for (const auto &holder : partitionQuota(60, hosts, stableHash("organisation" + std::to_string(organisation)))) {
            holdings[static_cast<std::size_t>(std::distance(hosts.begin(), std::find(hosts.begin(), hosts.end(), holder.host_)))] += 1;
        }
    }
    constexpr auto mean = organisations * 9 / 90;
    CHECK(*std::max_element(holdings.begin(), holdings.end()) <= 3 * mean);
}

// Guards against messages between zones and regions where a holder is near, and against a list of holders that grows with the fleet.
TEST_CASE("holders are asked nearest first, and a bounded number of them")
{
    for (const auto &partitionCase : partitionCases) {
        CAPTURE(partitionCase.hosts_);
        CAPTURE(partitionCase.quota_);
        const auto hosts = makeHosts(partitionCase.hosts_, partitionCase.zones_);
        const auto organisation = stableHash("organisation");
        const auto holders = partitionQuota(partitionCase.quota_, hosts, organisation);
        const auto &asker = hosts.front();
        const auto asked = holdersToAsk(holders, asker, organisation);
        constexpr auto maximumAsked = std::size_t { 24 };
        CHECK(asked.size() <= std::min(maximumAsked, holders.size()));
        CHECK(std::is_sorted(asked.begin(), asked.end(), [](const QuotaHolder &left, const QuotaHolder &right) {
            return left.distance_ < right.distance_;
        }));
        for (const auto &holder : asked) {
            CHECK(holder.host_.hash_ != asker.hash_);
            CHECK((holder.distance_ == HolderDistance::Zone) == (holder.host_.zone_ == asker.zone_));
            CHECK((holder.distance_ == HolderDistance::Remote) == (holder.host_.region_ != asker.region_));
        }
    }
}

// Guards against requests to hosts whose address is not known.
TEST_CASE("a holder without an address is not asked")
{
    auto hosts = makeHosts(12, 3);
    for (auto &host : hosts) {
        host.address_.clear();
    }
    const auto holders = partitionQuota(60, hosts, stableHash("organisation"));
    CHECK(holdersToAsk(holders, hosts.front(), stableHash("organisation")).empty());
}
