/** What this host knows of the store's state, how old that is, and which keys were withdrawn since. */
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

/** Whether keyed requests may be served, and why. */
enum class FreshnessState {
    /** The store's state is known and recent. */
    Fresh,
    /** The store is down for all hosts; withdrawals travel between hosts. */
    StoreDown,
    /** This host is cut off and cannot know of withdrawals. */
    Isolated,
};

/** Name of a knowledge state for log lines and status answers. */
[[nodiscard]] auto freshnessStateName(FreshnessState state) -> const char *;

/** What one host said about the store, and how long ago it was heard. */
struct StoreReport
{
    std::string zone_;
    bool storeReachable_ = false;
    absl::Duration age_;
};

/** Everything the knowledge state depends on. */
struct FreshnessInputs
{
    /** Age of the newest known store state. */
    absl::Duration age_ = absl::InfiniteDuration();
    absl::Duration freshness_;
    /** Zones that hold the store. */
    std::vector<std::string> storeZones_;
    /** All zones with a declared entry host, each once. */
    std::vector<std::string> zones_;
    /** Reports of other hosts and of this host. */
    std::vector<StoreReport> reports_;
};

/** Decides the state. A host without store zones in its configuration never takes the store to be down, since it can't tell that from a partition. */
[[nodiscard]] auto determineFreshness(const FreshnessInputs &inputs) -> FreshnessState;

/** The zones that have a declared entry host, sorted. More than half of them confirm a withdrawal. */
[[nodiscard]] auto zonesWithHosts(const Configuration &configuration) -> std::vector<std::string>;

/** How recently a host must have been answered by the store to report it as reachable. Half the freshness bound, so that every report has
 * turned before the first host's knowledge becomes stale. */
[[nodiscard]] auto reachabilityWindow(absl::Duration freshness) -> absl::Duration;

/** The withdrawals of keys that a configuration still holds as active; all of them when it is not a stored revision. */
[[nodiscard]] auto pendingWithdrawals(const std::vector<peer::Withdrawal> &withdrawals, const Configuration &configuration) -> std::vector<peer::Withdrawal>;

/** Tracks knowledge age and pending withdrawals. Thread-safe. Times are monotonic. */
class FreshnessTracker
{
public:
    /** Zone of this host, whose own report counts for it; empty when it is not to count. */
    explicit FreshnessTracker(std::string zone = {});

    /** The store answered a request that was sent at the given time; the head it holds is in force here. */
    auto recordStoreResponse(absl::Time sentAt) -> void;

    /** A peer answered an exchange sent at the given time. The peer's revision is at most the one in force here. */
    auto recordPeerResponse(absl::Time sentAt, const peer::HostState &peer) -> void;

    /** The state at a time, under the configuration in force. */
    [[nodiscard]] auto stateAt(absl::Time now, const Configuration &configuration) const -> FreshnessState;

    /** Age of the newest known store state; infinite when there is none. */
    [[nodiscard]] auto ageAt(absl::Time now) const -> absl::Duration;

    /** Whether the store itself answered this host within the bound. */
    [[nodiscard]] auto storeReachable(absl::Time now, absl::Duration bound) const -> bool;

    /** Records withdrawals that the configuration may not show yet. Says whether one of them is new. */
    auto addWithdrawals(const std::vector<peer::Withdrawal> &withdrawals) -> bool;

    /** Forgets the withdrawals of keys that the configuration no longer holds as active. */
    auto removeAppliedWithdrawals(const Configuration &configuration) -> void;

    /** All withdrawals recorded. */
    [[nodiscard]] auto withdrawals() const -> std::vector<peer::Withdrawal>;

    /** Whether a key digest has been withdrawn by one of them. */
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
    /** The newest time at which the state of the store is known. */
    absl::Time newestStateAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    absl::Time lastStoreResponseAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    absl::flat_hash_map<std::string, PeerReport> reports_ ABSL_GUARDED_BY(mutex_);
    /** Key identifier by key digest. */
    absl::flat_hash_map<std::string, std::string> withdrawnDigests_ ABSL_GUARDED_BY(mutex_);
};

}
