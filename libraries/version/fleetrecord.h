/** Records that describe a deployment, as they are stored by the platform. */
#pragma once

#include "version/storeposition.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** What a record describes. */
enum class RecordKind {
    /** The traffic policy, a single record. */
    Policy,
    /** An evacuation, which stops all traffic to a zone; the name is the zone. */
    Evacuation,
    /** A backend server's registration; the name is its identifier. */
    Backend,
    /** An entry host's registration; the name is the host's. */
    Host,
};

/** A record, or its tombstone. */
struct FleetRecord
{
    RecordKind kind_ = RecordKind::Policy;
    std::string name_;
    /** Store revision at which the record was last changed, within the era of the batch or replica that holds the record. */
    std::int64_t revision_ = 0;
    bool isRemoved_ = false;
    /** The bytes as stored; empty if removed. */
    std::string value_;
    /**
     * Whether the removal was seen while the store was unreachable or had just recovered. The lease may then have expired although the owner is alive, and the
     * owner may register again.
     */
    bool isLapsed_ = false;

    auto operator==(const FleetRecord &other) const -> bool = default;
};

/** Revisions greater than after_ and up to upTo_. */
struct RevisionRange
{
    std::int64_t after_ = 0;
    std::int64_t upTo_ = 0;

    auto operator==(const RevisionRange &other) const -> bool = default;
};

/** A snapshot or a delta of the records up to a store revision. */
struct RecordBatch
{
    /** The records are complete up to this revision. */
    std::int64_t asOf_ = 0;
    /** Whether this is a snapshot: every present record is included, so a record that is missing has been removed. Later changes may be included too. */
    bool isSnapshot_ = false;
    std::vector<FleetRecord> records_;
    /** Whether the removal of the missing records may be a lapse, as in FleetRecord::isLapsed_. */
    bool hasLapses_ = false;
    /**
     * Every present record that changed after this revision is included, so a record changed after it that is missing has been removed. Absent if this
     * is not guaranteed.
     */
    std::optional<std::int64_t> after_ = std::nullopt;
    /**
     * Revision ranges in which records may have been removed without a tombstone in the batch. A range ends after asOf_ if the snapshot was read in
     * several pages, between which the store may have changed.
     */
    std::vector<RevisionRange> gaps_ = {};
    /** Era of the store in which all revisions of the batch were issued. */
    std::int64_t era_ = 0;

    auto operator==(const RecordBatch &other) const -> bool = default;
};

/** Position up to which the records of a batch are complete. */
[[nodiscard]] inline auto positionOf(const RecordBatch &batch) -> StorePosition
{
    return { batch.era_, batch.asOf_ };
}

}
