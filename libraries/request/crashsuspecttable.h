/** Detects requests that crash the backend servers that run them, so that they are refused instead of retried on further servers. */
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Number of distinct backend servers that must have crashed before a request is refused. */
inline constexpr auto crashSuspectThreshold = std::size_t { 2 };

/** How long a request is refused after the last of these crashes. */
inline constexpr auto crashSuspectDuration = absl::Minutes(1);

/** Backend servers that crashed while they ran one request. */
struct CrashRecord
{
    std::string fingerprint_;
    std::set<std::string> backends_;
    /** Monotonic time of the last crash. */
    absl::Time lastCrashAt_;

    auto operator==(const CrashRecord &other) const -> bool = default;
};

/** Crash records by request fingerprint. Not thread-safe. Times are monotonic. */
class CrashSuspectTable
{
public:
    explicit CrashSuspectTable(std::size_t maximumRecords);

    /**
     * Adds crashes that this host detected or a peer reported. A report that adds no backend server leaves the time of the record unchanged. New
     * records are dropped when the table is full.
     */
    auto record(absl::Time now, const CrashRecord &crash) -> void;

    /** Whether the request with this fingerprint is to be refused. */
    [[nodiscard]] auto isSuspect(absl::Time now, const std::string &fingerprint) const -> bool;

    /** The records that have not expired. */
    [[nodiscard]] auto records(absl::Time now) const -> std::vector<CrashRecord>;

    /** Whether there is no record, so that computing a fingerprint can be skipped. */
    [[nodiscard]] auto isEmpty() const -> bool;

private:
    auto removeExpired(absl::Time now) -> void;

    std::size_t maximumRecords_;
    absl::flat_hash_map<std::string, CrashRecord> records_;
};

}
