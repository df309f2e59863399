#include "version/referencecheck.h"

#include "version/routelookup.h"

#include <fmt/format.h>

#include <map>
#include <set>
#include <string>
#include <tuple>

namespace lycheecleat
{

namespace
{

/** State shared by the checks of one configuration. */
struct CheckContext
{
    const Configuration &configuration_;
    const RuleIndex &index_;
    /** Region by zone. */
    std::map<std::string, std::string> zones_;
    std::vector<RuleProblem> problems_;
};

/** Identifies a field of a declared rule. */
struct FieldLocation
{
    std::string kind_;
    std::string rule_;
    std::string field_;
};

auto report(CheckContext &context, const FieldLocation &location, const std::string &message) -> void
{
    context.problems_.push_back(problemAt(context.index_, location.kind_, location.rule_, location.field_, message));
}

/** Reports a reference to an undeclared name. An empty value has already been reported by the parser. */
auto requireDeclared(CheckContext &context, const FieldLocation &location, const std::string &value, bool isDeclared, const std::string &allowed) -> void
{
    if (!value.empty() && !isDeclared) {
        report(context, location, fmt::format("'{}' is not declared; allowed: {}", value, allowed));
    }
}

auto requireZone(CheckContext &context, const FieldLocation &location, const std::string &zone) -> void
{
    requireDeclared(context, location, zone, context.zones_.count(zone) > 0, "a zone listed by a rule of kind region");
}

auto requireRegion(CheckContext &context, const FieldLocation &location, const std::string &region) -> void
{
    requireDeclared(context, location, region, findByName(context.configuration_.regions_, region) != nullptr, "the name of a rule of kind region");
}

auto requirePool(CheckContext &context, const FieldLocation &location, const std::string &pool) -> void
{
    requireDeclared(context, location, pool, findByName(context.configuration_.pools_, pool) != nullptr, "the name of a rule of kind pool");
}

auto checkRegions(CheckContext &context) -> void
{
    for (const auto &region : context.configuration_.regions_) {
        for (const auto &zone : region.zones_) {
            const auto [position, isNew] = context.zones_.emplace(zone, region.name_);
            if (!isNew) {
                report(context,
                       { "region", region.name_, "zones" },
                       fmt::format("zone '{}' is in region '{}' already; allowed: one region", zone, position->second));
            }
        }
    }
}

auto checkPlatform(CheckContext &context) -> void
{
    for (const auto &entry : context.index_) {
        if (entry.first.first != "platform") {
            continue;
        }
        for (const auto &zone : context.configuration_.platform_.storeZones_) {
            requireZone(context, { "platform", entry.first.second, "store_zones" }, zone);
        }
    }
}

auto checkEntryHosts(CheckContext &context) -> void
{
    for (const auto &host : context.configuration_.entryHosts_) {
        requireZone(context, { "entry-host", host.name_, "zone" }, host.zone_);
    }
}

auto checkKeys(CheckContext &context) -> void
{
    auto keysByDigest = std::map<std::string, std::string> {};
    for (const auto &key : context.configuration_.keys_) {
        const auto isDeclared = findByName(context.configuration_.organisations_, key.organisation_) != nullptr;
        requireDeclared(context, { "key", key.name_, "organisation" }, key.organisation_, isDeclared, "the name of a rule of kind organisation");
        const auto [position, isNew] = keysByDigest.emplace(key.digest_, key.name_);
        if (!isNew && !key.digest_.empty()) {
            report(context, { "key", key.name_, "digest" }, fmt::format("key '{}' has the same digest; allowed: one rule for each key", position->second));
        }
    }
}

auto checkBackends(CheckContext &context) -> void
{
    auto poolsByBackend = std::map<std::string, std::string> {};
    for (const auto &pool : context.configuration_.pools_) {
        for (auto position = std::size_t { 0 }; position < pool.backends_.size(); ++position) {
            const auto &backend = pool.backends_[position];
            const auto fieldPrefix = fmt::format("backends[{}].", position);
            requireZone(context, { "pool", pool.name_, fieldPrefix + "zone" }, backend.zone_);
            const auto [earlier, isNew] = poolsByBackend.emplace(backend.name_, pool.name_);
            if (!isNew && !backend.name_.empty()) {
                const auto message = fmt::format("'{}' is a backend server of pool '{}' already; allowed: once in all pools", backend.name_, earlier->second);
                report(context, { "pool", pool.name_, fieldPrefix + "name" }, message);
            }
        }
    }
}

/** Reports an address that two rules declare: slots and shares would be counted twice for the same machine. */
auto requireUniqueAddress(CheckContext &context,
                          std::map<std::string, std::string> &owners,
                          const FieldLocation &location,
                          const std::string &address,
                          const std::string &owner) -> void
{
    if (address.empty()) {
        return;
    }
    const auto [position, isNew] = owners.emplace(address, owner);
    if (!isNew) {
        report(context, location, fmt::format("'{}' is used by {} already; allowed: an address of its own", address, position->second));
    }
}

auto checkAddresses(CheckContext &context) -> void
{
    auto owners = std::map<std::string, std::string> {};
    for (const auto &host : context.configuration_.entryHosts_) {
        const auto owner = "entry host '" + host.name_ + "'";
        requireUniqueAddress(context, owners, { "entry-host", host.name_, "address" }, host.address_, owner);
        requireUniqueAddress(context, owners, { "entry-host", host.name_, "peer" }, host.peer_, owner);
    }
    for (const auto &pool : context.configuration_.pools_) {
        for (auto position = std::size_t { 0 }; position < pool.backends_.size(); ++position) {
            const auto &backend = pool.backends_[position];
            const auto field = fmt::format("backends[{}].address", position);
            requireUniqueAddress(context, owners, { "pool", pool.name_, field }, backend.address_, "backend server '" + backend.name_ + "'");
        }
    }
}

auto shadows(const Route &earlier, const Route &later) -> bool
{
    const auto sameHost = earlier.host_ == "*" || earlier.host_ == later.host_;
    return sameHost && !earlier.pathPrefix_.empty() && matchesPath(earlier.pathPrefix_, later.pathPrefix_);
}

auto checkRoutes(CheckContext &context) -> void
{
    const auto &routes = context.configuration_.routes_;
    for (auto later = routes.begin(); later != routes.end(); ++later) {
        requirePool(context, { "route", later->name_, "pool" }, later->pool_);
        for (auto earlier = routes.begin(); earlier != later; ++earlier) {
            if (shadows(*earlier, *later)) {
                constexpr auto message =
                    "route '{}' in {} matches every such request first; allowed: a path or host that it does not cover, or an earlier file name";
                report(context, { "route", later->name_, "path" }, fmt::format(message, earlier->name_, earlier->file_));
                break;
            }
        }
    }
}

auto checkShifts(CheckContext &context) -> void
{
    // Decimal fractions are not exact in binary, so a sum of shares may exceed 1 by a rounding error.
    constexpr auto shareTolerance = 1e-9;
    constexpr auto percentPerWhole = 100.0;
    auto shiftNames = std::map<std::tuple<std::string, std::string, std::string>, std::string> {};
    auto totals = std::map<std::pair<std::string, std::string>, double> {};
    for (const auto &shift : context.configuration_.shifts_) {
        requirePool(context, { "shift", shift.name_, "pool" }, shift.pool_);
        requireRegion(context, { "shift", shift.name_, "from" }, shift.from_);
        requireRegion(context, { "shift", shift.name_, "to" }, shift.to_);
        if (!shift.to_.empty() && shift.from_ == shift.to_) {
            report(context, { "shift", shift.name_, "to" }, "'" + shift.to_ + "' is the region the shift comes from; allowed: another region");
        }
        const auto [position, isNew] = shiftNames.emplace(std::tuple(shift.pool_, shift.from_, shift.to_), shift.name_);
        if (!isNew && !shift.to_.empty()) {
            report(context, { "shift", shift.name_, "to" }, fmt::format("shift '{}' moves the same requests already; allowed: one shift", position->second));
        }
        auto &total = totals[std::pair(shift.pool_, shift.from_)];
        total += shift.share_;
        if (total > 1 + shareTolerance) {
            const auto message = fmt::format("the shifts of this pool from '{}' add up to {:.4g}%; allowed: 100%", shift.from_, total * percentPerWhole);
            report(context, { "shift", shift.name_, "share" }, message);
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

auto targetExists(const CheckContext &context, const Drain &drain) -> bool
{
    switch (drain.targetKind_) {
    case DrainTarget::Backend:
        return isBackend(context.configuration_, drain.target_);
    case DrainTarget::EntryHost:
        return findByName(context.configuration_.entryHosts_, drain.target_) != nullptr;
    case DrainTarget::Zone:
        return context.zones_.count(drain.target_) > 0;
    }
    return false;
}

auto checkDrains(CheckContext &context) -> void
{
    for (const auto &drain : context.configuration_.drains_) {
        const auto allowed = "a declared backend server, entry host or zone of the kind before the slash";
        requireDeclared(context, { "drain", drain.name_, "target" }, drain.target_, targetExists(context, drain), allowed);
    }
}

auto checkClientBlocks(CheckContext &context) -> void
{
    auto rulesByBlock = std::map<std::string, std::string> {};
    for (const auto &rule : context.configuration_.clientBlocks_) {
        requireRegion(context, { "client-blocks", rule.name_, "region" }, rule.region_);
        for (const auto &block : rule.blocks_) {
            const auto [position, isNew] = rulesByBlock.emplace(block, rule.name_);
            if (!isNew) {
                const auto message = fmt::format("'{}' is listed by '{}' already; allowed: once", block, position->second);
                report(context, { "client-blocks", rule.name_, "blocks" }, message);
            }
        }
    }
}

}

auto checkReferences(const Configuration &configuration, const RuleIndex &index) -> std::vector<RuleProblem>
{
    auto context = CheckContext { configuration, index, {}, {} };
    checkRegions(context);
    checkPlatform(context);
    checkEntryHosts(context);
    checkKeys(context);
    checkBackends(context);
    checkAddresses(context);
    checkRoutes(context);
    checkShifts(context);
    checkDrains(context);
    checkClientBlocks(context);
    return std::move(context.problems_);
}

}
