#include "process/quotakeeper.h"

#include "core/digest.h"
#include "process/hosttable.h"

namespace lycheecleat
{

QuotaKeeper::QuotaKeeper(const std::string &hostName, absl::Time startedAt)
    : self_(static_cast<std::uint32_t>(hostHash(hostName)))
    , startedAt_(startedAt)
{
}

auto QuotaKeeper::termOf(const Organisation &limits, const QuotaTerms &terms, const std::vector<std::uint64_t> &hosts) const -> QuotaTerm
{
    return { hostQuota(fleetQuota(limits, terms), hosts, self_, stableHash(limits.name_)), terms.window_, startedAt_ };
}

auto QuotaKeeper::shardOf(std::uint64_t organisation) -> Shard &
{
    return shards_[organisation % shardCount];
}

auto QuotaKeeper::admitRequest(absl::Time now, const Organisation &limits, const QuotaTerms &terms, const std::vector<std::uint64_t> &hosts) -> QuotaAdmission
{
    if (limits.rate_ <= 0) {
        return {};
    }
    const auto organisation = stableHash(limits.name_);
    const auto term = termOf(limits, terms, hosts);
    auto &shard = shardOf(organisation);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &account = shard.accounts_[organisation];
    auto admission = QuotaAdmission { admit(account, now, term) };
    if (const auto wanted = askForLoan(account, now, term)) {
        admission.loan_ = LoanRequest { organisation, *wanted, now };
    }
    return admission;
}

auto QuotaKeeper::lendTo(absl::Time now,
                         const LoanRequest &request,
                         const Organisation &limits,
                         const QuotaTerms &terms,
                         const std::vector<std::uint64_t> &hosts) -> LoanGrant
{
    const auto term = termOf(limits, terms, hosts);
    auto &shard = shardOf(request.organisation_);
    const auto lock = absl::MutexLock(&shard.mutex_);
    return { request.organisation_, lend(shard.accounts_[request.organisation_], now, term, request.wanted_), request.askedAt_, self_ };
}

auto QuotaKeeper::takeLoan(absl::Time now, const LoanGrant &grant) -> void
{
    auto &shard = shardOf(grant.organisation_);
    const auto lock = absl::MutexLock(&shard.mutex_);
    borrow(shard.accounts_[grant.organisation_], now, grant);
}

}
