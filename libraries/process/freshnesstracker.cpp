#include "process/freshnesstracker.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace lycheecleat
{

namespace
{

auto hasRecentReport(const FreshnessInputs &inputs, const std::string &zone) -> bool
{
    return std::any_of(inputs.reports_.begin(), inputs.reports_.end(), [&](const StoreReport &report) {
        return report.zone_ == zone && report.age_ <= inputs.freshness_;
    });
}

auto isStoreReachableByAny(const FreshnessInputs &inputs) -> bool
{
    return std::any_of(inputs.reports_.begin(), inputs.reports_.end(), [&](const StoreReport &report) {
        return report.storeReachable_ && report.age_ <= inputs.freshness_;
    });
}

auto hasReportsFromMajority(const FreshnessInputs &inputs) -> bool
{
    const auto reportingZones = std::count_if(inputs.zones_.begin(), inputs.zones_.end(), [&](const std::string &zone) {
        return hasRecentReport(inputs, zone);
    });
    return static_cast<std::size_t>(reportingZones) * 2 > inputs.zones_.size();
}

auto hasReportsFromStoreZones(const FreshnessInputs &inputs) -> bool
{
    return !inputs.storeZones_.empty() && std::all_of(inputs.storeZones_.begin(), inputs.storeZones_.end(), [&](const std::string &zone) {
        return hasRecentReport(inputs, zone);
    });
}

/** Whether the configuration has an active key with this digest. */
auto isActive(const Configuration &configuration, const std::string &digest) -> bool
{
    return std::any_of(configuration.keys_.begin(), configuration.keys_.end(), [&](const Key &key) {
        return key.digest_ == digest && key.active_;
    });
}

}

auto freshnessStateName(FreshnessState state) -> const char *
{
    switch (state) {
    case FreshnessState::Fresh:
        return "fresh";
    case FreshnessState::StoreDown:
        return "store_down";
    case FreshnessState::Isolated:
        return "isolated";
    }
    return "isolated";
}

auto determineFreshness(const FreshnessInputs &inputs) -> FreshnessState
{
    if (inputs.age_ <= inputs.freshness_) {
        return FreshnessState::Fresh;
    }
    if (hasReportsFromStoreZones(inputs) && !isStoreReachableByAny(inputs) && hasReportsFromMajority(inputs)) {
        return FreshnessState::StoreDown;
    }
    return FreshnessState::Isolated;
}

auto zonesWithHosts(const Configuration &configuration) -> std::vector<std::string>
{
    auto zones = std::set<std::string> {};
    for (const auto &host : configuration.entryHosts_) {
        zones.insert(host.zone_);
    }
    return { zones.begin(), zones.end() };
}

auto reachabilityWindow(absl::Duration freshness) -> absl::Duration
{
    return freshness / 2;
}

auto pendingWithdrawals(const std::vector<peer::Withdrawal> &withdrawals, const Configuration &configuration) -> std::vector<peer::Withdrawal>
{
    auto pending = std::vector<peer::Withdrawal> {};
    std::copy_if(withdrawals.begin(), withdrawals.end(), std::back_inserter(pending), [&](const peer::Withdrawal &withdrawal) {
        return configuration.revision_ == 0 || isActive(configuration, withdrawal.digest);
    });
    return pending;
}

FreshnessTracker::FreshnessTracker(std::string zone)
    : zone_(std::move(zone))
{
}

auto FreshnessTracker::recordStoreResponse(absl::Time sentAt) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    newestStateAt_ = std::max(newestStateAt_, sentAt);
    lastStoreResponseAt_ = std::max(lastStoreResponseAt_, sentAt);
}

auto FreshnessTracker::recordPeerResponse(absl::Time sentAt, const peer::HostState &peer) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    auto &report = reports_[peer.name];
    if (report.zone_.empty() || report.lastSeenAt_ <= sentAt) {
        report = PeerReport { peer.zone, peer.storeReachable, sentAt };
    }
    if (peer.knowledgeAgeMicros >= 0) {
        newestStateAt_ = std::max(newestStateAt_, sentAt - absl::Microseconds(peer.knowledgeAgeMicros));
    }
}

auto FreshnessTracker::stateAt(absl::Time now, const Configuration &configuration) const -> FreshnessState
{
    const auto freshness = configuration.platform_.freshness_;
    // This runs for every keyed request; the reports are needed only if the store state is stale.
    if (ageAt(now) <= freshness) {
        return FreshnessState::Fresh;
    }
    auto inputs = FreshnessInputs { ageAt(now), freshness, configuration.platform_.storeZones_, zonesWithHosts(configuration), {} };
    if (!zone_.empty()) {
        inputs.reports_.push_back(StoreReport { zone_, storeReachable(now, reachabilityWindow(freshness)), absl::ZeroDuration() });
    }
    const auto lock = absl::ReaderMutexLock(&mutex_);
    for (const auto &[name, report] : reports_) {
        inputs.reports_.push_back(StoreReport { report.zone_, report.storeReachable_, now - report.lastSeenAt_ });
    }
    return determineFreshness(inputs);
}

auto FreshnessTracker::ageAt(absl::Time now) const -> absl::Duration
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return now - newestStateAt_;
}

auto FreshnessTracker::storeReachable(absl::Time now, absl::Duration bound) const -> bool
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return now - lastStoreResponseAt_ <= bound;
}

auto FreshnessTracker::addWithdrawals(const std::vector<peer::Withdrawal> &withdrawals) -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    auto added = false;
    for (const auto &withdrawal : withdrawals) {
        added |= withdrawnDigests_.try_emplace(withdrawal.digest, withdrawal.keyId).second;
    }
    return added;
}

auto FreshnessTracker::removeAppliedWithdrawals(const Configuration &configuration) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    absl::erase_if(withdrawnDigests_, [&](const auto &entry) {
        return !isActive(configuration, entry.first);
    });
}

auto FreshnessTracker::withdrawals() const -> std::vector<peer::Withdrawal>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    auto all = std::vector<peer::Withdrawal> {};
    for (const auto &[digest, keyId] : withdrawnDigests_) {
        auto withdrawal = peer::Withdrawal {};
        withdrawal.keyId = keyId;
        withdrawal.digest = digest;
        all.push_back(withdrawal);
    }
    return all;
}

auto FreshnessTracker::isWithdrawn(const std::string &digest) const -> bool
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return withdrawnDigests_.contains(digest);
}

}
