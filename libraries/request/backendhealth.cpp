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

/** How long a server that closes its connections gets no new request at first; a leaving server is on the host list by then. */
constexpr auto closingTime = absl::Seconds(2);

/** Bound of that time, which doubles as long as every further answer closes its connection. */
constexpr auto longestClosingTime = absl::Seconds(30);

/** Part of its requests that a server gets at the begin of slow start; without any it would stay cold. */
constexpr auto firstShare = 0.1;

auto ejectionTime(int ejections) -> absl::Duration
{
    return std::min(firstEjection * (1 << std::min(ejections, longestDoubling)), longestEjection);
}

auto closingTimeAfter(int closings) -> absl::Duration
{
    return std::min(closingTime * (1 << std::min(closings, longestDoubling)), longestClosingTime);
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
        server.closings_ = sign == HealthSign::Closing ? server.closings_ : 0;
        // Answers to requests that were under way do not prolong the time.
        if (sign == HealthSign::Closing && server.closingUntil_ <= now) {
            server.closingUntil_ = now + closingTimeAfter(server.closings_);
            server.closings_ += 1;
        }
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

auto BackendHealth::report(absl::Time now, const std::string &backend, const HealthReport &report) -> bool
{
    const auto found = servers_.find(backend);
    if (found == servers_.end()) {
        return false;
    }
    auto &server = found->second;
    // An endpoint that closes every connection says nothing by it.
    const auto isLeaving = report.draining_ || (report.closing_ && server.hasKeptReports_);
    server.hasKeptReports_ = server.hasKeptReports_ || !report.closing_;
    if (server.isReportedDraining_ && !isLeaving) {
        server.startedAt_ = now;
    }
    server.isReportedDraining_ = isLeaving && (server.isReportedDraining_ || report.draining_);
    const auto wasLeaving = server.leavingSince_ < absl::InfiniteFuture();
    if (isLeaving != wasLeaving) {
        server.leavingSince_ = isLeaving ? now : absl::InfiniteFuture();
    }
    return isLeaving != wasLeaving;
}

auto BackendHealth::heldOutOf(absl::Time now, const Pool &pool) const -> std::vector<std::string>
{
    struct Zone
    {
        int servers_ = 0;
        std::vector<std::pair<absl::Time, std::string>> ejected_;
        std::vector<std::pair<absl::Time, std::string>> leaving_;
    };
    auto zones = std::map<std::string, Zone> {};
    for (const auto &backend : pool.backends_) {
        const auto found = servers_.find(backend.name_);
        if (found != servers_.end() && found->second.isOut_) {
            continue;
        }
        auto &zone = zones[backend.zone_];
        zone.servers_ += 1;
        if (found == servers_.end()) {
            continue;
        }
        if (found->second.ejectedUntil_ > now) {
            zone.ejected_.emplace_back(found->second.ejectedUntil_, backend.name_);
        } else if (found->second.leavingSince_ < absl::InfiniteFuture()) {
            zone.leaving_.emplace_back(found->second.leavingSince_, backend.name_);
        }
    }
    auto heldOut = std::vector<std::string> {};
    for (auto &[name, zone] : zones) {
        // Beyond half the zone, those that come back last have failed most often, and those that were reported first stay out.
        std::sort(zone.ejected_.rbegin(), zone.ejected_.rend());
        std::sort(zone.leaving_.begin(), zone.leaving_.end());
        zone.ejected_.insert(zone.ejected_.end(), zone.leaving_.begin(), zone.leaving_.end());
        const auto count = std::min<std::size_t>(zone.ejected_.size(), static_cast<std::size_t>(zone.servers_ / 2));
        for (auto index = std::size_t { 0 }; index < count; ++index) {
            heldOut.push_back(zone.ejected_[index].second);
        }
    }
    return heldOut;
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
    const auto heldOut = heldOutOf(now, pool);
    for (const auto &backend : pool.backends_) {
        const auto found = servers_.find(backend.name_);
        if (found == servers_.end()) {
            continue;
        }
        if (found->second.isOut_) {
            exclusions.required_.push_back(backend.name_);
            continue;
        }
        const auto isHeldOut = std::find(heldOut.begin(), heldOut.end(), backend.name_) != heldOut.end();
        if (isHeldOut || isHeldBack(now, pool, backend.name_, found->second, requestHash)) {
            exclusions.preferred_.push_back(backend.name_);
        }
    }
    return exclusions;
}

}
