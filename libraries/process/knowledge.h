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
enum class KnowledgeState {
    /** The store's state is known and recent. */
    Fresh,
    /** The store is down for all hosts; withdrawals travel between hosts. */
    StoreDown,
    /** This host is cut off and cannot know of withdrawals. */
    Isolated,
};

/** Name of a knowledge state for log lines and status answers. */
[[nodiscard]] auto knowledgeStateName(KnowledgeState state) -> const char *;

/** Tracks knowledge age and pending withdrawals. Thread-safe. Times are monotonic. */
class Knowledge
{
public:
    /** The store answered a request that was sent at the given time; the head it holds is in force here. */
    auto storeAnswered(absl::Time sentAt) -> void;

    /** A peer answered an exchange sent at the given time. The peer's revision is at most the one in force here. */
    auto peerAnswered(absl::Time sentAt, const peer::HostState &peer) -> void;

    /** The state at a time, under the configuration in force. */
    [[nodiscard]] auto stateAt(absl::Time now, const Configuration &configuration) const -> KnowledgeState;

    /** Age of the newest known store state; infinite when there is none. */
    [[nodiscard]] auto ageAt(absl::Time now) const -> absl::Duration;

    /** Whether the store itself answered this host within the bound. */
    [[nodiscard]] auto storeReachable(absl::Time now, absl::Duration freshness) const -> bool;

    /** Records withdrawals that the configuration may not show yet. */
    auto addWithdrawals(const std::vector<peer::Withdrawal> &withdrawals) -> void;

    /** All withdrawals recorded. */
    [[nodiscard]] auto withdrawals() const -> std::vector<peer::Withdrawal>;

    /** Whether a key digest has been withdrawn by one of them. */
    [[nodiscard]] auto isWithdrawn(const std::string &digest) const -> bool;

private:
    struct PeerReport
    {
        std::string zone_;
        bool storeReachable_ = false;
        absl::Time heardAt_;
    };

    mutable absl::Mutex mutex_;
    /** The newest time at which the state of the store is known. */
    absl::Time knownAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    absl::Time storeAnsweredAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    absl::flat_hash_map<std::string, PeerReport> reports_ ABSL_GUARDED_BY(mutex_);
    absl::flat_hash_map<std::string, std::string> withdrawnDigests_ ABSL_GUARDED_BY(mutex_);
};

}
