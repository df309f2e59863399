#include "process/backendselector.h"

#include <algorithm>
#include <optional>

namespace lycheecleat
{

namespace
{

// A new incarnation of the process starts without its predecessor's failures and load; requests in flight stay counted.
auto conditionIn(absl::flat_hash_map<std::string, BackendCondition> &conditions, const FleetBackend &backend) -> BackendCondition &
{
    auto &condition = conditions[backend.registration_.server_.name_];
    if (condition.incarnation_ != backend.registration_.incarnation_) {
        auto fresh = BackendCondition {};
        fresh.incarnation_ = backend.registration_.incarnation_;
        fresh.inFlight_ = condition.inFlight_;
        condition = std::move(fresh);
    }
    return condition;
}

auto isCold(const FleetBackend &backend, absl::Time now) -> bool
{
    return now < backend.coldUntil_;
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

auto BackendSelector::stateAt(absl::Time now, const FleetBackend &backend) -> BackendAvailability
{
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    return availabilityOf(conditionIn(shard.conditions_, backend), now);
}

auto BackendSelector::isColdRateLimitReached(absl::Time now, const FleetBackend &backend, const ColdRateLimitFunction &coldRateLimitOf) -> bool
{
    if (!isCold(backend, now)) {
        return false;
    }
    const auto rateLimit = coldRateLimitOf(backend);
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    return !hasColdCapacity(conditionIn(shard.conditions_, backend), now, rateLimit);
}

auto BackendSelector::begin(absl::Time now, const FleetBackend &backend, const ColdRateLimitFunction &coldRateLimitOf) -> bool
{
    const auto rateLimit = isCold(backend, now) ? std::optional(coldRateLimitOf(backend)) : std::nullopt;
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &condition = conditionIn(shard.conditions_, backend);
    if (rateLimit && !admitColdRequest(condition, now, *rateLimit)) {
        return false;
    }
    recordSend(condition, now);
    return true;
}

auto BackendSelector::choose(absl::Time now, const ChoiceRequest &request, const ColdRateLimitFunction &coldRateLimitOf) -> BackendChoice
{
    auto leastFull = BackendChoice { nullptr, ChoiceReason::LeastFull, absl::InfiniteDuration() };
    auto ejected = BackendChoice { nullptr, ChoiceReason::Ejected };
    for (auto rank = std::size_t { 0 }; rank < request.ranked_.size(); ++rank) {
        const auto *backend = request.ranked_[rank];
        const auto isTried = std::find(request.tried_.begin(), request.tried_.end(), backend->registration_.server_.name_) != request.tried_.end();
        if (isTried || isColdRateLimitReached(now, *backend, coldRateLimitOf)) {
            continue;
        }
        const auto state = stateAt(now, *backend);
        if (state.isEjected_) {
            ejected = ejected.backend_ == nullptr ? BackendChoice { backend, ChoiceReason::Ejected, state.wait_, rank } : ejected;
            continue;
        }
        if (state.isFull_) {
            if (state.wait_ < leastFull.wait_) {
                leastFull = { backend, ChoiceReason::LeastFull, state.wait_, rank };
            }
            continue;
        }
        if (begin(now, *backend, coldRateLimitOf)) {
            return { backend, rank == 0 ? ChoiceReason::First : ChoiceReason::Next, state.wait_, rank };
        }
    }
    if (leastFull.backend_ != nullptr && leastFull.wait_ > request.longestWait_) {
        return {};
    }
    for (const auto &choice : { leastFull, ejected }) {
        if (choice.backend_ != nullptr && begin(now, *choice.backend_, coldRateLimitOf)) {
            return choice;
        }
    }
    return {};
}

auto BackendSelector::end(absl::Time now, const FleetBackend &backend, const ExchangeResult &result) -> void
{
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &condition = conditionIn(shard.conditions_, backend);
    recordExchange(condition, now, result);
}

auto BackendSelector::abandon(absl::Time now, const FleetBackend &backend, absl::Duration duration) -> void
{
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    recordAbandoned(conditionIn(shard.conditions_, backend), now, duration);
}

}
