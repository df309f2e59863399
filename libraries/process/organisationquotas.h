/** This host's parts of the organisations' rate limits, and admission by the hosts that hold the other parts. */
#pragma once

#include "request/quotapartition.h"
#include "request/windowquota.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** What a holder said when it was asked to admit a request. */
struct QuotaAnswer
{
    bool isAdmitted_ = false;
    /** Time until the holder may admit another request. */
    absl::Duration retryAfter_ = absl::ZeroDuration();

    auto operator==(const QuotaAnswer &other) const -> bool = default;
};

/** A holder's answer, none if it did not respond, and the monotonic time after it. */
struct HolderExchange
{
    std::optional<QuotaAnswer> answer_;
    absl::Time at_;
};

/** Asks a holder to admit a request of an organisation by a deadline. Blocks. */
using AskHolderFunction = std::function<HolderExchange(absl::Time now, const ShareHost &holder, const std::string &organisation, absl::Time deadline)>;

/** A request to be admitted. */
struct QuotaQuery
{
    const Organisation &limits_;
    QuotaSettings settings_;
    /** The hosts among which the limit is divided; empty if this host has all of it. */
    ShareHostsPointer hosts_;
    /** Holders are asked until then at the latest. */
    absl::Time deadline_ = absl::InfiniteFuture();
};

/** How a request was admitted, or that it was not. */
struct QuotaAdmission
{
    bool isAdmitted_ = false;
    /** When it was admitted. */
    absl::Time at_ = absl::InfinitePast();
    /** Address of the holder that admitted it; empty if this host did. */
    std::string holder_ = {};
    /** This host's part of the limit. */
    QuotaDecision own_ = {};
    /** Holders that were asked, those of them that did not respond, and the time that all took. */
    int asked_ = 0;
    int unanswered_ = 0;
    absl::Duration askTime_ = absl::ZeroDuration();
};

/** Numbers of admissions between hosts since the start. */
struct QuotaCounts
{
    std::int64_t admittedByOthers_ = 0;
    std::int64_t refusedByOthers_ = 0;
    std::int64_t unanswered_ = 0;
    std::int64_t admittedForOthers_ = 0;
    std::int64_t refusedToOthers_ = 0;

    auto operator==(const QuotaCounts &other) const -> bool = default;
};

/** Limits requests by organisation over a sliding window, in shards that have a mutex each. Thread-safe. Times are monotonic. */
class OrganisationQuotas
{
public:
    /** This host's name, and the time at which the process started. */
    OrganisationQuotas(const std::string &hostName, absl::Time startedAt);

    /**
     * Admits a request within this host's part of its organisation's limit; beyond that, asks the hosts that hold the other parts, the nearest first. A rate of
     * 0 or less is no limit.
     */
    [[nodiscard]] auto admitRequest(absl::Time now, const QuotaQuery &query, const AskHolderFunction &ask) -> QuotaAdmission;

    /** Admits a request of another host within this host's part of the limit. */
    [[nodiscard]] auto admitForPeer(absl::Time now, const QuotaQuery &query) -> QuotaAnswer;

    [[nodiscard]] auto counts() const -> QuotaCounts;

private:
    using Holders = std::shared_ptr<const std::vector<QuotaHolder>>;

    /** A holder that admitted no request when it was last asked. */
    struct HolderPause
    {
        absl::Time askedAt_;
        absl::Time askAgainAt_;
    };

    struct OrganisationState
    {
        /** What the parts were computed from. */
        ShareHostsPointer hosts_;
        std::int64_t fleetQuota_ = -1;
        /** This host's part; held since it was last none. */
        HeldPart part_;
        WindowQuota window_;
        /** The holders to ask, nearest first, and those of them that admitted no request or did not respond. */
        Holders others_;
        absl::flat_hash_map<std::uint64_t, HolderPause> pauses_;
        /** No holder is asked until then, since none had room; the level grows with each such request. */
        absl::Time exhaustedUntil_ = absl::InfinitePast();
        int exhaustionLevel_ = 0;
    };
    struct Shard
    {
        absl::Mutex mutex_;
        absl::flat_hash_map<std::string, OrganisationState> organisations_ ABSL_GUARDED_BY(mutex_);
    };
    static constexpr auto shardCount = std::size_t { 8 };

    auto shardOf(const std::string &organisation) -> Shard &;
    /** Whether a holder of another region may be asked now; counts it if so. */
    auto takeRemoteQuestion(absl::Time now) -> bool;
    /** The organisation's state, with parts for the hosts and the limit of the query. */
    auto updatedState(absl::Time now, const QuotaQuery &query, Shard &shard) const -> OrganisationState &;
    auto admitOwn(absl::Time now, const QuotaQuery &query) -> QuotaDecision;
    /** The holders that may be asked now, in this order: those that have not failed lately, the nearest first, and then the others. */
    auto askable(absl::Time now, const std::string &organisation) -> std::vector<QuotaHolder>;
    /** Records whether any of the holders that were asked for a request admitted it. */
    auto recordOutcome(absl::Time now, const std::string &organisation, bool isAdmitted) -> void;
    auto recordAnswer(absl::Time now, const std::string &organisation, const QuotaHolder &holder, const std::optional<QuotaAnswer> &answer) -> void;

    const std::uint64_t self_;
    const absl::Time startedAt_;
    std::array<Shard, shardCount> shards_;
    absl::Mutex remoteMutex_;
    /** Questions to other regions that may be asked now (token bucket). */
    double remoteQuestions_ ABSL_GUARDED_BY(remoteMutex_) = 0;
    absl::Time remoteRefilledAt_ ABSL_GUARDED_BY(remoteMutex_) = absl::InfinitePast();
    std::atomic<std::int64_t> admittedByOthers_ = 0;
    std::atomic<std::int64_t> refusedByOthers_ = 0;
    std::atomic<std::int64_t> unanswered_ = 0;
    std::atomic<std::int64_t> admittedForOthers_ = 0;
    std::atomic<std::int64_t> refusedToOthers_ = 0;
};

}
