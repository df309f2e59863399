/** The records that one host knows of, with what is needed to pass them on to peers. */
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
 * Newest known state of every record. Records removed stay as tombstones for a while, so that peers can be told. A full read tells what there is but not
 * what came and went since the last known revision; a peer whose records end within such a gap needs all records. Not thread-safe.
 */
class RecordReplica
{
public:
    /**
     * Takes over changes. A state older than the revision up to which this book is complete is no news, whether the record is here or was removed, unless
     * a full batch that is no older names it. Returns the changes that were new.
     */
    auto apply(absl::Time now, const RecordBatch &batch) -> std::vector<FleetRecord>;

    /**
     * What has changed after the revision up to which a peer's records are complete; full when the revision is 0, or when removals since then may be
     * unknown here. A full answer to a peer that has records names the known removals as well, since these tell whether a record lapsed.
     */
    [[nodiscard]] auto changesAfter(std::int64_t revision) const -> RecordBatch;

    /** Complete up to this revision. */
    [[nodiscard]] auto asOf() const -> std::int64_t;

    /** Present records of a kind, by name. */
    [[nodiscard]] auto presentRecords(RecordKind kind) const -> std::vector<const FleetRecord *>;

private:
    struct Entry
    {
        FleetRecord record_;
        absl::Time changedAt_;
    };

    auto applyRecord(absl::Time now, const FleetRecord &record, std::vector<FleetRecord> &changes) -> void;
    auto removeMissing(absl::Time now, const RecordBatch &batch, std::vector<FleetRecord> &changes) -> void;
    /** The state that a record of a batch is to be taken over with, if it tells anything new. */
    [[nodiscard]] auto effectiveChange(const RecordBatch &batch, const FleetRecord &record, std::int64_t knownAsOf) const -> std::optional<FleetRecord>;
    auto addGaps(const RecordBatch &batch) -> void;
    auto expireTombstones(absl::Time now) -> void;
    auto trimGaps() -> void;
    [[nodiscard]] auto hasAllRemovalsAfter(std::int64_t revision) const -> bool;

    std::map<std::pair<RecordKind, std::string>, Entry> entries_;
    std::int64_t asOf_ = 0;
    /** Removals up to this revision may be unknown. */
    std::int64_t removalsCompleteAfter_ = 0;
    /** Spans after removalsCompleteAfter_ in which records may have come and gone unnoticed; oldest first. */
    std::vector<RevisionSpan> gaps_;
};

}
