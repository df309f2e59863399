#include "process/knowledge.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace lycheecleat
{

namespace
{

auto isHeardFrom(const KnowledgeFacts &facts, const std::string &zone) -> bool
{
    return std::any_of(facts.reports_.begin(), facts.reports_.end(), [&](const StoreReport &report) {
        return report.zone_ == zone && report.age_ <= facts.freshness_;
    });
}

auto anyReachesStore(const KnowledgeFacts &facts) -> bool
{
    return std::any_of(facts.reports_.begin(), facts.reports_.end(), [&](const StoreReport &report) {
        return report.storeReachable_ && report.age_ <= facts.freshness_;
    });
}

auto hearsMajority(const KnowledgeFacts &facts) -> bool
{
    const auto heard = std::count_if(facts.zones_.begin(), facts.zones_.end(), [&](const std::string &zone) {
        return isHeardFrom(facts, zone);
    });
    return static_cast<std::size_t>(heard) * 2 > facts.zones_.size();
}

auto hearsStoreZones(const KnowledgeFacts &facts) -> bool
{
    return !facts.storeZones_.empty() && std::all_of(facts.storeZones_.begin(), facts.storeZones_.end(), [&](const std::string &zone) {
        return isHeardFrom(facts, zone);
    });
}

/** Whether the configuration holds a key with this digest as active. */
auto isActive(const Configuration &configuration, const std::string &digest) -> bool
{
    return std::any_of(configuration.keys_.begin(), configuration.keys_.end(), [&](const Key &key) {
        return key.digest_ == digest && key.active_;
    });
}

}

auto knowledgeStateName(KnowledgeState state) -> const char *
{
    switch (state) {
    case KnowledgeState::Fresh:
        return "fresh";
    case KnowledgeState::StoreDown:
        return "store_down";
    case KnowledgeState::Isolated:
        return "isolated";
    }
    return "isolated";
}

auto decideKnowledge(const KnowledgeFacts &facts) -> KnowledgeState
{
    if (facts.age_ <= facts.freshness_) {
        return KnowledgeState::Fresh;
    }
    if (hearsStoreZones(facts) && !anyReachesStore(facts) && hearsMajority(facts)) {
        return KnowledgeState::StoreDown;
    }
    return KnowledgeState::Isolated;
}

auto zonesWithHosts(const Configuration &configuration) -> std::vector<std::string>
{
    auto zones = std::set<std::string> {};
    for (const auto &host : configuration.entryHosts_) {
        zones.insert(host.zone_);
    }
    return { zones.begin(), zones.end() };
}

auto reachableBound(absl::Duration freshness) -> absl::Duration
{
    return freshness / 2;
}

auto withdrawalsNotShown(const std::vector<peer::Withdrawal> &withdrawals, const Configuration &configuration) -> std::vector<peer::Withdrawal>
{
    auto kept = std::vector<peer::Withdrawal> {};
    std::copy_if(withdrawals.begin(), withdrawals.end(), std::back_inserter(kept), [&](const peer::Withdrawal &withdrawal) {
        return configuration.revision_ == 0 || isActive(configuration, withdrawal.digest);
    });
    return kept;
}

Knowledge::Knowledge(std::string zone)
    : zone_(std::move(zone))
{
}

auto Knowledge::storeAnswered(absl::Time sentAt) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    knownAt_ = std::max(knownAt_, sentAt);
    storeAnsweredAt_ = std::max(storeAnsweredAt_, sentAt);
}

auto Knowledge::peerAnswered(absl::Time sentAt, const peer::HostState &peer) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    auto &report = reports_[peer.name];
    if (report.zone_.empty() || report.heardAt_ <= sentAt) {
        report = PeerReport { peer.zone, peer.storeReachable, sentAt };
    }
    if (peer.knowledgeAgeMicros >= 0) {
        knownAt_ = std::max(knownAt_, sentAt - absl::Microseconds(peer.knowledgeAgeMicros));
    }
}

auto Knowledge::stateAt(absl::Time now, const Configuration &configuration) const -> KnowledgeState
{
    const auto freshness = configuration.platform_.freshness_;
    // Every keyed request asks for the state; only stale knowledge needs the reports.
    if (ageAt(now) <= freshness) {
        return KnowledgeState::Fresh;
    }
    auto facts = KnowledgeFacts { ageAt(now), freshness, configuration.platform_.storeZones_, zonesWithHosts(configuration), {} };
    if (!zone_.empty()) {
        facts.reports_.push_back(StoreReport { zone_, storeReachable(now, reachableBound(freshness)), absl::ZeroDuration() });
    }
    const auto lock = absl::ReaderMutexLock(&mutex_);
    for (const auto &[name, report] : reports_) {
        facts.reports_.push_back(StoreReport { report.zone_, report.storeReachable_, now - report.heardAt_ });
    }
    return decideKnowledge(facts);
}

auto Knowledge::ageAt(absl::Time now) const -> absl::Duration
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return now - knownAt_;
}

auto Knowledge::storeReachable(absl::Time now, absl::Duration bound) const -> bool
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return now - storeAnsweredAt_ <= bound;
}

auto Knowledge::addWithdrawals(const std::vector<peer::Withdrawal> &withdrawals) -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    auto added = false;
    for (const auto &withdrawal : withdrawals) {
        added |= withdrawnDigests_.try_emplace(withdrawal.digest, withdrawal.keyId).second;
    }
    return added;
}

auto Knowledge::removeShownWithdrawals(const Configuration &configuration) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    absl::erase_if(withdrawnDigests_, [&](const auto &entry) {
        return !isActive(configuration, entry.first);
    });
}

auto Knowledge::withdrawals() const -> std::vector<peer::Withdrawal>
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

auto Knowledge::isWithdrawn(const std::string &digest) const -> bool
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return withdrawnDigests_.contains(digest);
}

}
