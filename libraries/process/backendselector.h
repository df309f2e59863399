/** Conditions of all backend servers, as this host has seen them. */
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
    /** First in the object's order. */
    First,
    /** The ones before it were full, cold, ejected or tried. */
    Next,
    /** All are full; this one least. */
    LeastFull,
    /** All others are ejected. */
    Ejected,
};

[[nodiscard]] auto choiceReasonName(ChoiceReason reason) -> std::string_view;

/** A chosen backend server. */
struct BackendChoice
{
    /** Null when there is none that may be sent the request. */
    const FleetBackend *backend_ = nullptr;
    ChoiceReason reason_ = ChoiceReason::First;
    /** Wait to expect there. */
    absl::Duration wait_ = absl::ZeroDuration();
    /** Place in the object's order, from 0. */
    std::size_t rank_ = 0;
};

/** What a backend server is chosen for. */
struct ChoiceRequest
{
    /** Backend servers in the object's order. */
    const std::vector<const FleetBackend *> &ranked_;
    /** Names of those that have had the request. */
    const std::vector<std::string> &tried_;
    /** Longest expected wait with which it is worth sending. */
    absl::Duration longestWait_ = absl::InfiniteDuration();
};

/** Allowance of this host for a cold backend server. */
using ColdAllowanceFunction = std::function<ColdRateLimit(const FleetBackend &)>;

/** Keeps conditions in shards, each under its own lock. Thread-safe. Times are monotonic. */
class BackendSelector
{
public:
    /**
     * Chooses among ranked backend servers and counts the request as in flight there. A cold backend server is chosen only within this host's
     * allowance.
     */
    [[nodiscard]] auto choose(absl::Time now, const ChoiceRequest &request, const ColdAllowanceFunction &cold) -> BackendChoice;

    /** The condition of a backend server, as far as this host knows. */
    [[nodiscard]] auto stateAt(absl::Time now, const FleetBackend &backend) -> BackendAvailability;

    /** Records how an exchange ended. */
    auto end(absl::Time now, const FleetBackend &backend, const ExchangeResult &report) -> void;

    /** Records that the caller left, a time after the request was sent. */
    auto abandon(absl::Time now, const FleetBackend &backend, absl::Duration duration) -> void;

private:
    struct Shard
    {
        mutable absl::Mutex mutex_;
        absl::flat_hash_map<std::string, BackendCondition> conditions_ ABSL_GUARDED_BY(mutex_);
    };
    static constexpr auto shardCount = std::size_t { 16 };

    [[nodiscard]] auto shardOf(const FleetBackend &backend) const -> Shard &;
    /** Whether a cold backend server's allowance is used up. */
    [[nodiscard]] auto isColdAllowanceUsed(absl::Time now, const FleetBackend &backend, const ColdAllowanceFunction &cold) -> bool;
    /** Counts the request; false when the cold allowance has been used up meanwhile. */
    [[nodiscard]] auto begin(absl::Time now, const FleetBackend &backend, const ColdAllowanceFunction &cold) -> bool;

    mutable std::array<Shard, shardCount> shards_;
};

}
