/** Age of the store state that this host holds, and key withdrawals that this state may not contain yet. */
#pragma once

#include "generated/peer_types.h"
#include "version/configuration.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <string>
#include <vector>

namespace lycheecleat
{

/** Whether the store state held by this host is recent enough to rely on its keys, and if not, why. */
enum class FreshnessState {
    /** The age of the store state is within the freshness bound. */
    Fresh,
    /** The store is down for all hosts; key withdrawals propagate between hosts instead. */
    StoreDown,
    /** This host is partitioned and may miss key withdrawals. */
    Isolated,
};

/** Name of a freshness state in logs and status responses. */
[[nodiscard]] auto freshnessStateName(FreshnessState state) -> const char *;

/** Whether one host reaches the store, and the age of this report. */
struct StoreReport
{
    std::string zone_;
    bool storeReachable_ = false;
    absl::Duration age_;
};

/** Inputs of determineFreshness. */
struct FreshnessInputs
{
    /** Age of the newest known store state. */
    absl::Duration age_ = absl::InfiniteDuration();
    /** Freshness bound: the age up to which a store state or a report counts as recent. */
    absl::Duration freshness_;
    /** Zones in which the store runs. */
    std::vector<std::string> storeZones_;
    /** All zones with a declared entry host, without duplicates. */
    std::vector<std::string> zones_;
    /** Reports of other hosts and of this host. */
    std::vector<StoreReport> reports_;
};

/**
 * Determines the freshness state. A stale state is StoreDown if all store zones and more than half of all zones have a recent report and no recent
 * report says that the store is reachable; otherwise it is Isolated. Without configured store zones it is never StoreDown, since a store outage
 * can't be distinguished from a partition.
 */
[[nodiscard]] auto determineFreshness(const FreshnessInputs &inputs) -> FreshnessState;

/** The zones that have a declared entry host, sorted. A key withdrawal must be confirmed by more than half of them. */
[[nodiscard]] auto zonesWithHosts(const Configuration &configuration) -> std::vector<std::string>;

/**
 * How recently the store must have responded to a host for the host to report it as reachable. Half the freshness bound, so that all hosts report
 * an outage before the store state of the first host becomes stale.
 */
[[nodiscard]] auto reachabilityWindow(absl::Duration freshness) -> absl::Duration;

/** The withdrawals whose keys are still active in a configuration; all of them if it has revision 0, that is, is not a stored revision. */
[[nodiscard]] auto pendingWithdrawals(const std::vector<peer::Withdrawal> &withdrawals, const Configuration &configuration) -> std::vector<peer::Withdrawal>;

/** Tracks the age of the store state, the peers' reports on the store, and pending key withdrawals. Thread-safe. Times are monotonic. */
class FreshnessTracker
{
public:
    /** The zone for which this host's own report on the store counts; empty if it does not count. */
    explicit FreshnessTracker(std::string zone = {});

    /** Records a response of the store to a request sent at the given time. The head revision in the store must already be active here. */
    auto recordStoreResponse(absl::Time sentAt) -> void;

    /** Records a peer's response to an exchange sent at the given time. The peer's revision must be at most the one that is active here. */
    auto recordPeerResponse(absl::Time sentAt, const peer::HostState &peer) -> void;

    /** The freshness state at a time, under the active configuration. */
    [[nodiscard]] auto stateAt(absl::Time now, const Configuration &configuration) const -> FreshnessState;

    /** Age of the newest known store state; infinite if none is known. */
    [[nodiscard]] auto ageAt(absl::Time now) const -> absl::Duration;

    /** Whether the store itself has responded to this host within the bound. */
    [[nodiscard]] auto storeReachable(absl::Time now, absl::Duration bound) const -> bool;

    /** Adds withdrawals that the configuration may not contain yet. Returns whether any of them is new. */
    auto addWithdrawals(const std::vector<peer::Withdrawal> &withdrawals) -> bool;

    /** Removes the withdrawals of keys that are not active in the configuration. */
    auto removeAppliedWithdrawals(const Configuration &configuration) -> void;

    /** All withdrawals held. */
    [[nodiscard]] auto withdrawals() const -> std::vector<peer::Withdrawal>;

    /** Whether one of the withdrawals held has this key digest. */
    [[nodiscard]] auto isWithdrawn(const std::string &digest) const -> bool;

private:
    struct PeerReport
    {
        std::string zone_;
        bool storeReachable_ = false;
        absl::Time lastSeenAt_;
    };

    std::string zone_;
    mutable absl::Mutex mutex_;
    /** The latest time for which this host has the store state. */
    absl::Time newestStateAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    absl::Time lastStoreResponseAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    absl::flat_hash_map<std::string, PeerReport> reports_ ABSL_GUARDED_BY(mutex_);
    /** Key identifier by key digest. */
    absl::flat_hash_map<std::string, std::string> withdrawnDigests_ ABSL_GUARDED_BY(mutex_);
};

}
