#include "request/backendhealth.h"

#include "core/digest.h"

#include <algorithm>
#include <map>
#include <set>

namespace lycheecleat
{

namespace
{

/** Consecutive failures after which a server is ejected; a single failure may be caused by its request. */
constexpr auto failuresToEject = 3;

constexpr auto firstEjection = absl::Seconds(1);
constexpr auto maximumEjection = absl::Seconds(30);
constexpr auto maximumDoublings = 5;

/** First backoff for a server that closes its connections. By the end of it, the host list marks a server that is shutting down as leaving. */
constexpr auto firstClosingBackoff = absl::Seconds(2);

/** Upper bound of the backoff, which doubles as long as every further response closes its connection. */
constexpr auto maximumClosingBackoff = absl::Seconds(30);

/** Fraction of its requests that a server gets at the start of slow start; without requests it would never warm up. */
constexpr auto minimumSlowStartShare = 0.1;

auto ejectionBackoff(int ejections) -> absl::Duration
{
    return std::min(firstEjection * (1 << std::min(ejections, maximumDoublings)), maximumEjection);
}

auto closingBackoff(int consecutiveClosings) -> absl::Duration
{
    return std::min(firstClosingBackoff * (1 << std::min(consecutiveClosings, maximumDoublings)), maximumClosingBackoff);
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
            const auto previous = servers_.find(backend.name_);
            auto server = previous == servers_.end() ? Server {} : previous->second;
            const auto isDrainedOrLeaving = isDrained(configuration, backend) || leavingNames.count(backend.name_) > 0;
            // The servers of a host's first configuration are warm, since other hosts have been sending to them.
            const auto isNew = previous == servers_.end() && hasConfiguration_;
            if (!isDrainedOrLeaving && (isNew || server.isDrainedOrLeaving_)) {
                server.slowStartAt_ = now;
            }
            server.isDrainedOrLeaving_ = isDrainedOrLeaving;
            next[backend.name_] = server;
        }
    }
    servers_ = std::move(next);
    hasConfiguration_ = true;
}

auto BackendHealth::recordExchange(absl::Time now, const std::string &backend, ExchangeHealth health) -> void
{
    const auto found = servers_.find(backend);
    if (found == servers_.end()) {
        return;
    }
    auto &server = found->second;
    if (health == ExchangeHealth::Success || health == ExchangeHealth::Closing) {
        server.failures_ = 0;
        server.ejections_ = 0;
        server.consecutiveClosings_ = health == ExchangeHealth::Closing ? server.consecutiveClosings_ : 0;
        // Responses to requests that were already in flight don't extend the backoff.
        if (health == ExchangeHealth::Closing && server.closingUntil_ <= now) {
            server.closingUntil_ = now + closingBackoff(server.consecutiveClosings_);
            server.consecutiveClosings_ += 1;
        }
        return;
    }
    server.failures_ += health == ExchangeHealth::Unreachable ? failuresToEject : 1;
    // Failures of requests that were already in flight at the ejection don't extend it.
    if (server.failures_ >= failuresToEject && server.ejectedUntil_ <= now) {
        server.ejectedUntil_ = now + ejectionBackoff(server.ejections_);
        server.ejections_ += 1;
        server.failures_ = 0;
    }
}

auto BackendHealth::recordReport(absl::Time now, const std::string &backend, const HealthReport &report) -> bool
{
    const auto found = servers_.find(backend);
    if (found == servers_.end()) {
        return false;
    }
    auto &server = found->second;
    // A closed connection indicates that the server is leaving only if its health endpoint has kept a connection open before.
    const auto isLeaving = report.draining_ || (report.closing_ && server.hasKeptConnection_);
    server.hasKeptConnection_ = server.hasKeptConnection_ || !report.closing_;
    if (server.isReportedDraining_ && !isLeaving) {
        server.slowStartAt_ = now;
    }
    server.isReportedDraining_ = isLeaving && (server.isReportedDraining_ || report.draining_);
    const auto wasLeaving = server.leavingSince_ < absl::InfiniteFuture();
    if (isLeaving != wasLeaving) {
        server.leavingSince_ = isLeaving ? now : absl::InfiniteFuture();
    }
    return isLeaving != wasLeaving;
}

auto BackendHealth::cappedExclusions(absl::Time now, const Pool &pool) const -> std::vector<std::string>
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
        if (found != servers_.end() && found->second.isDrainedOrLeaving_) {
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
    auto excluded = std::vector<std::string> {};
    for (auto &[name, zone] : zones) {
        // If more than half of the zone qualifies, exclude first the servers whose ejection ends last, since they have failed most often, and then those
        // that have been reported as leaving for longest.
        std::sort(zone.ejected_.rbegin(), zone.ejected_.rend());
        std::sort(zone.leaving_.begin(), zone.leaving_.end());
        zone.ejected_.insert(zone.ejected_.end(), zone.leaving_.begin(), zone.leaving_.end());
        const auto count = std::min<std::size_t>(zone.ejected_.size(), static_cast<std::size_t>(zone.servers_ / 2));
        for (auto index = std::size_t { 0 }; index < count; ++index) {
            excluded.push_back(zone.ejected_[index].second);
        }
    }
    return excluded;
}

auto BackendHealth::isAvoidedFor(absl::Time now, const Pool &pool, const std::string &name, const Server &server, std::uint64_t requestHash) const -> bool
{
    if (server.closingUntil_ > now) {
        return true;
    }
    const auto startedAt = std::max(server.slowStartAt_, server.ejectedUntil_);
    if (pool.slowStart_ <= absl::ZeroDuration() || startedAt > now || now - startedAt >= pool.slowStart_) {
        return false;
    }
    const auto share = std::max(minimumSlowStartShare, absl::FDivDuration(now - startedAt, pool.slowStart_));
    return unitInterval(stableHash(name, requestHash)) >= share;
}

auto BackendHealth::exclusions(absl::Time now, const Pool &pool, std::uint64_t requestHash) const -> Exclusions
{
    auto exclusions = Exclusions {};
    const auto excluded = cappedExclusions(now, pool);
    for (const auto &backend : pool.backends_) {
        const auto found = servers_.find(backend.name_);
        if (found == servers_.end()) {
            continue;
        }
        if (found->second.isDrainedOrLeaving_) {
            exclusions.required_.push_back(backend.name_);
            continue;
        }
        const auto isExcluded = std::find(excluded.begin(), excluded.end(), backend.name_) != excluded.end();
        if (isExcluded || isAvoidedFor(now, pool, backend.name_, found->second, requestHash)) {
            exclusions.preferred_.push_back(backend.name_);
        }
    }
    return exclusions;
}

}
