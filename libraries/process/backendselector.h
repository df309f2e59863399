/** Selects the backend server for a request, from what this host has observed of all backend servers. */
#pragma once

#include "request/backendcondition.h"
#include "version/fleetview.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Why a backend server was chosen. */
enum class ChoiceReason {
    /** First in the object's ranking. */
    First,
    /** Those ranked before it were full, ejected or already tried, or cold with this host's rate limit used up. */
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
};

/** Returns this host's rate limit for a cold backend server. */
using ColdRateLimitFunction = std::function<ColdRateLimit(const FleetBackend &)>;

/**
 * Tracks the load and failures of each backend server as observed in this host's own exchanges, in shards that have a mutex each. Thread-safe. Times are
 * monotonic.
 */
class BackendSelector
{
public:
    /**
     * Chooses the first ranked backend server that is neither full nor ejected; failing that, the full one with the shortest expected wait; failing
     * that, the first ejected one. Counts the request as in flight there. A cold backend server is chosen only within this host's rate limit for it.
     */
    [[nodiscard]] auto choose(absl::Time now, const ChoiceRequest &request, const ColdRateLimitFunction &coldRateLimitOf) -> BackendChoice;

    /** State of a backend server as this host has observed it. */
    [[nodiscard]] auto stateAt(absl::Time now, const FleetBackend &backend) -> BackendAvailability;

    /** Records the result of an exchange, whose request is then no longer in flight. */
    auto end(absl::Time now, const FleetBackend &backend, const ExchangeResult &result) -> void;

    /** Records that the caller disconnected this long after the request was sent; the request is then no longer in flight. */
    auto abandon(absl::Time now, const FleetBackend &backend, absl::Duration duration) -> void;

private:
    struct Shard
    {
        mutable absl::Mutex mutex_;
        absl::flat_hash_map<std::string, BackendCondition> conditions_ ABSL_GUARDED_BY(mutex_);
    };
    static constexpr auto shardCount = std::size_t { 16 };

    [[nodiscard]] auto shardOf(const FleetBackend &backend) const -> Shard &;
    /** Whether the backend server is cold and this host's rate limit for it is used up. */
    [[nodiscard]] auto isColdRateLimitReached(absl::Time now, const FleetBackend &backend, const ColdRateLimitFunction &coldRateLimitOf) -> bool;
    /** Counts the request as in flight; false when the rate limit for a cold backend server has been used up meanwhile. */
    [[nodiscard]] auto begin(absl::Time now, const FleetBackend &backend, const ColdRateLimitFunction &coldRateLimitOf) -> bool;

    mutable std::array<Shard, shardCount> shards_;
};

}
