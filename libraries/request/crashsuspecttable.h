/** Recognises requests that end each backend server that runs them. */
#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Distinct backend servers that must have ended before a request is refused. */
inline constexpr auto crashSuspectThreshold = std::size_t { 2 };

/** How long a request is refused after the last of them ended. */
inline constexpr auto crashSuspectDuration = absl::Minutes(1);

/** Backend servers that ended while they ran one request. */
struct CrashRecord
{
    std::string fingerprint_;
    std::set<std::string> backends_;
    /** Monotonic time at which the last of them ended. */
    absl::Time endedAt_;

    auto operator==(const CrashRecord &other) const -> bool = default;
};

/** Crash records by request fingerprint. Not thread-safe. Times are monotonic. */
class CrashSuspectTable
{
public:
    explicit CrashSuspectTable(std::size_t maximumRecords);

    /** Records backend servers that ended, as seen here or reported by a peer. A record that is known already keeps its time. */
    auto record(absl::Time now, const CrashRecord &crash) -> void;

    /** Whether a request is to be refused. */
    [[nodiscard]] auto isSuspect(absl::Time now, const std::string &fingerprint) const -> bool;

    /** The records that still count. */
    [[nodiscard]] auto records(absl::Time now) const -> std::vector<CrashRecord>;

    /** Whether there is no record at all; no fingerprint needs to be computed then. */
    [[nodiscard]] auto isEmpty() const -> bool;

private:
    auto removeExpired(absl::Time now) -> void;

    std::size_t maximumRecords_;
    absl::flat_hash_map<std::string, CrashRecord> records_;
};

}
