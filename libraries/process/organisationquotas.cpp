#include "process/organisationquotas.h"

#include "core/digest.h"
#include "process/hosttable.h"

namespace lycheecleat
{

OrganisationQuotas::OrganisationQuotas(const std::string &hostName, absl::Time startedAt)
    : self_(static_cast<std::uint32_t>(hostHash(hostName)))
    , startedAt_(startedAt)
{
}

auto OrganisationQuotas::admitRequest(absl::Time now, const Organisation &limits, const QuotaSettings &settings, const std::vector<std::uint64_t> &hosts)
    -> bool
{
    if (limits.rate_ <= 0) {
        return true;
    }
    const auto organisation = stableHash(limits.name_);
    const auto share = hostQuota(fleetQuota(limits, settings), hosts, self_, organisation);
    auto &shard = shards_[organisation % shardCount];
    const auto lock = absl::MutexLock(&shard.mutex_);
    return admit(shard.quotas_[limits.name_], now, startedAt_, share, settings.window_);
}

}
