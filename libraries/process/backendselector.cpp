#include "process/backendselector.h"

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

/** How long the state of an incarnation is kept after it was last in a view. A draining server is in no view, and may end its draining. */
constexpr auto unregisteredLifetime = absl::Minutes(10);

auto isCold(const FleetBackend &backend, absl::Time now) -> bool
{
    return now < backend.coldUntil_;
}

auto isTried(const ChoiceRequest &request, const FleetBackend &backend) -> bool
{
    return std::find(request.tried_.begin(), request.tried_.end(), backend.registration_.server_.name_) != request.tried_.end();
}

auto registeredIncarnations(const FleetView &view) -> absl::flat_hash_set<IncarnationKey>
{
    auto keys = absl::flat_hash_set<IncarnationKey> {};
    for (const auto &[service, backends] : view.backends_) {
        for (const auto &backend : backends) {
            keys.emplace(backend.registration_.server_.name_, backend.registration_.incarnation_);
        }
    }
    return keys;
}

}

auto choiceReasonName(ChoiceReason reason) -> std::string_view
{
    switch (reason) {
    case ChoiceReason::First:
        return "first";
    case ChoiceReason::Next:
        return "next";
    case ChoiceReason::LeastFull:
        return "least-full";
    case ChoiceReason::Ejected:
        return "ejected";
    }
    return "first";
}

auto BackendSelector::shardOf(const FleetBackend &backend) const -> Shard &
{
    return shards_[backend.hash_ % shardCount];
}

// Incarnations are kept side by side: a request that uses an older view must not replace the state of the newer incarnation.
auto BackendSelector::conditionIn(absl::flat_hash_map<std::string, Incarnations> &incarnations, const FleetBackend &backend) -> BackendCondition &
{
    auto &tracked = incarnations[backend.registration_.server_.name_];
    for (auto &incarnation : tracked) {
        if (incarnation.condition_.incarnation_ == backend.registration_.incarnation_) {
            return incarnation.condition_;
        }
    }
    tracked.push_back({ {}, absl::InfinitePast() });
    tracked.back().condition_.incarnation_ = backend.registration_.incarnation_;
    return tracked.back().condition_;
}

auto BackendSelector::stateAt(absl::Time now, const FleetBackend &backend, const ColdRateLimitFunction &coldRateLimitOf) -> BackendAvailability
{
    const auto rateLimit = isCold(backend, now) ? std::optional(coldRateLimitOf(backend)) : std::nullopt;
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    return availabilityOf({ conditionIn(shard.incarnations_, backend), backend.usableUntil_, rateLimit }, now);
}

auto BackendSelector::begin(absl::Time now, const FleetBackend &backend, const ColdRateLimitFunction &coldRateLimitOf, bool isLastResortAllowed)
    -> BackendAvailability
{
    const auto rateLimit = isCold(backend, now) ? std::optional(coldRateLimitOf(backend)) : std::nullopt;
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &condition = conditionIn(shard.incarnations_, backend);
    auto state = availabilityOf({ condition, backend.usableUntil_, rateLimit }, now);
    const auto restriction = state.admission_.restriction_;
    if (restriction != BackendRestriction::None && !(isLastResortAllowed && isLastResort(restriction))) {
        return state;
    }
    if (rateLimit && !admitColdRequest(condition, now, *rateLimit)) {
        state.admission_ = { BackendRestriction::ColdRateReached, now };
        return state;
    }
    recordSend(condition, now);
    state.admission_ = {};
    return state;
}

auto BackendSelector::choose(absl::Time now, const ChoiceRequest &request, const ColdRateLimitFunction &coldRateLimitOf) -> BackendChoice
{
    auto leastFull = BackendChoice { nullptr, ChoiceReason::LeastFull, absl::InfiniteDuration() };
    auto ejected = BackendChoice { nullptr, ChoiceReason::Ejected };
    for (auto rank = std::size_t { 0 }; rank < request.ranked_.size(); ++rank) {
        const auto *backend = request.ranked_[rank];
        if (isTried(request, *backend)) {
            continue;
        }
        const auto state = begin(now, *backend, coldRateLimitOf, false);
        const auto restriction = state.admission_.restriction_;
        if (restriction == BackendRestriction::None) {
            return { backend, rank == 0 ? ChoiceReason::First : ChoiceReason::Next, state.wait_, rank };
        }
        countRestriction(restriction);
        if (restriction == BackendRestriction::Ejected && ejected.backend_ == nullptr) {
            ejected = { backend, ChoiceReason::Ejected, state.wait_, rank };
        }
        if (restriction == BackendRestriction::Full && state.wait_ < leastFull.wait_) {
            leastFull = { backend, ChoiceReason::LeastFull, state.wait_, rank };
        }
    }
    if (leastFull.backend_ != nullptr && leastFull.wait_ > request.longestWait_) {
        return {};
    }
    for (const auto &choice : { leastFull, ejected }) {
        if (choice.backend_ != nullptr && begin(now, *choice.backend_, coldRateLimitOf, true).admission_.restriction_ == BackendRestriction::None) {
            return choice;
        }
    }
    return {};
}

auto BackendSelector::returnOf(absl::Time now, const ChoiceRequest &request, const ColdRateLimitFunction &coldRateLimitOf) -> BackendReturn
{
    auto untried = std::vector<BackendAdmission> {};
    auto all = std::vector<BackendAdmission> {};
    auto hasFreeBackend = false;
    for (const auto *backend : request.ranked_) {
        const auto state = stateAt(now, *backend, coldRateLimitOf);
        all.push_back(state.admission_);
        if (!isTried(request, *backend)) {
            untried.push_back({ state.admission_.restriction_, std::max(now, state.admission_.until_) + state.serviceTime_ });
            hasFreeBackend = hasFreeBackend || (state.admission_.restriction_ == BackendRestriction::None && !state.isReturning_);
        }
    }
    return { earliestReturn(untried), earliestReturn(all), hasFreeBackend };
}

auto BackendSelector::countRestriction(BackendRestriction restriction) -> void
{
    if (restriction == BackendRestriction::Leaving) {
        keptFromLeaving_ += 1;
    }
    if (restriction == BackendRestriction::Paused || restriction == BackendRestriction::Returning) {
        keptFromPaused_ += 1;
    }
}

auto BackendSelector::maySend(absl::Time now, const FleetBackend &backend) -> bool
{
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    return !forbidsSending(admissionOf({ conditionIn(shard.incarnations_, backend), backend.usableUntil_ }, now).restriction_);
}

auto BackendSelector::cancel(const FleetBackend &backend) -> void
{
    cancelled_ += 1;
    release(backend);
}

auto BackendSelector::release(const FleetBackend &backend) -> void
{
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    recordCancelled(conditionIn(shard.incarnations_, backend));
}

auto BackendSelector::mark(absl::Time now, const FleetBackend &backend, const BackendSignals &signals, absl::Time sentAt, absl::Duration returnDelay)
    -> MarkChange
{
    ignoredHeaders_ += static_cast<std::int64_t>(signals.problems_.size());
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    const auto change = recordSignals(conditionIn(shard.incarnations_, backend), now, signals, sentAt, returnDelay);
    leavingMarks_ += change.beganLeaving_ ? 1 : 0;
    pauseMarks_ += change.pausedUntil_ ? 1 : 0;
    limits_ += change.limit_ && !change.limit_->before_ ? 1 : 0;
    return change;
}

auto BackendSelector::end(absl::Time now, const FleetBackend &backend, const ExchangeResult &result, absl::Time sentAt) -> void
{
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &condition = conditionIn(shard.incarnations_, backend);
    sentDespiteMark_ += wasSentDespiteMark(condition, sentAt) ? 1 : 0;
    recordExchange(condition, now, result);
}

auto BackendSelector::abandon(absl::Time now, const FleetBackend &backend, absl::Duration duration) -> void
{
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    recordAbandoned(conditionIn(shard.incarnations_, backend), now, duration);
}

auto BackendSelector::endMarks(absl::Time now, const FleetView &view) -> std::vector<EndedMark>
{
    const auto registered = registeredIncarnations(view);
    auto ended = std::vector<EndedMark> {};
    for (auto &shard : shards_) {
        const auto lock = absl::MutexLock(&shard.mutex_);
        for (auto &entry : shard.incarnations_) {
            endMarksOf(now, entry.first, entry.second, registered, ended);
        }
        absl::erase_if(shard.incarnations_, [](const auto &entry) {
            return entry.second.empty();
        });
    }
    return ended;
}

auto BackendSelector::endMarksOf(absl::Time now,
                                 const std::string &name,
                                 Incarnations &incarnations,
                                 const absl::flat_hash_set<IncarnationKey> &registered,
                                 std::vector<EndedMark> &ended) -> void
{
    for (auto &incarnation : incarnations) {
        const auto number = incarnation.condition_.incarnation_;
        if (incarnation.lastRegisteredAt_ == absl::InfinitePast() || registered.contains({ name, number })) {
            incarnation.lastRegisteredAt_ = now;
        }
        if (endPause(incarnation.condition_, now)) {
            ended.push_back({ name, number, BackendRestriction::Paused });
        }
    }
    std::erase_if(incarnations, [&](const TrackedIncarnation &incarnation) {
        const auto &condition = incarnation.condition_;
        const auto isForgotten = now - incarnation.lastRegisteredAt_ > unregisteredLifetime && condition.inFlight_ == 0;
        if (isForgotten && condition.leavingSince_) {
            ended.push_back({ name, condition.incarnation_, BackendRestriction::Leaving });
        }
        return isForgotten;
    });
}

auto BackendSelector::signalCounts() const -> SignalCounts
{
    return { leavingMarks_, pauseMarks_, limits_, ignoredHeaders_, keptFromLeaving_, keptFromPaused_, cancelled_, sentDespiteMark_ };
}

}
