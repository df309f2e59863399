#include "process/backendselector.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

/** How long the state of an incarnation is kept after it was last in a view. A draining server is in no view, and may end its draining. */
constexpr auto unregisteredLifetime = absl::Minutes(10);

/** Statements about limits that a datagram may hold, at some 40 bytes each. */
constexpr auto maximumListedLimits = std::size_t { 16 };

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

auto BackendSelector::shardOf(const std::string &backendName) const -> Shard &
{
    return shards_[stableHash(backendName) % shardCount];
}

auto BackendSelector::shardOf(const FleetBackend &backend) const -> Shard &
{
    return shardOf(backend.registration_.server_.name_);
}

// Incarnations are kept side by side: a request that uses an older view must not replace the state of the newer incarnation.
auto BackendSelector::incarnationIn(absl::flat_hash_map<std::string, Incarnations> &incarnations, const std::string &backendName, std::int64_t number)
    -> TrackedIncarnation &
{
    auto &tracked = incarnations[backendName];
    for (auto &incarnation : tracked) {
        if (incarnation.condition_.incarnation_ == number) {
            return incarnation;
        }
    }
    tracked.push_back({ {}, absl::InfinitePast(), {} });
    tracked.back().condition_.incarnation_ = number;
    return tracked.back();
}

auto BackendSelector::conditionIn(absl::flat_hash_map<std::string, Incarnations> &incarnations, const FleetBackend &backend) -> BackendCondition &
{
    return incarnationIn(incarnations, backend.registration_.server_.name_, backend.registration_.incarnation_).condition_;
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
    if (state.limit_) {
        usePermit(condition.permits_);
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
        auto state = begin(now, *backend, coldRateLimitOf, false);
        if (state.lacksOnlyPermit_ && request.acquirePermit_) {
            if (const auto askedUntil = request.acquirePermit_(*backend)) {
                now = *askedUntil;
                state = begin(now, *backend, coldRateLimitOf, false);
            }
        }
        const auto restriction = state.admission_.restriction_;
        if (restriction == BackendRestriction::None) {
            return { backend, rank == 0 ? ChoiceReason::First : ChoiceReason::Next, state.wait_, rank, state.limit_.has_value() };
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
    for (auto choice : { leastFull, ejected }) {
        if (choice.backend_ == nullptr) {
            continue;
        }
        const auto state = begin(now, *choice.backend_, coldRateLimitOf, true);
        if (state.admission_.restriction_ == BackendRestriction::None) {
            choice.hasPermit_ = state.limit_.has_value();
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
    auto isLimitReached = false;
    for (const auto *backend : request.ranked_) {
        const auto state = stateAt(now, *backend, coldRateLimitOf);
        all.push_back(state.admission_);
        isLimitReached = isLimitReached || state.admission_.restriction_ == BackendRestriction::LimitReached;
        if (!isTried(request, *backend)) {
            untried.push_back({ state.admission_.restriction_, std::max(now, state.admission_.until_) + state.serviceTime_ });
            hasFreeBackend = hasFreeBackend || (state.admission_.restriction_ == BackendRestriction::None && !state.isReturning_);
        }
    }
    return { earliestReturn(untried), earliestReturn(all), hasFreeBackend, isLimitReached };
}

auto BackendSelector::countRestriction(BackendRestriction restriction) -> void
{
    if (restriction == BackendRestriction::Leaving) {
        keptFromLeaving_ += 1;
    }
    if (restriction == BackendRestriction::Paused || restriction == BackendRestriction::Returning) {
        keptFromPaused_ += 1;
    }
    if (restriction == BackendRestriction::LimitReached) {
        keptFromLimited_ += 1;
    }
}

auto BackendSelector::maySend(absl::Time now, const BackendChoice &choice) -> bool
{
    const auto &backend = *choice.backend_;
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    const auto input = AdmissionInput { conditionIn(shard.incarnations_, backend), backend.usableUntil_, std::nullopt, choice.hasPermit_ };
    return !forbidsSending(admissionOf(input, now).restriction_);
}

auto BackendSelector::beginAsking(absl::Time now, const FleetBackend &backend) -> std::optional<KnownLimit>
{
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &condition = conditionIn(shard.incarnations_, backend);
    if (!mayAsk(condition.permits_, now)) {
        return std::nullopt;
    }
    recordAsk(condition.permits_);
    return KnownLimit { backend.registration_.server_.name_, condition.incarnation_, condition.limit_ };
}

auto BackendSelector::endAsking(absl::Time now, const FleetBackend &backend, const std::optional<PermitAnswer> &answer) -> bool
{
    permitsUnanswered_ += answer ? 0 : 1;
    permitsGranted_ += answer && answer->decision_.isGranted_ ? 1 : 0;
    permitsRefused_ += answer && !answer->decision_.isGranted_ ? 1 : 0;
    auto &shard = shardOf(backend);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &condition = conditionIn(shard.incarnations_, backend);
    recordAnswer(condition.permits_, now, answer ? std::optional(answer->decision_) : std::nullopt);
    if (!answer) {
        return false;
    }
    condition.limit_ = laterStatement(condition.limit_, answer->statement_);
    return answer->decision_.isGranted_ || !condition.limit_.requestsPerSecond_;
}

auto BackendSelector::issuePermit(absl::Time now, const KnownLimit &known) -> PermitAnswer
{
    auto &shard = shardOf(known.backend_);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &incarnation = incarnationIn(shard.incarnations_, known.backend_, known.incarnation_);
    auto &statement = incarnation.condition_.limit_;
    statement = laterStatement(statement, known.statement_);
    noteLimit(statement);
    if (!statement.requestsPerSecond_) {
        return { {}, statement };
    }
    const auto decision = takePermit(incarnation.issuable_, now, *statement.requestsPerSecond_);
    permitsIssued_ += decision.isGranted_ ? 1 : 0;
    return { decision, statement };
}

auto BackendSelector::applyLimit(const KnownLimit &known) -> std::optional<LimitChange>
{
    auto &shard = shardOf(known.backend_);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &condition = incarnationIn(shard.incarnations_, known.backend_, known.incarnation_).condition_;
    const auto change = recordLimit(condition, laterStatement(condition.limit_, known.statement_));
    noteLimit(condition.limit_);
    limits_ += change && !change->before_ ? 1 : 0;
    return change;
}

auto BackendSelector::limitsSince(absl::Time since) const -> std::vector<KnownLimit>
{
    auto found = std::vector<KnownLimit> {};
    if (newestLimitMillis_ <= absl::ToUnixMillis(since)) {
        return found;
    }
    for (auto &shard : shards_) {
        const auto lock = absl::MutexLock(&shard.mutex_);
        for (const auto &[name, incarnations] : shard.incarnations_) {
            for (const auto &incarnation : incarnations) {
                const auto &condition = incarnation.condition_;
                if (condition.limit_.at_ > since) {
                    found.push_back({ name, condition.incarnation_, condition.limit_ });
                }
            }
        }
    }
    std::sort(found.begin(), found.end(), [](const KnownLimit &left, const KnownLimit &right) {
        return left.statement_.at_ > right.statement_.at_;
    });
    found.resize(std::min(found.size(), maximumListedLimits));
    return found;
}

auto BackendSelector::hasHeardOfLimits() const -> bool
{
    return newestLimitMillis_ > 0;
}

auto BackendSelector::noteLimit(const LimitStatement &statement) -> void
{
    if (statement.at_ == absl::InfinitePast()) {
        return;
    }
    const auto millis = absl::ToUnixMillis(statement.at_);
    auto newest = newestLimitMillis_.load();
    while (newest < millis && !newestLimitMillis_.compare_exchange_weak(newest, millis)) { }
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
    auto &condition = conditionIn(shard.incarnations_, backend);
    const auto change = recordSignals(condition, now, signals, sentAt, returnDelay);
    leavingMarks_ += change.beganLeaving_ ? 1 : 0;
    pauseMarks_ += change.pausedUntil_ ? 1 : 0;
    limits_ += change.limit_ && !change.limit_->before_ ? 1 : 0;
    noteLimit(condition.limit_);
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
    return { leavingMarks_,   pauseMarks_,        limits_,        ignoredHeaders_, keptFromLeaving_, keptFromPaused_, keptFromLimited_, permitsGranted_,
             permitsRefused_, permitsUnanswered_, permitsIssued_, cancelled_,      sentDespiteMark_ };
}

}
