/** Follows the store's records, keeps this host registered, and catches up from peers when the store does not serve this host. */
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

/** What following needs; all outlive it. */
struct RecordReplicatorServices
{
    RecordStore store_;
    FleetState *state_ = nullptr;
    std::string hostName_;
    /** The registration to keep in the store. */
    std::string registration_;
    /** Addresses of hosts to ask while no peer is known. */
    std::vector<std::string> seeds_;
    /** Whether this host watches the store; otherwise peers bring its changes. */
    std::function<bool(absl::Time)> watchesStore_;
    /** Called when the store or a peer has brought changes. */
    std::function<void(absl::Time)> onRecordsChanged_;
};

/** Three threads: one watches the store, one keeps the registration, one fetches newer records from peers. Thread-safe. */
class RecordReplicator
{
public:
    explicit RecordReplicator(RecordReplicatorServices services);
    ~RecordReplicator();
    RecordReplicator(const RecordReplicator &) = delete;
    auto operator=(const RecordReplicator &) -> RecordReplicator & = delete;

    auto start() -> void;

    /** Ends the threads; a waiting watch delays it, so that a process that exits need not call it. */
    auto stop() -> void;

    /** A peer has newer records; they are fetched unless the store brings them first. */
    auto notifyNewerPeer(const NewerPeer &peer) -> void;

    /** Ends the registration of a host that leaves. */
    auto deregister() -> void;

private:
    auto runWatch() -> void;
    auto readAll() -> bool;
    auto watchOnce() -> bool;
    auto applyFromStore(const RecordBatch &batch) -> void;
    auto runRegistration() -> void;
    /** One registration or renewal; the time until the next. */
    auto registerOrRenew() -> absl::Duration;
    auto runPeerFetch() -> void;
    auto awaitNewerPeer() -> std::optional<NewerPeer>;
    auto fetchFrom(const std::string &peerAddress) -> bool;
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
