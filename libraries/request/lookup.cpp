#include "request/lookup.h"

#include "version/sharetable.h"

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

auto availableOf(const std::vector<EntryHost> &hosts, const AvailableHosts &available) -> std::vector<EntryHost>
{
    auto chosen = std::vector<EntryHost> {};
    std::copy_if(hosts.begin(), hosts.end(), std::back_inserter(chosen), [&](const EntryHost &host) {
        return isAvailable(available, host);
    });
    return chosen;
}

auto hostsOfOrganisation(const LookupTable &table, const AvailableHosts &available, const LookupQuestion &question) -> std::vector<EntryHost>
{
    if (question.organisation_.empty()) {
        return {};
    }
    auto hosts = organisationHosts(*table.configuration_, question.organisation_, question.region_);
    hosts.erase(std::remove_if(hosts.begin(),
                               hosts.end(),
                               [&](const EntryHost &host) {
                                   return isDrained(*table.configuration_, host) || !isAvailable(available, host);
                               }),
                hosts.end());
    return hosts;
}

auto hostsOfRegion(const LookupTable &table, const AvailableHosts &available, const std::string &region) -> std::vector<EntryHost>
{
    const auto found = table.hosts_.find(region);
    return found == table.hosts_.end() ? std::vector<EntryHost> {} : availableOf(found->second, available);
}

auto hostsOfAllRegions(const LookupTable &table, const AvailableHosts &available) -> std::vector<EntryHost>
{
    auto hosts = std::vector<EntryHost> {};
    for (const auto &[region, declared] : table.hosts_) {
        const auto chosen = availableOf(declared, available);
        hosts.insert(hosts.end(), chosen.begin(), chosen.end());
    }
    return hosts;
}

auto decisionOf(LookupReason reason, std::vector<EntryHost> hosts, const AvailableHosts &available, std::uint64_t seed) -> LookupDecision
{
    auto generator = std::mt19937_64(seed);
    std::shuffle(hosts.begin(), hosts.end(), generator);
    hosts.resize(std::min(hosts.size(), maximumLookupHosts));
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
            // The rule check has parsed every block, so a block that can't be parsed here has not passed it and is left out.
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

auto decideLookup(const LookupTable &table, const AvailableHosts &available, const LookupQuestion &question) -> LookupDecision
{
    auto hosts = hostsOfOrganisation(table, available, question);
    if (!hosts.empty()) {
        return decisionOf(LookupReason::Organisation, std::move(hosts), available, question.seed_);
    }
    hosts = hostsOfRegion(table, available, question.region_);
    if (!hosts.empty()) {
        return decisionOf(LookupReason::Region, std::move(hosts), available, question.seed_);
    }
    hosts = hostsOfAllRegions(table, available);
    if (!hosts.empty()) {
        return decisionOf(LookupReason::OtherRegion, std::move(hosts), available, question.seed_);
    }
    return {};
}

}
