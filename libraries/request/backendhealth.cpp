#include "request/backendhealth.h"

#include "core/digest.h"

#include <algorithm>
#include <map>
#include <set>

namespace lycheecleat
{

namespace
{

/** Consecutive failures after which a server is ejected; single failures may be the fault of one request. */
constexpr auto failuresToEject = 3;

constexpr auto firstEjection = absl::Seconds(1);
constexpr auto longestEjection = absl::Seconds(30);
constexpr auto longestDoubling = 5;

/** How long a server that closes its connections gets no new request; a leaving server is on the host list by then. */
constexpr auto closingTime = absl::Seconds(2);

/** Part of its requests that a server gets at the begin of slow start; without any it would stay cold. */
constexpr auto firstShare = 0.1;

auto ejectionTime(int ejections) -> absl::Duration
{
    return std::min(firstEjection * (1 << std::min(ejections, longestDoubling)), longestEjection);
}

auto unitInterval(std::uint64_t hash) -> double
{
    constexpr auto mantissaBits = 53;
    return static_cast<double>(hash >> (64 - mantissaBits)) / static_cast<double>(std::uint64_t { 1 } << mantissaBits);
}

}

auto BackendHealth::configure(absl::Time now, const Configuration &configuration, const std::vector<std::string> &leaving) -> void
{
    const auto leavingNames = std::set<std::string>(leaving.begin(), leaving.end());
    auto next = absl::flat_hash_map<std::string, Server> {};
    for (const auto &pool : configuration.pools_) {
        for (const auto &backend : pool.backends_) {
            const auto known = servers_.find(backend.name_);
            auto server = known == servers_.end() ? Server {} : known->second;
            const auto isOut = isDrained(configuration, backend) || leavingNames.count(backend.name_) > 0;
            // Servers of a host's first configuration have been serving through other hosts.
            const auto isNew = known == servers_.end() && hasConfiguration_;
            if (!isOut && (isNew || server.isOut_)) {
                server.startedAt_ = now;
            }
            server.isOut_ = isOut;
            next[backend.name_] = server;
        }
    }
    servers_ = std::move(next);
    hasConfiguration_ = true;
}

auto BackendHealth::note(absl::Time now, const std::string &backend, HealthSign sign) -> void
{
    const auto found = servers_.find(backend);
    if (found == servers_.end()) {
        return;
    }
    auto &server = found->second;
    if (sign == HealthSign::Good || sign == HealthSign::Closing) {
        server.failures_ = 0;
        server.ejections_ = 0;
        server.closingUntil_ = sign == HealthSign::Closing ? now + closingTime : server.closingUntil_;
        return;
    }
    server.failures_ += sign == HealthSign::Absent ? failuresToEject : 1;
    // Failures of requests that were under way at the ejection do not prolong it.
    if (server.failures_ >= failuresToEject && server.ejectedUntil_ <= now) {
        server.ejectedUntil_ = now + ejectionTime(server.ejections_);
        server.ejections_ += 1;
        server.failures_ = 0;
    }
}

auto BackendHealth::ejectedOf(absl::Time now, const Pool &pool) const -> std::vector<std::string>
{
    struct Zone
    {
        int servers_ = 0;
        std::vector<std::pair<absl::Time, std::string>> ejected_;
    };
    auto zones = std::map<std::string, Zone> {};
    for (const auto &backend : pool.backends_) {
        auto &zone = zones[backend.zone_];
        zone.servers_ += 1;
        const auto found = servers_.find(backend.name_);
        if (found != servers_.end() && found->second.ejectedUntil_ > now) {
            zone.ejected_.emplace_back(found->second.ejectedUntil_, backend.name_);
        }
    }
    auto ejected = std::vector<std::string> {};
    for (auto &[name, zone] : zones) {
        // Beyond half the zone, those that come back last have failed most often.
        std::sort(zone.ejected_.rbegin(), zone.ejected_.rend());
        const auto count = std::min<std::size_t>(zone.ejected_.size(), static_cast<std::size_t>(zone.servers_ / 2));
        for (auto index = std::size_t { 0 }; index < count; ++index) {
            ejected.push_back(zone.ejected_[index].second);
        }
    }
    return ejected;
}

auto BackendHealth::isHeldBack(absl::Time now, const Pool &pool, const std::string &name, const Server &server, std::uint64_t requestHash) const -> bool
{
    if (server.closingUntil_ > now) {
        return true;
    }
    const auto startedAt = std::max(server.startedAt_, server.ejectedUntil_);
    if (pool.slowStart_ <= absl::ZeroDuration() || startedAt > now || now - startedAt >= pool.slowStart_) {
        return false;
    }
    const auto share = std::max(firstShare, absl::FDivDuration(now - startedAt, pool.slowStart_));
    return unitInterval(stableHash(name, requestHash)) >= share;
}

auto BackendHealth::exclusions(absl::Time now, const Pool &pool, std::uint64_t requestHash) const -> Exclusions
{
    auto exclusions = Exclusions {};
    const auto ejected = ejectedOf(now, pool);
    for (const auto &backend : pool.backends_) {
        const auto found = servers_.find(backend.name_);
        if (found == servers_.end()) {
            continue;
        }
        if (found->second.isOut_) {
            exclusions.required_.push_back(backend.name_);
            continue;
        }
        const auto isEjected = std::find(ejected.begin(), ejected.end(), backend.name_) != ejected.end();
        if (isEjected || isHeldBack(now, pool, backend.name_, found->second, requestHash)) {
            exclusions.preferred_.push_back(backend.name_);
        }
    }
    return exclusions;
}

}
