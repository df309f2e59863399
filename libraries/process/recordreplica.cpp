#include "process/recordreplica.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lycheecleat
{

namespace
{

/** How long tombstones are kept for peers that are behind; longer than any peer stays behind without a full read. */
constexpr auto tombstoneRetention = absl::Minutes(2);

/** Number of gaps tracked separately; a host has one for its start and one for each watch that failed because the store had compacted its history. */
constexpr auto maximumGaps = std::size_t { 8 };

}

auto RecordReplica::applyRecord(absl::Time now, const FleetRecord &record, std::vector<FleetRecord> &changes) -> void
{
    const auto key = std::pair(record.kind_, record.name_);
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.record_.revision_ >= record.revision_) {
        return;
    }
    // The tombstone is kept even if the record was never here: a peer that has the record may request changes from this host.
    entries_[key] = { record, now };
    changes.push_back(record);
}

auto RecordReplica::apply(absl::Time now, const RecordBatch &batch) -> std::vector<FleetRecord>
{
    if (batch.era_ < era_) {
        return {};
    }
    if (batch.era_ == era_) {
        return applyInEra(now, batch);
    }
    return batch.isSnapshot_ ? beginEra(now, batch) : std::vector<FleetRecord> {};
}

auto RecordReplica::beginEra(absl::Time now, const RecordBatch &batch) -> std::vector<FleetRecord>
{
    const auto earlier = std::exchange(entries_, {});
    era_ = batch.era_;
    asOf_ = 0;
    removalsCompleteAfter_ = 0;
    gaps_.clear();
    auto changes = applyInEra(now, batch);
    std::erase_if(changes, [&](const FleetRecord &record) {
        const auto found = earlier.find({ record.kind_, record.name_ });
        return found != earlier.end() && !found->second.record_.isRemoved_ && !record.isRemoved_ && found->second.record_.value_ == record.value_;
    });
    for (const auto &[key, entry] : earlier) {
        const auto &record = entry.record_;
        if (!record.isRemoved_ && entries_.count(key) == 0) {
            applyRecord(now, { record.kind_, record.name_, batch.asOf_, true, "", true }, changes);
        }
    }
    return changes;
}

auto RecordReplica::applyInEra(absl::Time now, const RecordBatch &batch) -> std::vector<FleetRecord>
{
    auto changes = std::vector<FleetRecord> {};
    const auto asOfBefore = asOf_;
    // A batch that is older than this replica does not show which of its records are missing.
    if (batch.asOf_ >= asOfBefore) {
        removeMissing(now, batch, changes);
        addGaps(batch);
    }
    for (const auto &record : batch.records_) {
        if (const auto change = effectiveChange(batch, record, asOfBefore)) {
            applyRecord(now, *change, changes);
        }
    }
    asOf_ = std::max(asOf_, batch.asOf_);
    expireTombstones(now);
    trimGaps();
    return changes;
}

auto RecordReplica::removeMissing(absl::Time now, const RecordBatch &batch, std::vector<FleetRecord> &changes) -> void
{
    if (!batch.isSnapshot_ && !batch.after_) {
        return;
    }
    const auto after = batch.isSnapshot_ ? std::int64_t { 0 } : *batch.after_;
    auto listedRecords = std::map<std::pair<RecordKind, std::string>, const FleetRecord *> {};
    for (const auto &record : batch.records_) {
        listedRecords[{ record.kind_, record.name_ }] = &record;
    }
    auto missing = std::vector<FleetRecord> {};
    for (const auto &[key, entry] : entries_) {
        const auto &current = entry.record_;
        const auto isCovered = current.revision_ > after && current.revision_ <= batch.asOf_;
        if (!isCovered || current.isRemoved_) {
            continue;
        }
        // A tombstone in the batch that is not newer than the state held here was superseded by that state, which is then missing as well.
        const auto listed = listedRecords.find(key);
        const auto minimumRevision = current.revision_ + (listed != listedRecords.end() && listed->second->isRemoved_ ? 1 : 0);
        if (listed == listedRecords.end() || listed->second->revision_ < minimumRevision) {
            missing.push_back({ current.kind_, current.name_, batch.asOf_, true, "", batch.hasLapses_ });
        }
    }
    for (const auto &record : missing) {
        applyRecord(now, record, changes);
    }
}

auto RecordReplica::effectiveChange(const RecordBatch &batch, const FleetRecord &record, std::int64_t asOfBefore) const -> std::optional<FleetRecord>
{
    if (record.revision_ > asOfBefore) {
        return record;
    }
    if (batch.asOf_ < asOfBefore) {
        return std::nullopt;
    }
    const auto found = entries_.find({ record.kind_, record.name_ });
    const auto isPresent = found != entries_.end() && !found->second.record_.isRemoved_;
    if (record.isRemoved_ && isPresent && found->second.record_.revision_ < record.revision_) {
        // The removal was found by a full read, so its revision is a lower bound; the record was still present here later.
        auto later = record;
        later.revision_ = batch.asOf_;
        return later;
    }
    return batch.isSnapshot_ && !record.isRemoved_ ? std::optional(record) : std::nullopt;
}

auto RecordReplica::addGaps(const RecordBatch &batch) -> void
{
    auto added = batch.gaps_;
    if (batch.isSnapshot_) {
        added.push_back({ 0, batch.asOf_ });
    }
    // No change up to the previous revision was missed. A peer at exactly that revision is sent the removals found by this batch, unless they carry the
    // same revision; the gap then begins one revision earlier, so that the peer is sent a snapshot.
    const auto gapStart = batch.asOf_ > asOf_ ? asOf_ : asOf_ - 1;
    for (auto &gap : added) {
        gap.after_ = std::max(gap.after_, gapStart);
        if (gap.after_ < gap.upTo_) {
            gaps_.push_back(gap);
        }
    }
}

auto RecordReplica::expireTombstones(absl::Time now) -> void
{
    std::erase_if(entries_, [&](const auto &item) {
        const auto &entry = item.second;
        const auto isOld = entry.record_.isRemoved_ && now - entry.changedAt_ > tombstoneRetention;
        if (isOld) {
            removalsCompleteAfter_ = std::max(removalsCompleteAfter_, entry.record_.revision_);
        }
        return isOld;
    });
}

auto RecordReplica::trimGaps() -> void
{
    while (gaps_.size() > maximumGaps) {
        removalsCompleteAfter_ = std::max(removalsCompleteAfter_, gaps_.front().upTo_);
        gaps_.erase(gaps_.begin());
    }
    std::erase_if(gaps_, [this](const RevisionRange &gap) {
        return gap.upTo_ <= removalsCompleteAfter_;
    });
}

auto RecordReplica::hasAllRemovalsAfter(std::int64_t revision) const -> bool
{
    const auto isInGap = [&](const RevisionRange &gap) {
        return revision > gap.after_ && revision < gap.upTo_;
    };
    return revision >= removalsCompleteAfter_ && std::none_of(gaps_.begin(), gaps_.end(), isInGap);
}

auto RecordReplica::changesAfter(const StorePosition &position) const -> RecordBatch
{
    const auto revision = position.era_ == era_ ? position.revision_ : 0;
    auto batch = RecordBatch {};
    batch.era_ = era_;
    batch.asOf_ = asOf_;
    batch.isSnapshot_ = revision == 0 || !hasAllRemovalsAfter(revision);
    for (const auto &[key, entry] : entries_) {
        const auto &record = entry.record_;
        const auto isInSnapshot = batch.isSnapshot_ && !record.isRemoved_;
        const auto isNewer = position.revision_ > 0 && record.revision_ > revision;
        if (isInSnapshot || isNewer) {
            batch.records_.push_back(record);
        }
    }
    if (!batch.isSnapshot_) {
        batch.after_ = revision;
    }
    const auto coveredUpTo = batch.isSnapshot_ ? asOf_ : revision;
    std::copy_if(gaps_.begin(), gaps_.end(), std::back_inserter(batch.gaps_), [&](const RevisionRange &gap) {
        return gap.upTo_ > coveredUpTo;
    });
    return batch;
}

auto RecordReplica::position() const -> StorePosition
{
    return { era_, asOf_ };
}

auto RecordReplica::findPresent(RecordKind kind, const std::string &name) const -> const FleetRecord *
{
    const auto found = entries_.find({ kind, name });
    return found == entries_.end() || found->second.record_.isRemoved_ ? nullptr : &found->second.record_;
}

auto RecordReplica::presentRecords(RecordKind kind) const -> std::vector<const FleetRecord *>
{
    auto records = std::vector<const FleetRecord *> {};
    for (auto entry = entries_.lower_bound({ kind, "" }); entry != entries_.end() && entry->first.first == kind; ++entry) {
        if (!entry->second.record_.isRemoved_) {
            records.push_back(&entry->second.record_);
        }
    }
    return records;
}

}
