#include "process/recordbook.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

/** How long a removed record is remembered for peers that are behind; longer than any peer stays behind without a full read. */
constexpr auto tombstoneTime = absl::Minutes(2);

}

auto RecordBook::applyOne(absl::Time now, const FleetRecord &record, std::vector<FleetRecord> &changes) -> void
{
    const auto key = std::pair(record.kind_, record.name_);
    const auto found = entries_.find(key);
    if (found != entries_.end() && found->second.record_.revision_ >= record.revision_) {
        return;
    }
    if (found == entries_.end() && record.isRemoved_) {
        return;
    }
    entries_[key] = { record, now };
    changes.push_back(record);
}

auto RecordBook::apply(absl::Time now, const RecordBatch &batch) -> std::vector<FleetRecord>
{
    auto changes = std::vector<FleetRecord> {};
    // A full read older than what is known says nothing about records that came later.
    if (batch.isFull_ && batch.asOf_ >= asOf_) {
        auto missing = std::map<std::pair<RecordKind, std::string>, bool> {};
        for (const auto &[key, entry] : entries_) {
            missing[key] = !entry.record_.isRemoved_ && entry.record_.revision_ <= batch.asOf_;
        }
        for (const auto &record : batch.records_) {
            missing[{ record.kind_, record.name_ }] = false;
        }
        for (const auto &[key, isMissing] : missing) {
            if (isMissing) {
                applyOne(now, { key.first, key.second, batch.asOf_, true, "", batch.hasLapses_ }, changes);
            }
        }
    }
    for (const auto &record : batch.records_) {
        applyOne(now, record, changes);
    }
    asOf_ = std::max(asOf_, batch.asOf_);
    dropOldTombstones(now);
    return changes;
}

auto RecordBook::dropOldTombstones(absl::Time now) -> void
{
    std::erase_if(entries_, [&](const auto &item) {
        const auto &entry = item.second;
        const auto isOld = entry.record_.isRemoved_ && now - entry.changedAt_ > tombstoneTime;
        if (isOld) {
            completeAfter_ = std::max(completeAfter_, entry.record_.revision_);
        }
        return isOld;
    });
}

auto RecordBook::changesAfter(std::int64_t revision) const -> RecordBatch
{
    auto batch = RecordBatch {};
    batch.asOf_ = asOf_;
    batch.isFull_ = revision < completeAfter_ || revision == 0;
    for (const auto &[key, entry] : entries_) {
        const auto isWanted = batch.isFull_ ? !entry.record_.isRemoved_ : entry.record_.revision_ > revision;
        if (isWanted) {
            batch.records_.push_back(entry.record_);
        }
    }
    return batch;
}

auto RecordBook::asOf() const -> std::int64_t
{
    return asOf_;
}

auto RecordBook::recordsOf(RecordKind kind) const -> std::vector<const FleetRecord *>
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
