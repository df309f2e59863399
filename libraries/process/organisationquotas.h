/** This host's shares of the organisations' rate limits. */
#pragma once

#include "request/windowquota.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Limits requests by organisation over a sliding window, in shards that have a mutex each. Thread-safe. Times are monotonic. */
class OrganisationQuotas
{
public:
    /** This host's name, and the time at which the process started. */
    OrganisationQuotas(const std::string &hostName, absl::Time startedAt);

    /**
     * Whether a request of an organisation may run; counts it if so. The limit is counted by the given settings and split among the hosts with the given
     * hashes. A rate of 0 or less is no limit.
     */
    [[nodiscard]] auto admitRequest(absl::Time now, const Organisation &limits, const QuotaSettings &settings, const std::vector<std::uint64_t> &hosts) -> bool;

private:
    struct Shard
    {
        absl::Mutex mutex_;
        absl::flat_hash_map<std::string, WindowQuota> quotas_ ABSL_GUARDED_BY(mutex_);
    };
    static constexpr auto shardCount = std::size_t { 8 };

    const std::uint64_t self_;
    const absl::Time startedAt_;
    std::array<Shard, shardCount> shards_;
};

}
