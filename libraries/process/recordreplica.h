/** One host's replica of the store's records, from which peers can catch up. */
#pragma once

#include "version/fleetrecord.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace lycheecleat
{

/**
 * Latest received state of every record. Removed records are kept as tombstones for a limited time, so that deltas for peers include removals. A full
 * read shows which records are present, but not which were added and removed again since the previous revision of the replica. The revisions in between
 * form a gap: a peer whose revision lies within it needs a full snapshot. Not thread-safe.
 */
class RecordReplica
{
public:
    /**
     * Applies a snapshot or a delta, and returns the changes that took effect. Record states that are not newer than the revision of this replica are
     * ignored, whether the record is present here or was removed. Two exceptions hold in batches that are at least as recent as this replica: a record
     * that is present in a full snapshot, and the removal of a record that is present here with an older state.
     *
     * A batch of an earlier era is ignored. In a later era revisions are issued again, so that only a snapshot can be applied first: it replaces all
     * states and tombstones of the earlier era. Records that it lacks are returned as lapsed, since their owners may write them again.
     */
    auto apply(absl::Time now, const RecordBatch &batch) -> std::vector<FleetRecord>;

    /**
     * Delta for a peer whose records are complete up to a position. A full snapshot if the revision is 0, if the position is of another era, or if removals
     * after it may be missing here. A snapshot for a peer that has records also contains the tombstones that are new to it, since these show whether a
     * record lapsed.
     */
    [[nodiscard]] auto changesAfter(const StorePosition &position) const -> RecordBatch;

    /** Position of the store up to which this replica is complete. */
    [[nodiscard]] auto position() const -> StorePosition;

    /** The record if it is present; valid until the next call of apply(). */
    [[nodiscard]] auto findPresent(RecordKind kind, const std::string &name) const -> const FleetRecord *;

    /** Records of a kind that are not removed, ordered by name. The pointers are valid until the next call of apply(). */
    [[nodiscard]] auto presentRecords(RecordKind kind) const -> std::vector<const FleetRecord *>;

private:
    struct Entry
    {
        FleetRecord record_;
        absl::Time changedAt_;
    };
    using Entries = std::map<std::pair<RecordKind, std::string>, Entry>;

    auto applyInEra(absl::Time now, const RecordBatch &batch) -> std::vector<FleetRecord>;
    auto beginEra(absl::Time now, const RecordBatch &batch) -> std::vector<FleetRecord>;
    auto applyRecord(absl::Time now, const FleetRecord &record, std::vector<FleetRecord> &changes) -> void;
    auto removeMissing(absl::Time now, const RecordBatch &batch, std::vector<FleetRecord> &changes) -> void;
    /** The state to apply for a record of a batch; absent if the record is outdated. */
    [[nodiscard]] auto effectiveChange(const RecordBatch &batch, const FleetRecord &record, std::int64_t asOfBefore) const -> std::optional<FleetRecord>;
    auto addGaps(const RecordBatch &batch) -> void;
    auto expireTombstones(absl::Time now) -> void;
    auto trimGaps() -> void;
    [[nodiscard]] auto hasAllRemovalsAfter(std::int64_t revision) const -> bool;

    Entries entries_;
    /** Era of all revisions held here. */
    std::int64_t era_ = 0;
    std::int64_t asOf_ = 0;
    /** Removals up to this revision may be missing. */
    std::int64_t removalsCompleteAfter_ = 0;
    /** Revision ranges after removalsCompleteAfter_ in which records may have been added and removed without an event; oldest first. */
    std::vector<RevisionRange> gaps_;
};

}
