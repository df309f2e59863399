#include "version/referencecheck.h"

#include "version/routetable.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace lycheecleat
{

namespace
{

/** What the checks of one configuration share. */
struct Check
{
    const Configuration &configuration_;
    const RuleIndex &index_;
    /** Region by zone. */
    std::map<std::string, std::string> zones_;
    std::vector<RuleProblem> problems_;
};

/** A field of a declared rule. */
struct FieldPlace
{
    std::string kind_;
    std::string rule_;
    std::string field_;
};

auto report(Check &check, const FieldPlace &place, const std::string &message) -> void
{
    check.problems_.push_back(problemAt(check.index_, place.kind_, place.rule_, place.field_, message));
}

/** Reports a reference to nothing. An empty value has been reported by the parser. */
auto requireKnown(Check &check, const FieldPlace &place, const std::string &value, bool isKnown, const std::string &allowed) -> void
{
    if (!value.empty() && !isKnown) {
        report(check, place, fmt::format("'{}' is not declared; allowed: {}", value, allowed));
    }
}

auto requireZone(Check &check, const FieldPlace &place, const std::string &zone) -> void
{
    requireKnown(check, place, zone, check.zones_.count(zone) > 0, "a zone listed by a rule of kind region");
}

auto requireRegion(Check &check, const FieldPlace &place, const std::string &region) -> void
{
    requireKnown(check, place, region, findByName(check.configuration_.regions_, region) != nullptr, "the name of a rule of kind region");
}

auto requirePool(Check &check, const FieldPlace &place, const std::string &pool) -> void
{
    requireKnown(check, place, pool, findByName(check.configuration_.pools_, pool) != nullptr, "the name of a rule of kind pool");
}

auto checkRegions(Check &check) -> void
{
    for (const auto &region : check.configuration_.regions_) {
        for (const auto &zone : region.zones_) {
            const auto [position, isNew] = check.zones_.emplace(zone, region.name_);
            if (!isNew) {
                report(check,
                       { "region", region.name_, "zones" },
                       fmt::format("zone '{}' is in region '{}' already; allowed: one region", zone, position->second));
            }
        }
    }
}

auto checkPlatform(Check &check) -> void
{
    for (const auto &entry : check.index_) {
        if (entry.first.first != "platform") {
            continue;
        }
        for (const auto &zone : check.configuration_.platform_.storeZones_) {
            requireZone(check, { "platform", entry.first.second, "store_zones" }, zone);
        }
    }
}

auto checkEntryHosts(Check &check) -> void
{
    for (const auto &host : check.configuration_.entryHosts_) {
        requireZone(check, { "entry-host", host.name_, "zone" }, host.zone_);
    }
}

auto checkKeys(Check &check) -> void
{
    auto digests = std::map<std::string, std::string> {};
    for (const auto &key : check.configuration_.keys_) {
        const auto isKnown = findByName(check.configuration_.organisations_, key.organisation_) != nullptr;
        requireKnown(check, { "key", key.name_, "organisation" }, key.organisation_, isKnown, "the name of a rule of kind organisation");
        const auto [position, isNew] = digests.emplace(key.digest_, key.name_);
        if (!isNew && !key.digest_.empty()) {
            report(check, { "key", key.name_, "digest" }, fmt::format("key '{}' has the same digest; allowed: one rule for each key", position->second));
        }
    }
}

auto checkBackends(Check &check) -> void
{
    auto names = std::map<std::string, std::string> {};
    for (const auto &pool : check.configuration_.pools_) {
        for (auto position = std::size_t { 0 }; position < pool.backends_.size(); ++position) {
            const auto &backend = pool.backends_[position];
            const auto element = fmt::format("backends[{}].", position);
            requireZone(check, { "pool", pool.name_, element + "zone" }, backend.zone_);
            const auto [earlier, isNew] = names.emplace(backend.name_, pool.name_);
            if (!isNew && !backend.name_.empty()) {
                const auto message = fmt::format("'{}' is a backend server of pool '{}' already; allowed: once in all pools", backend.name_, earlier->second);
                report(check, { "pool", pool.name_, element + "name" }, message);
            }
        }
    }
}

/** Reports an address that two machines declare: slots and shares would be counted twice for one machine. */
auto claimAddress(Check &check, std::map<std::string, std::string> &owners, const FieldPlace &place, const std::string &address, const std::string &owner)
    -> void
{
    if (address.empty()) {
        return;
    }
    const auto [position, isNew] = owners.emplace(address, owner);
    if (!isNew) {
        report(check, place, fmt::format("'{}' is used by {} already; allowed: an address of its own", address, position->second));
    }
}

auto checkAddresses(Check &check) -> void
{
    auto owners = std::map<std::string, std::string> {};
    for (const auto &host : check.configuration_.entryHosts_) {
        const auto owner = "entry host '" + host.name_ + "'";
        claimAddress(check, owners, { "entry-host", host.name_, "address" }, host.address_, owner);
        claimAddress(check, owners, { "entry-host", host.name_, "peer" }, host.peer_, owner);
    }
    for (const auto &pool : check.configuration_.pools_) {
        for (auto position = std::size_t { 0 }; position < pool.backends_.size(); ++position) {
            const auto &backend = pool.backends_[position];
            const auto field = fmt::format("backends[{}].address", position);
            claimAddress(check, owners, { "pool", pool.name_, field }, backend.address_, "backend server '" + backend.name_ + "'");
        }
    }
}

auto hides(const Route &earlier, const Route &later) -> bool
{
    const auto sameHost = earlier.host_ == "*" || earlier.host_ == later.host_;
    return sameHost && !earlier.pathPrefix_.empty() && matchesPath(earlier.pathPrefix_, later.pathPrefix_);
}

auto checkRoutes(Check &check) -> void
{
    const auto &routes = check.configuration_.routes_;
    for (auto later = routes.begin(); later != routes.end(); ++later) {
        requirePool(check, { "route", later->name_, "pool" }, later->pool_);
        for (auto earlier = routes.begin(); earlier != later; ++earlier) {
            if (hides(*earlier, *later)) {
                constexpr auto message =
                    "route '{}' in {} matches every such request first; allowed: a path or host that it does not cover, or an earlier file name";
                report(check, { "route", later->name_, "path" }, fmt::format(message, earlier->name_, earlier->file_));
                break;
            }
        }
    }
}

auto checkShifts(Check &check) -> void
{
    // Shares are sums of decimal fractions, which are not exact in binary.
    constexpr auto shareTolerance = 1e-9;
    constexpr auto percentPerWhole = 100.0;
    auto moves = std::map<std::tuple<std::string, std::string, std::string>, std::string> {};
    auto totals = std::map<std::pair<std::string, std::string>, double> {};
    for (const auto &shift : check.configuration_.shifts_) {
        requirePool(check, { "shift", shift.name_, "pool" }, shift.pool_);
        requireRegion(check, { "shift", shift.name_, "from" }, shift.from_);
        requireRegion(check, { "shift", shift.name_, "to" }, shift.to_);
        if (!shift.to_.empty() && shift.from_ == shift.to_) {
            report(check, { "shift", shift.name_, "to" }, "'" + shift.to_ + "' is the region the shift comes from; allowed: another region");
        }
        const auto [position, isNew] = moves.emplace(std::tuple(shift.pool_, shift.from_, shift.to_), shift.name_);
        if (!isNew && !shift.to_.empty()) {
            report(check, { "shift", shift.name_, "to" }, fmt::format("shift '{}' moves the same requests already; allowed: one shift", position->second));
        }
        auto &total = totals[std::pair(shift.pool_, shift.from_)];
        total += shift.share_;
        if (total > 1 + shareTolerance) {
            const auto message = fmt::format("the shifts of this pool from '{}' add up to {:.4g}%; allowed: 100%", shift.from_, total * percentPerWhole);
            report(check, { "shift", shift.name_, "share" }, message);
        }
    }
}

auto isBackend(const Configuration &configuration, const std::string &name) -> bool
{
    for (const auto &pool : configuration.pools_) {
        if (findByName(pool.backends_, name) != nullptr) {
            return true;
        }
    }
    return false;
}

auto targetExists(const Check &check, const Drain &drain) -> bool
{
    switch (drain.targetKind_) {
    case DrainTarget::Backend:
        return isBackend(check.configuration_, drain.target_);
    case DrainTarget::EntryHost:
        return findByName(check.configuration_.entryHosts_, drain.target_) != nullptr;
    case DrainTarget::Zone:
        return check.zones_.count(drain.target_) > 0;
    }
    return false;
}

auto checkDrains(Check &check) -> void
{
    for (const auto &drain : check.configuration_.drains_) {
        const auto allowed = "a declared backend server, entry host or zone of the kind before the slash";
        requireKnown(check, { "drain", drain.name_, "target" }, drain.target_, targetExists(check, drain), allowed);
    }
}

auto checkClientBlocks(Check &check) -> void
{
    auto owners = std::map<std::string, std::string> {};
    for (const auto &rule : check.configuration_.clientBlocks_) {
        requireRegion(check, { "client-blocks", rule.name_, "region" }, rule.region_);
        for (const auto &block : rule.blocks_) {
            const auto [position, isNew] = owners.emplace(block, rule.name_);
            if (!isNew) {
                const auto message = fmt::format("'{}' is listed by '{}' already; allowed: once", block, position->second);
                report(check, { "client-blocks", rule.name_, "blocks" }, message);
            }
        }
    }
}

}

auto checkReferences(const Configuration &configuration, const RuleIndex &index) -> std::vector<RuleProblem>
{
    auto check = Check { configuration, index, {}, {} };
    checkRegions(check);
    checkPlatform(check);
    checkEntryHosts(check);
    checkKeys(check);
    checkBackends(check);
    checkAddresses(check);
    checkRoutes(check);
    checkShifts(check);
    checkDrains(check);
    checkClientBlocks(check);
    return std::move(check.problems_);
}

}
