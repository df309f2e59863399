/** Replicates the store's records to this host, keeps the host registered, and fetches records from peers when the store does not serve this host. */
#pragma once

#include "process/fleetstate.h"
#include "process/hostgossip.h"
#include "process/recordstore.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lycheecleat
{

/** Dependencies of a RecordReplicator; all must outlive it. */
struct RecordReplicatorServices
{
    RecordStore store_;
    FleetState *state_ = nullptr;
    std::string hostName_;
    /** Encoded registration to keep in the store. */
    std::string registration_;
    /** Peer addresses to fetch the first records from while no peer has announced newer ones. */
    std::vector<std::string> seeds_;
    /** Whether this host watches the store; otherwise it receives the changes from peers. */
    std::function<bool(absl::Time)> watchesStore_;
    /** Called after changes from the store or a peer have been applied. */
    std::function<void(absl::Time)> onRecordsChanged_;
    /** Called when a watch or read has failed after the last call had succeeded. */
    std::function<void(absl::Time)> onStoreLost_;
};

/** Runs three threads: one watches the store, one keeps the registration, one fetches newer records from peers. Thread-safe. */
class RecordReplicator
{
public:
    explicit RecordReplicator(RecordReplicatorServices services);
    ~RecordReplicator();
    RecordReplicator(const RecordReplicator &) = delete;
    auto operator=(const RecordReplicator &) -> RecordReplicator & = delete;

    auto start() -> void;

    /** Stops and joins the threads, which takes until pending calls such as a watch return. A process that exits need not call it. */
    auto stop() -> void;

    /** Reports a peer with newer records; they are fetched from it unless the store delivers them first. */
    auto notifyNewerPeer(const NewerPeer &peer) -> void;

    /** Removes the registration of this host, which is shutting down, and stops renewing it. */
    auto deregister() -> void;

private:
    auto runWatch() -> void;
    auto readAll() -> bool;
    auto watchOnce() -> bool;
    auto applyFromStore(const RecordBatch &batch) -> void;
    auto runRegistration() -> void;
    /** Registers the host or renews its lease. Returns the time until the next call. */
    auto registerOrRenew() -> absl::Duration;
    auto runPeerFetch() -> void;
    auto awaitNewerPeer() -> std::optional<NewerPeer>;
    auto fetchFromPeer(const std::string &peerAddress) -> bool;
    auto fetchFromSeeds() -> void;

    const RecordReplicatorServices services_;
    absl::Notification stopping_;
    absl::Mutex mutex_;
    std::optional<NewerPeer> newerPeer_ ABSL_GUARDED_BY(mutex_);
    std::optional<HostLease> lease_ ABSL_GUARDED_BY(mutex_);
    bool isLeaving_ ABSL_GUARDED_BY(mutex_) = false;
    std::vector<std::thread> threads_;
};

}
