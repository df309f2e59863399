/** Records that describe a deployment, as the platform's store holds them. */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** What a record describes. */
enum class RecordKind {
    /** The traffic policy; there is one. */
    Policy,
    /** An order to send nothing to a zone; the name is the zone. */
    Evacuation,
    /** A backend server's registration; the name is its identifier. */
    Backend,
    /** An entry host's registration; the name is the host's. */
    Host,
};

/** A change of one record. */
struct FleetRecord
{
    RecordKind kind_ = RecordKind::Policy;
    std::string name_;
    /** Revision of the store at which the record changed. */
    std::int64_t revision_ = 0;
    bool isRemoved_ = false;
    /** The bytes as stored; empty when removed. */
    std::string value_;
    /** Removed while the store was away or had just come back; the owner may live and register again. */
    bool isLapsed_ = false;

    auto operator==(const FleetRecord &other) const -> bool = default;
};

/** Revisions above the first and up to the second. */
struct RevisionRange
{
    std::int64_t after_ = 0;
    std::int64_t upTo_ = 0;

    auto operator==(const RevisionRange &other) const -> bool = default;
};

/** Changes up to a revision of the store. */
struct RecordBatch
{
    /** The records are complete up to this revision. */
    std::int64_t asOf_ = 0;
    /** All records there are, so that what is missing has been removed. */
    bool isSnapshot_ = false;
    std::vector<FleetRecord> records_;
    /** Records that a full batch does not name may have lapsed. */
    bool hasLapses_ = false;
    /** Every present record that changed after this revision is named, so that one that is missing has been removed; absent if that is not certain. */
    std::optional<std::int64_t> after_ = std::nullopt;
    /** Spans in which records may have been removed without being named. One that ends after asOf_ comes from a full read that took a while. */
    std::vector<RevisionRange> gaps_ = {};

    auto operator==(const RecordBatch &other) const -> bool = default;
};

}
