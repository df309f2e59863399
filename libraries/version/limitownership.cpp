#include "version/limitownership.h"

#include "core/digest.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Target rate in requests per second for one host of an organisation's subset; determines the subset's size. */
constexpr auto targetRatePerSubsetHost = 50.0;

/** Minimum number of hosts in a region's subset: the region can still serve the organisation if one host fails. */
constexpr auto minimumSubsetSize = std::size_t { 2 };

/**
 * Minimum burst of a share if the limit allows it. An owner keeps one token for its own callers, so shares of one token could never be lent, and
 * the hosts without a share would starve.
 */
constexpr auto minimumShareBurst = 4.0;

/** Rates are split into multiples of this value. It is a power of two, so the shares add up without rounding. */
constexpr auto rateGranularity = 1.0 / (1 << 20);

/** Fraction of a shift's cap that is assigned to the burst instead of the rate. */
constexpr auto shiftBurstFraction = 0.1;

/** Ranks hosts by rendezvous hashing: adding or removing a host changes the ownership only of what that host owns. */
auto rankHosts(std::vector<EntryHost> hosts, const std::string &hashKey) -> std::vector<EntryHost>
{
    auto ranked = std::vector<std::pair<std::uint64_t, EntryHost>> {};
    ranked.reserve(hosts.size());
    for (auto &host : hosts) {
        const auto score = stableHash(host.name_, stableHash(hashKey));
        ranked.emplace_back(score, std::move(host));
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return std::tie(right.first, left.second.name_) < std::tie(left.first, right.second.name_);
    });
    auto result = std::vector<EntryHost> {};
    result.reserve(ranked.size());
    for (auto &entry : ranked) {
        result.push_back(std::move(entry.second));
    }
    return result;
}

auto hostsOfRegion(const Configuration &configuration, const Region &region) -> std::vector<EntryHost>
{
    auto hosts = std::vector<EntryHost> {};
    for (const auto &host : configuration.entryHosts_) {
        if (std::find(region.zones_.begin(), region.zones_.end(), host.zone_) != region.zones_.end()) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

auto hostsOfZone(const Configuration &configuration, const std::string &zone) -> std::vector<EntryHost>
{
    auto hosts = std::vector<EntryHost> {};
    for (const auto &host : configuration.entryHosts_) {
        if (host.zone_ == zone) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

/** Moves the highest-ranked host of each zone to the front, so that a small subset isn't confined to one zone. */
auto spreadOverZones(const std::vector<EntryHost> &ranked) -> std::vector<EntryHost>
{
    auto first = std::vector<EntryHost> {};
    auto rest = std::vector<EntryHost> {};
    auto seen = std::set<std::string> {};
    for (const auto &host : ranked) {
        auto &target = seen.insert(host.zone_).second ? first : rest;
        target.push_back(host);
    }
    first.insert(first.end(), rest.begin(), rest.end());
    return first;
}

auto organisationSubset(const Configuration &configuration, const Organisation &organisation, const Region &region) -> std::vector<EntryHost>
{
    auto hosts = spreadOverZones(rankHosts(hostsOfRegion(configuration, region), "organisation/" + organisation.name_));
    const auto regionRate = organisation.rate_ / static_cast<double>(configuration.regions_.size());
    const auto requiredHosts = static_cast<std::size_t>(std::ceil(std::min(regionRate / targetRatePerSubsetHost, static_cast<double>(hosts.size()))));
    const auto size = std::min(hosts.size(), std::max(minimumSubsetSize, requiredHosts));
    hosts.resize(size);
    return hosts;
}

/** Merges the lists round-robin, so that a limit with few tokens is split over all regions first. */
auto interleave(const std::vector<std::vector<EntryHost>> &lists) -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    auto longest = std::size_t { 0 };
    for (const auto &list : lists) {
        longest = std::max(longest, list.size());
    }
    for (auto index = std::size_t { 0 }; index < longest; ++index) {
        for (const auto &list : lists) {
            if (index < list.size()) {
                names.push_back(list[index].name_);
            }
        }
    }
    return names;
}

auto namesOf(const std::vector<EntryHost> &hosts) -> std::vector<std::string>
{
    auto names = std::vector<std::string> {};
    names.reserve(hosts.size());
    for (const auto &host : hosts) {
        names.push_back(host.name_);
    }
    return names;
}

}

auto splitLimit(const std::vector<std::string> &owners, const RateShare &limit) -> std::vector<HostShare>
{
    if (owners.empty()) {
        return {};
    }
    const auto wholeBurst = std::floor(limit.burst_);
    const auto activeOwners = static_cast<std::size_t>(std::clamp(std::floor(wholeBurst / minimumShareBurst), 1.0, static_cast<double>(owners.size())));
    const auto burstPerOwner = std::floor(wholeBurst / static_cast<double>(activeOwners));
    const auto ownersWithExtraToken = static_cast<std::size_t>(wholeBurst - burstPerOwner * static_cast<double>(activeOwners));
    auto shares = std::vector<HostShare> {};
    auto remainingRate = limit.rate_;
    for (auto index = std::size_t { 0 }; index < owners.size(); ++index) {
        auto share = RateShare {};
        if (index < activeOwners) {
            share.burst_ = burstPerOwner + (index < ownersWithExtraToken ? 1.0 : 0.0) + (index == 0 ? limit.burst_ - wholeBurst : 0.0);
            const auto proportionalRate = limit.burst_ > 0 ? limit.rate_ * share.burst_ / limit.burst_ : 0.0;
            share.rate_ = index + 1 == activeOwners ? remainingRate : std::min(remainingRate, std::floor(proportionalRate / rateGranularity) * rateGranularity);
            remainingRate -= share.rate_;
        }
        shares.push_back({ owners[index], share });
    }
    return shares;
}

auto organisationHosts(const Configuration &configuration, const std::string &organisation, const std::string &region) -> std::vector<EntryHost>
{
    const auto *declaredOrganisation = findByName(configuration.organisations_, organisation);
    const auto *declaredRegion = findByName(configuration.regions_, region);
    if (declaredOrganisation == nullptr || declaredRegion == nullptr) {
        return {};
    }
    return organisationSubset(configuration, *declaredOrganisation, *declaredRegion);
}

auto organisationShares(const Configuration &configuration, const Organisation &organisation) -> std::vector<HostShare>
{
    auto subsets = std::vector<std::vector<EntryHost>> {};
    for (const auto &region : configuration.regions_) {
        subsets.push_back(organisationSubset(configuration, organisation, region));
    }
    return splitLimit(interleave(subsets), { organisation.rate_, organisation.burst_ });
}

auto shiftLimitOf(const Shift &shift) -> RateShare
{
    // A token bucket admits burst + rate * window, so the rate is reduced by the fraction assigned to the burst.
    return { shift.rateCap_ * (1 - shiftBurstFraction), std::max(1.0, shift.rateCap_ * shiftBurstFraction) };
}

auto shiftShares(const Configuration &configuration, const Shift &shift) -> std::vector<HostShare>
{
    const auto hashKey = "shift/" + shift.name_;
    const auto *from = findByName(configuration.regions_, shift.from_);
    auto hosts = from == nullptr ? std::vector<EntryHost> {} : hostsOfRegion(configuration, *from);
    if (hosts.empty()) {
        hosts = configuration.entryHosts_;
    }
    return splitLimit(namesOf(rankHosts(std::move(hosts), hashKey)), shiftLimitOf(shift));
}

auto slotOwners(const Configuration &configuration, const BackendServer &backend) -> std::vector<std::string>
{
    auto hosts = hostsOfZone(configuration, backend.zone_);
    const auto *region = findByName(configuration.regions_, regionOfZone(configuration, backend.zone_));
    if (hosts.empty() && region != nullptr) {
        hosts = hostsOfRegion(configuration, *region);
    }
    if (hosts.empty()) {
        hosts = configuration.entryHosts_;
    }
    return namesOf(rankHosts(std::move(hosts), "backend/" + backend.name_));
}

auto slotsOwned(const Configuration &configuration, const Pool &pool, const std::string &host) -> std::vector<SlotOwnership>
{
    auto owned = std::vector<SlotOwnership> {};
    for (const auto &backend : pool.backends_) {
        const auto owners = slotOwners(configuration, backend);
        const auto position = std::find(owners.begin(), owners.end(), host);
        auto slots = 0;
        if (position != owners.end()) {
            const auto count = static_cast<int>(owners.size());
            const auto rank = static_cast<int>(position - owners.begin());
            slots = pool.slots_ / count + (rank < pool.slots_ % count ? 1 : 0);
        }
        owned.push_back({ backend, slots });
    }
    return owned;
}

}
