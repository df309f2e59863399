#include "request/crashsuspecttable.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

auto hasExpired(const CrashRecord &record, absl::Time now) -> bool
{
    return now - record.lastCrashAt_ >= crashSuspectDuration;
}

}

CrashSuspectTable::CrashSuspectTable(std::size_t maximumRecords)
    : maximumRecords_(maximumRecords)
{
}

auto CrashSuspectTable::record(absl::Time now, const CrashRecord &crash) -> void
{
    removeExpired(now);
    const auto existing = records_.find(crash.fingerprint_);
    if (hasExpired(crash, now) || (existing == records_.end() && records_.size() >= maximumRecords_)) {
        return;
    }
    auto &record = records_[crash.fingerprint_];
    record.fingerprint_ = crash.fingerprint_;
    const auto previousCount = record.backends_.size();
    record.backends_.insert(crash.backends_.begin(), crash.backends_.end());
    // Hosts forward reports to each other repeatedly, so a report that adds no backend server must not extend the record.
    if (record.backends_.size() > previousCount) {
        record.lastCrashAt_ = previousCount == 0 ? crash.lastCrashAt_ : std::max(record.lastCrashAt_, crash.lastCrashAt_);
    }
}

auto CrashSuspectTable::isSuspect(absl::Time now, const std::string &fingerprint) const -> bool
{
    const auto found = records_.find(fingerprint);
    return found != records_.end() && found->second.backends_.size() >= crashSuspectThreshold && !hasExpired(found->second, now);
}

auto CrashSuspectTable::records(absl::Time now) const -> std::vector<CrashRecord>
{
    auto current = std::vector<CrashRecord> {};
    for (const auto &[fingerprint, record] : records_) {
        if (!hasExpired(record, now)) {
            current.push_back(record);
        }
    }
    return current;
}

auto CrashSuspectTable::isEmpty() const -> bool
{
    return records_.empty();
}

auto CrashSuspectTable::removeExpired(absl::Time now) -> void
{
    absl::erase_if(records_, [&](const auto &item) {
        return hasExpired(item.second, now);
    });
}

}
