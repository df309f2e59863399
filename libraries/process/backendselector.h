/** Selects the backend server for a request, from what this host has observed of all backend servers. */
#pragma once

#include "request/backendadmission.h"
#include "version/fleetview.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheecleat
{

/** Why a backend server was chosen. */
enum class ChoiceReason {
    /** First in the object's ranking. */
    First,
    /** Those ranked before it were restricted or already tried. */
    Next,
    /** None has room; this one has the shortest expected wait of the full ones. */
    LeastFull,
    /** It is ejected, but no other can be chosen. */
    Ejected,
};

[[nodiscard]] auto choiceReasonName(ChoiceReason reason) -> std::string_view;

/** A chosen backend server. */
struct BackendChoice
{
    /** Null when none may be sent the request. */
    const FleetBackend *backend_ = nullptr;
    ChoiceReason reason_ = ChoiceReason::First;
    /** Expected wait at the backend server before the request runs. */
    absl::Duration wait_ = absl::ZeroDuration();
    /** Position in the object's ranking, from 0. */
    std::size_t rank_ = 0;
    /** Whether the request has a permit under the backend server's limit. */
    bool hasPermit_ = false;
};

/** A request for which a backend server is chosen. */
struct ChoiceRequest
{
    /** Backend servers in the order of the object's ranking. */
    const std::vector<const FleetBackend *> &ranked_;
    /** Names of those that were already tried for the request; they are not chosen again. */
    const std::vector<std::string> &tried_;
    /** When no backend server has room and the shortest expected wait of the full ones is longer than this, none is chosen. */
    absl::Duration longestWait_ = absl::InfiniteDuration();
    /**
     * Asks for a permit for a backend server that has reached its limit. Returns the monotonic time after it if the server may be tried again; blocks. May be
     * empty.
     */
    std::function<std::optional<absl::Time>(const FleetBackend &)> acquirePermit_ = nullptr;
};

/** When backend servers that asked for no requests return. A time is absent if one of the servers is restricted for another reason. */
struct BackendReturn
{
    /** Earliest time at which one that was not tried for the request may have served it. */
    std::optional<absl::Time> servedAt_;
    /** Earliest time at which one of all, tried or not, may get requests. */
    std::optional<absl::Time> returnAt_;
    /** Whether one that was not tried has no restriction, and does not return from a pause either. */
    bool hasFreeBackend_ = false;
    /** Whether one of all, tried or not, has reached its limit. */
    bool isLimitReached_ = false;
};

/** Counts of the signals of backend servers and their effects since the start of the process. */
struct SignalCounts
{
    std::int64_t leavingMarks_ = 0;
    std::int64_t pauseMarks_ = 0;
    /** Limits that began. */
    std::int64_t limits_ = 0;
    std::int64_t ignoredHeaders_ = 0;
    /** Choices in which a server was passed over because it is leaving, paused or returning from a pause. */
    std::int64_t keptFromLeaving_ = 0;
    std::int64_t keptFromPaused_ = 0;
    /** Choices in which a server was passed over because it has reached its limit. */
    std::int64_t keptFromLimited_ = 0;
    /** Permits that this host was granted, was refused, and asked for in vain. */
    std::int64_t permitsGranted_ = 0;
    std::int64_t permitsRefused_ = 0;
    std::int64_t permitsUnanswered_ = 0;
    /** Permits that this host has issued. */
    std::int64_t permitsIssued_ = 0;
    /** Requests that were chosen for a server before it was marked, and not sent. */
    std::int64_t cancelled_ = 0;
    /** Requests that were sent to a server after it was marked. */
    std::int64_t sentDespiteMark_ = 0;
};

/** Name and incarnation of a backend server. */
using IncarnationKey = std::pair<std::string, std::int64_t>;

/** A mark of a backend server that has ended. */
struct EndedMark
{
    std::string backend_;
    std::int64_t incarnation_ = 0;
    BackendRestriction restriction_ = BackendRestriction::Paused;
};

/** Returns this host's rate limit for a cold backend server. */
using ColdRateLimitFunction = std::function<ColdRateLimit(const FleetBackend &)>;

/**
 * Tracks the load, failures and signals of each incarnation of a backend server as observed in this host's own exchanges, in shards that have a mutex
 * each. Thread-safe. Times are monotonic.
 */
class BackendSelector
{
public:
    /**
     * Chooses the first ranked backend server without a restriction; failing that, the full one with the shortest expected wait; failing that, the first
     * ejected one. Counts the request as in flight there.
     */
    [[nodiscard]] auto choose(absl::Time now, const ChoiceRequest &request, const ColdRateLimitFunction &coldRateLimitOf) -> BackendChoice;

    /** When the ranked backend servers return, if they get no requests because of their own signals. */
    [[nodiscard]] auto returnOf(absl::Time now, const ChoiceRequest &request, const ColdRateLimitFunction &coldRateLimitOf) -> BackendReturn;

    /** State of a backend server as this host has observed it. */
    [[nodiscard]] auto stateAt(absl::Time now, const FleetBackend &backend, const ColdRateLimitFunction &coldRateLimitOf) -> BackendAvailability;

    /** Whether a chosen request that is not sent yet may still be sent. */
    [[nodiscard]] auto maySend(absl::Time now, const BackendChoice &choice) -> bool;

    /** Records that a permit for a backend server is asked for, and returns what is known of its limit; none when no permit may be asked for now. */
    [[nodiscard]] auto beginAsking(absl::Time now, const FleetBackend &backend) -> std::optional<KnownLimit>;

    /** Records the answer of the issuer; none when there was none in time. Returns whether the backend server may be tried again. */
    [[nodiscard]] auto endAsking(absl::Time now, const FleetBackend &backend, const std::optional<PermitAnswer> &answer) -> bool;

    /** Issues a permit to a host that knows the given limit, if one is available. */
    [[nodiscard]] auto issuePermit(absl::Time now, const KnownLimit &known) -> PermitAnswer;

    /** Records what a peer knows of a limit. Returns what that changed. */
    auto applyLimit(const KnownLimit &known) -> std::optional<LimitChange>;

    /** Whether any server has named a limit since the start of the process. */
    [[nodiscard]] auto hasHeardOfLimits() const -> bool;

    /** The latest statements about limits after a time, at most as many as a datagram should hold. */
    [[nodiscard]] auto limitsSince(absl::Time since) const -> std::vector<KnownLimit>;

    /** Records that a chosen request is not sent because its backend server was marked; it is then no longer in flight. */
    auto cancel(const FleetBackend &backend) -> void;

    /** Records that a chosen request is not sent because its caller has left; it is then no longer in flight. */
    auto release(const FleetBackend &backend) -> void;

    /** Records the signals of a response to a request that was sent at a time. The pause is extended by the host's delay of return. */
    auto mark(absl::Time now, const FleetBackend &backend, const BackendSignals &signals, absl::Time sentAt, absl::Duration returnDelay) -> MarkChange;

    /** Records the result of an exchange whose request was sent at a time, if at all, and is then no longer in flight. */
    auto end(absl::Time now, const FleetBackend &backend, const ExchangeResult &result, absl::Time sentAt = absl::InfinitePast()) -> void;

    /** Records that the caller disconnected this long after the request was sent; the request is then no longer in flight. */
    auto abandon(absl::Time now, const FleetBackend &backend, absl::Duration duration) -> void;

    /** Forgets pauses that have ended, and incarnations that have not been in a view for long. Returns the marks that ended. */
    auto endMarks(absl::Time now, const FleetView &view) -> std::vector<EndedMark>;

    [[nodiscard]] auto signalCounts() const -> SignalCounts;

private:
    struct TrackedIncarnation
    {
        BackendCondition condition_;
        absl::Time lastRegisteredAt_;
        /** Permits that this host may issue. */
        PermitBucket issuable_;
    };
    /** The incarnations of one backend server; nearly always one. */
    using Incarnations = std::vector<TrackedIncarnation>;
    struct Shard
    {
        mutable absl::Mutex mutex_;
        absl::flat_hash_map<std::string, Incarnations> incarnations_ ABSL_GUARDED_BY(mutex_);
    };
    static constexpr auto shardCount = std::size_t { 16 };

    [[nodiscard]] auto shardOf(const std::string &backendName) const -> Shard &;
    [[nodiscard]] auto shardOf(const FleetBackend &backend) const -> Shard &;
    [[nodiscard]] static auto incarnationIn(absl::flat_hash_map<std::string, Incarnations> &incarnations, const std::string &backendName, std::int64_t number)
        -> TrackedIncarnation &;
    [[nodiscard]] static auto conditionIn(absl::flat_hash_map<std::string, Incarnations> &incarnations, const FleetBackend &backend) -> BackendCondition &;
    /** Notes that the statement of a limit may be news to peers. */
    auto noteLimit(const LimitStatement &statement) -> void;
    /** Counts the request as in flight if the backend server has no restriction, or only one that a last resort may override. */
    [[nodiscard]] auto begin(absl::Time now, const FleetBackend &backend, const ColdRateLimitFunction &coldRateLimitOf, bool isLastResortAllowed)
        -> BackendAvailability;
    static auto endMarksOf(absl::Time now,
                           const std::string &name,
                           Incarnations &incarnations,
                           const absl::flat_hash_set<IncarnationKey> &registered,
                           std::vector<EndedMark> &ended) -> void;
    auto countRestriction(BackendRestriction restriction) -> void;

    mutable std::array<Shard, shardCount> shards_;
    std::atomic<std::int64_t> leavingMarks_ = 0;
    std::atomic<std::int64_t> pauseMarks_ = 0;
    std::atomic<std::int64_t> limits_ = 0;
    std::atomic<std::int64_t> ignoredHeaders_ = 0;
    std::atomic<std::int64_t> keptFromLeaving_ = 0;
    std::atomic<std::int64_t> keptFromPaused_ = 0;
    std::atomic<std::int64_t> keptFromLimited_ = 0;
    std::atomic<std::int64_t> permitsGranted_ = 0;
    std::atomic<std::int64_t> permitsRefused_ = 0;
    std::atomic<std::int64_t> permitsUnanswered_ = 0;
    std::atomic<std::int64_t> permitsIssued_ = 0;
    /** Monotonic time of the newest statement about a limit, in milliseconds; 0 when there is none. */
    std::atomic<std::int64_t> newestLimitMillis_ = 0;
    std::atomic<std::int64_t> cancelled_ = 0;
    std::atomic<std::int64_t> sentDespiteMark_ = 0;
};

}
