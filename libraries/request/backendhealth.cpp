#include "request/backendhealth.h"

#include "core/digest.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

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

/** The servers of one zone that are neither drained nor leaving by the host list. */
struct ZoneHealth
{
    std::size_t servers_ = 0;
    /** End of the ejection and name. */
    std::vector<std::pair<absl::Time, std::string>> ejected_;
    /** Whether the server is in use, since when it has been reported as leaving, and name. */
    std::vector<std::tuple<bool, absl::Time, std::string>> leaving_;
};

// The servers of a zone to exclude. Reports come first, since a server that leaves must get no new work whatever is ejected. Of more reports than may count,
// those of ejected servers are the most likely to be right, then the oldest ones; of the other ejected servers, those whose ejection ends last have failed
// most often.
auto excludedOf(ZoneHealth zone) -> std::set<std::string>
{
    const auto half = zone.servers_ / 2;
    auto excluded = std::set<std::string> {};
    auto ejectedCount = std::size_t { 0 };
    std::sort(zone.leaving_.begin(), zone.leaving_.end());
    for (const auto &[isInUse, since, name] : zone.leaving_) {
        if (excluded.size() < half) {
            excluded.insert(name);
            ejectedCount += isInUse ? 0 : 1;
        }
    }
    std::sort(zone.ejected_.rbegin(), zone.ejected_.rend());
    for (const auto &[until, name] : zone.ejected_) {
        if (ejectedCount < half && excluded.size() + 1 < zone.servers_ && excluded.insert(name).second) {
            ejectedCount += 1;
        }
    }
    return excluded;
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
    auto zones = std::map<std::string, ZoneHealth> {};
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
        const auto isEjected = found->second.ejectedUntil_ > now;
        if (isEjected) {
            zone.ejected_.emplace_back(found->second.ejectedUntil_, backend.name_);
        }
        if (found->second.leavingSince_ < absl::InfiniteFuture()) {
            zone.leaving_.emplace_back(!isEjected, found->second.leavingSince_, backend.name_);
        }
    }
    auto excluded = std::vector<std::string> {};
    for (auto &[name, zone] : zones) {
        const auto names = excludedOf(std::move(zone));
        excluded.insert(excluded.end(), names.begin(), names.end());
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
