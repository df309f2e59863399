#include "request/lookup.h"

#include "core/digest.h"
#include "version/limitownership.h"

#include <algorithm>
#include <random>
#include <utility>

namespace lycheecleat
{

namespace
{

auto isAvailable(const AvailableHosts &available, const EntryHost &host) -> bool
{
    return available.count(host.name_) > 0;
}

/** Hosts to choose from. Pointers, since copying all hosts of a large region would take longer than the rest of a lookup. */
using Candidates = std::vector<const EntryHost *>;

auto addTo(Candidates &candidates, const std::vector<EntryHost> &hosts) -> void
{
    for (const auto &host : hosts) {
        candidates.push_back(&host);
    }
}

auto hostsOfOrganisation(const LookupTable &table, const AvailableHosts &available, const LookupQuery &query) -> std::vector<EntryHost>
{
    if (query.organisation_.empty()) {
        return {};
    }
    auto hosts = organisationHosts(*table.configuration_, query.organisation_, query.region_);
    hosts.erase(std::remove_if(hosts.begin(),
                               hosts.end(),
                               [&](const EntryHost &host) {
                                   return isDrained(*table.configuration_, host) || !isAvailable(available, host);
                               }),
                hosts.end());
    return hosts;
}

auto hostsOfRegion(const LookupTable &table, const std::string &region) -> Candidates
{
    auto candidates = Candidates {};
    const auto found = table.hosts_.find(region);
    if (found != table.hosts_.end()) {
        addTo(candidates, found->second);
    }
    return candidates;
}

auto hostsOfAllRegions(const LookupTable &table) -> Candidates
{
    auto candidates = Candidates {};
    for (const auto &[region, hosts] : table.hosts_) {
        addTo(candidates, hosts);
    }
    return candidates;
}

// Random sample of available candidates, without replacement.
auto sampleAvailable(Candidates candidates, const AvailableHosts &available, std::uint64_t seed) -> std::vector<EntryHost>
{
    // Seeding a generator with a larger state takes longer than sampling; the hash decorrelates consecutive seeds.
    auto generator = std::minstd_rand(static_cast<std::minstd_rand::result_type>(stableHash("draw", seed)));
    auto sampled = std::vector<EntryHost> {};
    while (!candidates.empty() && sampled.size() < maximumLookupHosts) {
        const auto index = std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(generator);
        std::swap(candidates[index], candidates.back());
        if (isAvailable(available, *candidates.back())) {
            sampled.push_back(*candidates.back());
        }
        candidates.pop_back();
    }
    return sampled;
}

auto decisionOf(LookupReason reason, std::vector<EntryHost> hosts, const AvailableHosts &available) -> LookupDecision
{
    const auto &run = available.at(hosts.front().name_);
    return LookupDecision { reason, std::move(hosts), run };
}

}

auto buildLookupTable(const ConfigurationPointer &configuration) -> LookupTable
{
    auto table = LookupTable { configuration, {}, {}, {} };
    auto blocks = std::vector<ClientBlock> {};
    for (const auto &region : configuration->regions_) {
        table.regions_.push_back(region.name_);
    }
    for (const auto &group : configuration->clientBlocks_) {
        const auto region = std::find(table.regions_.begin(), table.regions_.end(), group.region_);
        const auto site = static_cast<SiteIndex>(region - table.regions_.begin());
        for (const auto &text : group.blocks_) {
            // Every block of a validated configuration can be parsed; a block that can't be parsed is skipped.
            const auto block = attempt([&] {
                return parseAddressBlock(text);
            });
            if (std::holds_alternative<AddressBlock>(block)) {
                blocks.push_back(ClientBlock { std::get<AddressBlock>(block), site });
            }
        }
    }
    table.blocks_ = buildClientBlockTable(std::move(blocks));
    for (const auto &host : configuration->entryHosts_) {
        if (!isDrained(*configuration, host)) {
            table.hosts_[regionOfZone(*configuration, host.zone_)].push_back(host);
        }
    }
    return table;
}

auto regionOfClient(const LookupTable &table, const std::string &client) -> Result<std::optional<std::string>>
{
    BOOST_LEAF_AUTO(address, parseAddress(client));
    const auto site = findSite(table.blocks_, address);
    if (!site || *site >= table.regions_.size()) {
        return std::optional<std::string> {};
    }
    return std::optional<std::string> { table.regions_[*site] };
}

auto lookupReasonName(LookupReason reason) -> const char *
{
    switch (reason) {
    case LookupReason::Organisation:
        return "organisation";
    case LookupReason::Region:
        return "region";
    case LookupReason::OtherRegion:
        return "other_region";
    case LookupReason::None:
        return "none";
    }
    return "none";
}

auto decideLookup(const LookupTable &table, const AvailableHosts &available, const LookupQuery &query) -> LookupDecision
{
    const auto hostsWithShares = hostsOfOrganisation(table, available, query);
    auto candidates = Candidates {};
    addTo(candidates, hostsWithShares);
    auto hosts = sampleAvailable(std::move(candidates), available, query.seed_);
    if (!hosts.empty()) {
        return decisionOf(LookupReason::Organisation, std::move(hosts), available);
    }
    hosts = sampleAvailable(hostsOfRegion(table, query.region_), available, query.seed_);
    if (!hosts.empty()) {
        return decisionOf(LookupReason::Region, std::move(hosts), available);
    }
    hosts = sampleAvailable(hostsOfAllRegions(table), available, query.seed_);
    if (!hosts.empty()) {
        return decisionOf(LookupReason::OtherRegion, std::move(hosts), available);
    }
    return {};
}

}
