#include "process/organisationquotas.h"

#include "core/digest.h"
#include "process/hosttable.h"

#include <algorithm>
#include <map>

namespace lycheecleat
{

namespace
{

/** Longest time that asking takes for one request. */
constexpr auto maximumAskTime = absl::Milliseconds(400);

/**
 * Holders at one distance whose parts add up to this speak for the others there: if none of them has room, no further one is asked. Holders that did not
 * respond count for nothing, but no more of them are asked than this.
 */
constexpr auto conclusivePart = std::int64_t { 16 };
constexpr auto conclusiveRemotePart = std::int64_t { 32 };
constexpr auto maximumSilent = 2;

/**
 * After the second request that no holder admitted, none is asked for this long, and for twice as long after each further one. Silence counts as well: holders
 * that are too busy to answer would only get busier.
 */
constexpr auto minimumExhaustionPause = absl::Milliseconds(250);
constexpr auto maximumExhaustionLevel = 5;

/** Time for a holder's answer; longer than a round trip, and than a busy host needs to respond. */
constexpr auto regionTimeout = absl::Milliseconds(100);
constexpr auto remoteTimeout = absl::Milliseconds(300);

/** A holder that did not respond is not asked again for this long. */
constexpr auto silencePause = absl::Seconds(1);

/** Bounds of the time for which a holder that admitted no request is not asked again. Traffic between regions is charged for. */
constexpr auto minimumRegionPause = absl::Milliseconds(250);
constexpr auto minimumRemotePause = absl::Seconds(1);
constexpr auto maximumPause = absl::Seconds(5);

/** A process that has run for this many windows was not started together with all others. */
constexpr auto longRunWindows = 2;

// Whether at least half of the hosts that respond have run for long, so that they can serve while this one begins to hold its parts.
auto isMostlyEstablished(const ShareHosts &hosts) -> bool
{
    const auto responding = std::count_if(hosts.begin(), hosts.end(), [](const ShareHost &host) {
        return host.mayRespond_;
    });
    const auto established = std::count_if(hosts.begin(), hosts.end(), [](const ShareHost &host) {
        return host.mayRespond_ && host.isEstablished_;
    });
    return established * 2 >= responding;
}

/** A holder that admitted no request within this time is asked only after those that may still have room. */
constexpr auto failureMemory = absl::Seconds(2);

/** Questions that one host asks other regions, for all organisations: these links are limited, and when many organisations have used up their limits, few help.
 */
constexpr auto remoteQuestionsPerSecond = 30.0;
constexpr auto maximumRemoteQuestions = 60.0;

auto isRemote(const QuotaHolder &holder) -> bool
{
    return holder.distance_ == HolderDistance::Remote;
}

/** What the holders at one distance have answered for one request. */
struct DistanceAnswers
{
    /** Sum of the parts that were found exhausted. */
    std::int64_t exhausted_ = 0;
    int silent_ = 0;
};

auto isConclusive(const DistanceAnswers &answers, HolderDistance distance) -> bool
{
    const auto part = distance == HolderDistance::Remote ? conclusiveRemotePart : conclusivePart;
    return answers.exhausted_ >= part || answers.silent_ >= maximumSilent;
}

}

OrganisationQuotas::OrganisationQuotas(const std::string &hostName, absl::Time startedAt)
    : self_(static_cast<std::uint32_t>(hostHash(hostName)))
    , startedAt_(startedAt)
{
}

auto OrganisationQuotas::shardOf(const std::string &organisation) -> Shard &
{
    return shards_[stableHash(organisation) % shardCount];
}

auto OrganisationQuotas::takeRemoteQuestion(absl::Time now) -> bool
{
    const auto lock = absl::MutexLock(&remoteMutex_);
    const auto elapsed =
        remoteRefilledAt_ == absl::InfinitePast() ? maximumRemoteQuestions / remoteQuestionsPerSecond : absl::ToDoubleSeconds(now - remoteRefilledAt_);
    remoteQuestions_ = std::min(maximumRemoteQuestions, remoteQuestions_ + remoteQuestionsPerSecond * std::max(0.0, elapsed));
    remoteRefilledAt_ = now;
    const auto isTaken = remoteQuestions_ >= 1;
    remoteQuestions_ -= isTaken ? 1 : 0;
    return isTaken;
}

auto OrganisationQuotas::updatedState(absl::Time now, const QuotaQuery &query, Shard &shard) const -> OrganisationState &
{
    shard.mutex_.AssertHeld();
    auto &state = shard.organisations_[query.limits_.name_];
    const auto quota = fleetQuota(query.limits_, query.settings_);
    const auto isFirst = state.fleetQuota_ < 0;
    if (!isFirst && state.hosts_ == query.hosts_ && state.fleetQuota_ == quota) {
        return state;
    }
    const auto organisation = stableHash(query.limits_.name_);
    const auto hasHosts = query.hosts_ && !query.hosts_->empty();
    const auto holders = hasHosts ? partitionQuota(quota, *query.hosts_, organisation) : std::vector<QuotaHolder> {};
    const auto limit = hasHosts ? partOf(holders, self_) : quota;
    auto asker = ShareHost { self_ };
    for (const auto &host : hasHosts ? *query.hosts_ : ShareHosts {}) {
        asker = host.hash_ == self_ ? host : asker;
    }
    state.hosts_ = query.hosts_;
    state.fleetQuota_ = quota;
    state.others_ = std::make_shared<const std::vector<QuotaHolder>>(holdersToAsk(holders, asker, organisation));
    if (isFirst) {
        state.part_.since_ = startedAt_;
    } else if (state.part_.limit_ == 0 && limit > 0) {
        state.part_.since_ = now;
    }
    state.part_.limit_ = limit;
    const auto hasRunLong = now - startedAt_ > query.settings_.window_ * longRunWindows;
    state.part_.growth_ = hasRunLong || (hasHosts && isMostlyEstablished(*query.hosts_)) ? PartGrowth::AfterWindow : PartGrowth::Linear;
    return state;
}

auto OrganisationQuotas::admitOwn(absl::Time now, const QuotaQuery &query) -> QuotaDecision
{
    auto &shard = shardOf(query.limits_.name_);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &state = updatedState(now, query, shard);
    return admit(state.window_, now, state.part_, query.settings_.window_);
}

auto OrganisationQuotas::askable(absl::Time now, const std::string &organisation) -> std::vector<QuotaHolder>
{
    auto &shard = shardOf(organisation);
    const auto lock = absl::MutexLock(&shard.mutex_);
    const auto &state = shard.organisations_[organisation];
    if (now < state.exhaustedUntil_) {
        return {};
    }
    auto first = std::vector<QuotaHolder> {};
    auto failedLately = std::vector<QuotaHolder> {};
    for (const auto &holder : *state.others_) {
        const auto pause = state.pauses_.find(holder.host_.hash_);
        const auto hasFailed = pause != state.pauses_.end();
        if (!holder.host_.mayRespond_ || (hasFailed && now < pause->second.askAgainAt_)) {
            continue;
        }
        (hasFailed && now - pause->second.askedAt_ < failureMemory ? failedLately : first).push_back(holder);
    }
    first.insert(first.end(), failedLately.begin(), failedLately.end());
    return first;
}

auto OrganisationQuotas::recordOutcome(absl::Time now, const std::string &organisation, bool isAdmitted) -> void
{
    auto &shard = shardOf(organisation);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &state = shard.organisations_[organisation];
    if (isAdmitted) {
        state.exhaustionLevel_ = std::max(0, state.exhaustionLevel_ - 1);
        return;
    }
    if (state.exhaustionLevel_ > 0) {
        state.exhaustedUntil_ = now + minimumExhaustionPause * (1 << (state.exhaustionLevel_ - 1));
    }
    state.exhaustionLevel_ = std::min(maximumExhaustionLevel, state.exhaustionLevel_ + 1);
}

auto OrganisationQuotas::recordAnswer(absl::Time now, const std::string &organisation, const QuotaHolder &holder, const std::optional<QuotaAnswer> &answer)
    -> void
{
    unanswered_ += answer ? 0 : 1;
    admittedByOthers_ += answer && answer->isAdmitted_ ? 1 : 0;
    refusedByOthers_ += answer && !answer->isAdmitted_ ? 1 : 0;
    if (answer && answer->isAdmitted_) {
        return;
    }
    const auto minimumPause = isRemote(holder) ? minimumRemotePause : minimumRegionPause;
    const auto pause = answer ? std::clamp(answer->retryAfter_, minimumPause, maximumPause) : silencePause;
    auto &shard = shardOf(organisation);
    const auto lock = absl::MutexLock(&shard.mutex_);
    shard.organisations_[organisation].pauses_[holder.host_.hash_] = { now, now + pause };
}

auto OrganisationQuotas::admitRequest(absl::Time now, const QuotaQuery &query, const AskHolderFunction &ask) -> QuotaAdmission
{
    if (query.limits_.rate_ <= 0) {
        return { true, now };
    }
    const auto &organisation = query.limits_.name_;
    const auto own = admitOwn(now, query);
    auto admission = QuotaAdmission { own.isAdmitted_, now, {}, own };
    if (own.isAdmitted_ || !ask) {
        return admission;
    }
    const auto begunAt = now;
    const auto askUntil = std::min(query.deadline_, begunAt + maximumAskTime);
    auto answers = std::map<HolderDistance, DistanceAnswers> {};
    for (const auto &holder : askable(now, organisation)) {
        if (admission.isAdmitted_ || now >= askUntil) {
            break;
        }
        auto &sameDistance = answers[holder.distance_];
        if (isConclusive(sameDistance, holder.distance_)) {
            continue;
        }
        if (isRemote(holder) && !takeRemoteQuestion(now)) {
            break;
        }
        const auto timeout = isRemote(holder) ? remoteTimeout : regionTimeout;
        const auto exchange = ask(now, holder.host_, organisation, std::min(askUntil, now + timeout));
        now = exchange.at_;
        recordAnswer(now, organisation, holder, exchange.answer_);
        admission.asked_ += 1;
        admission.unanswered_ += exchange.answer_ ? 0 : 1;
        admission.isAdmitted_ = exchange.answer_ && exchange.answer_->isAdmitted_;
        admission.holder_ = admission.isAdmitted_ ? holder.host_.address_ : std::string {};
        sameDistance.silent_ += exchange.answer_ ? 0 : 1;
        sameDistance.exhausted_ += exchange.answer_ ? holder.limit_ : 0;
    }
    if (admission.asked_ > 0) {
        recordOutcome(now, organisation, admission.isAdmitted_);
    }
    admission.at_ = now;
    admission.askTime_ = now - begunAt;
    return admission;
}

auto OrganisationQuotas::admitForPeer(absl::Time now, const QuotaQuery &query) -> QuotaAnswer
{
    const auto decision = query.limits_.rate_ <= 0 ? QuotaDecision { true } : admitOwn(now, query);
    (decision.isAdmitted_ ? admittedForOthers_ : refusedToOthers_) += 1;
    return { decision.isAdmitted_, decision.retryAfter_ };
}

auto OrganisationQuotas::counts() const -> QuotaCounts
{
    return { admittedByOthers_, refusedByOthers_, unanswered_, admittedForOthers_, refusedToOthers_ };
}

}
