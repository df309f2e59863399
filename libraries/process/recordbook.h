/** The records that one host knows of, with what is needed to pass them on to peers. */
#pragma once

#include "version/fleetrecord.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace lycheecleat
{

/** Newest known state of every record. Records removed stay as tombstones for a while. Not thread-safe. */
class RecordBook
{
public:
    /** Takes over changes; older states of a record never replace newer ones. Returns the changes that were new. */
    auto apply(absl::Time now, const RecordBatch &batch) -> std::vector<FleetRecord>;

    /** What has changed after a revision; full when tombstones since then may have been dropped, or when the revision is 0. */
    [[nodiscard]] auto changesAfter(std::int64_t revision) const -> RecordBatch;

    /** Complete up to this revision. */
    [[nodiscard]] auto asOf() const -> std::int64_t;

    /** Present records of a kind, by name. */
    [[nodiscard]] auto recordsOf(RecordKind kind) const -> std::vector<const FleetRecord *>;

private:
    struct Entry
    {
        FleetRecord record_;
        absl::Time changedAt_;
    };

    auto applyOne(absl::Time now, const FleetRecord &record, std::vector<FleetRecord> &changes) -> void;
    auto dropOldTombstones(absl::Time now) -> void;

    std::map<std::pair<RecordKind, std::string>, Entry> entries_;
    std::int64_t asOf_ = 0;
    /** Tombstones up to this revision may have been dropped. */
    std::int64_t completeAfter_ = 0;
};

}
