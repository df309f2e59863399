/** This host's state of the deployment: the replicated records, and the view that requests are served with. */
#pragma once

#include "process/recordreplica.h"
#include "process/recordstore.h"
#include "version/fleetview.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Keeps the replicated records and builds views from them. Thread-safe. Times are monotonic. */
class FleetState
{
public:
    FleetState(ZoneRegions zones, const std::string &ownZone, RecordDecoders decoders);

    /**
     * Applies changes received from the store, and logs their effects. Removals are marked as lapsed if a store call has failed since the last successful
     * one, or if the store has recovered only recently: the owner may be alive and register again.
     */
    auto applyFromStore(absl::Time now, const RecordBatch &batch) -> void;

    /**
     * Applies changes received from another host, and logs their effects. The host that received a removal from the store decided whether it is a lapse,
     * but the connection of that host alone may have failed. If this host's contact with the store was continuous, there was no store outage, and the
     * removals are applied as not lapsed.
     */
    auto applyFromPeer(absl::Time now, const RecordBatch &batch, const std::string &peerAddress) -> void;

    /** The current view; never null. */
    [[nodiscard]] auto view() const -> FleetViewPointer;

    /** Changes for a peer whose records are complete up to a position; see RecordReplica::changesAfter(). */
    [[nodiscard]] auto changesAfter(const StorePosition &position) const -> RecordBatch;

    /** Position of the store up to which the records are complete. */
    [[nodiscard]] auto asOf() const -> StorePosition;

    /** Encoded registrations of entry hosts, by name. */
    [[nodiscard]] auto hostRegistrations() const -> std::map<std::string, std::string>;

    /** Reports whether a store call succeeded; this determines whether removals count as lapses. */
    auto updateStoreContact(absl::Time now, bool isReachable) -> void;

    /** Whether the last store call succeeded. */
    [[nodiscard]] auto reachesStore() const -> bool;

    /** Monotonic time of the last successful store call; InfinitePast before the first. */
    [[nodiscard]] auto lastStoreResponseAt() const -> absl::Time;

private:
    /** A backend server as last decoded from its record. */
    struct DecodedBackend
    {
        FleetBackend backend_;
        std::int64_t revision_ = 0;
    };

    /** The last registration of a backend server that has deregistered. */
    struct Departure
    {
        RegistrationVersion version_;
        absl::Time at_;
    };

    /** The last registration of a backend server that was known when the store was restored. */
    struct EarlierRegistration
    {
        RegistrationVersion version_;
        /** It had announced its shutdown, deregistered, or not registered again in time. */
        bool hasLeft_ = false;
    };

    auto apply(absl::Time now, const RecordBatch &batch, const std::string &source) -> void;
    /** Whether the batch is the first of a later era, which replaces all records. */
    [[nodiscard]] auto startsEra(const RecordBatch &batch) const -> bool;
    auto beginEra(absl::Time now, const RecordBatch &batch, const std::string &source) -> void;
    /** The batch with the policy in force in place of an older or missing one, so that peers are given the newest policy. */
    [[nodiscard]] auto withPolicyInForce(const RecordBatch &batch) const -> RecordBatch;
    auto rememberRegistrations(absl::Time now) -> void;
    /** Whether a registration comes from the copy that the store was restored from, and this host has known a newer one. */
    [[nodiscard]] auto isOutdated(const FleetBackend &backend) const -> bool;
    auto applyOutdatedRegistrations(absl::Time now) -> bool;
    auto endExpiredEvacuations(absl::Time now) -> bool;
    auto holdMissingEvacuations(absl::Time now, const RecordBatch &batch, const std::string &source) -> void;
    /** Ends what was kept for a limited time after a restoration of the store. Returns whether the view must be rebuilt. */
    auto endExpiredHolds(absl::Time now) -> bool;
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
    /** The record of the policy in force. */
    FleetRecord policyRecord_ ABSL_GUARDED_BY(mutex_);
    /** Zones whose evacuation the restored store lacks, and the times until which they stay evacuated. */
    std::map<std::string, absl::Time> heldEvacuations_ ABSL_GUARDED_BY(mutex_);
    std::map<std::string, DecodedBackend> backends_ ABSL_GUARDED_BY(mutex_);
    /** Backend servers that have deregistered, which a restored store may bring back. */
    std::map<std::string, Departure> departures_ ABSL_GUARDED_BY(mutex_);
    /** Registrations known when the current era began; empty after the time in which the restored ones are compared with them. */
    std::map<std::string, EarlierRegistration> earlierRegistrations_ ABSL_GUARDED_BY(mutex_);
    absl::Time comparedUntil_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    /** Names of the restored registrations that are ignored as outdated. */
    std::set<std::string> outdatedRegistrations_ ABSL_GUARDED_BY(mutex_);
    FleetViewPointer view_ ABSL_GUARDED_BY(mutex_);
    absl::Time lastStoreResponseAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    absl::Time storeRecoveredAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    /** Start of the current period without failed store calls and without a long interval between responses. */
    absl::Time continuousContactSince_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
    bool isStoreReachable_ ABSL_GUARDED_BY(mutex_) = false;
    /** A store call has failed since the last successful one. */
    bool hasStoreCallFailed_ ABSL_GUARDED_BY(mutex_) = false;
};

}
