/** What this host knows of its deployment: the records, and the view that requests use. */
#pragma once

#include "process/recordreplica.h"
#include "process/recordstore.h"
#include "version/fleetview.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Keeps the records and builds views from them. Thread-safe. Times are monotonic. */
class FleetState
{
public:
    FleetState(ZoneRegions zones, const std::string &ownZone, RecordDecoders decoders);

    /** Takes over changes that the store told, and logs what they change. */
    auto applyFromStore(absl::Time now, const RecordBatch &batch) -> void;

    /**
     * Takes over changes that another host told, and logs what they change. Whether a removal is a lapse is what the host says that heard it from the
     * store, which may have been cut off by itself: a host whose own contact with the store never broke knows that the store was not away.
     */
    auto applyFromPeer(absl::Time now, const RecordBatch &batch, const std::string &peerAddress) -> void;

    /** The newest view. */
    [[nodiscard]] auto view() const -> FleetViewPointer;

    /** What has changed after a revision, for a peer. */
    [[nodiscard]] auto changesAfter(std::int64_t revision) const -> RecordBatch;

    /** The records are complete up to this revision. */
    [[nodiscard]] auto asOf() const -> std::int64_t;

    /** Registrations of entry hosts, by name. */
    [[nodiscard]] auto hostRegistrations() const -> std::map<std::string, std::string>;

    /** Notes that the store answers or that it does not, which decides what a missing registration means. */
    auto updateStoreContact(absl::Time now, bool isReachable) -> void;

    /** Whether the store answered the last call. */
    [[nodiscard]] auto reachesStore() const -> bool;

    /** Monotonic time at which the store last answered. */
    [[nodiscard]] auto lastStoreAnswerAt() const -> absl::Time;

private:
    /** A backend server as last decoded from its record. */
    struct KnownBackend
    {
        FleetBackend backend_;
        std::int64_t revision_ = 0;
    };

    auto apply(absl::Time now, const RecordBatch &batch, const std::string &source) -> void;
    [[nodiscard]] auto hasContinuousContact(absl::Time now) const -> bool;
    auto applyRecord(absl::Time now, const FleetRecord &record, const std::string &source) -> void;
    auto applyPolicy(const FleetRecord &record, const std::string &source) -> void;
    auto applyBackend(absl::Time now, const FleetRecord &record, const std::string &source) -> void;
    auto applyEvacuation(absl::Time now, const FleetRecord &record, const std::string &source) -> void;
    auto removeBackend(absl::Time now, const FleetRecord &record, const std::string &source) -> void;
    auto markZoneCold(absl::Time now, const std::string &zone) -> void;
    auto rebuildView() -> void;

    const ZoneRegions zones_;
    const std::string ownRegion_;
    const RecordDecoders decoders_;
    mutable absl::Mutex mutex_;
    RecordReplica replica_ ABSL_GUARDED_BY(mutex_);
    PolicyPointer policy_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, KnownBackend> backends_ ABSL_GUARDED_BY(mutex_);
    FleetViewPointer view_ ABSL_GUARDED_BY(mutex_);
    absl::Time lastStoreAnswerAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    absl::Time storeRecoveredAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    /** Since when the store has answered without a failed call or a long time without calls. */
    absl::Time continuousContactSince_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
    bool isStoreReachable_ ABSL_GUARDED_BY(mutex_) = false;
    /** A call has failed since the last one that was answered. */
    bool hasStoreCallFailed_ ABSL_GUARDED_BY(mutex_) = false;
};

}
