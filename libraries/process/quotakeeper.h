/** This host's shares of the organisations' rates. */
#pragma once

#include "request/quotaaccount.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Whether a request is admitted, and whether other hosts should be asked for a loan. */
struct QuotaAdmission
{
    bool isAdmitted_ = true;
    std::optional<LoanRequest> loan_ = std::nullopt;
};

/** Counts admitted requests by organisation, in shards, each under its own lock. Thread-safe. Times are monotonic. */
class QuotaKeeper
{
public:
    /** This host's name, and the time at which the process started. */
    QuotaKeeper(const std::string &hostName, absl::Time startedAt);

    /** Admits a request of an organisation, given how its limit is counted and the hosts among which it is split. */
    [[nodiscard]] auto admitRequest(absl::Time now, const Organisation &limits, const QuotaTerms &terms, const std::vector<std::uint64_t> &hosts)
        -> QuotaAdmission;

    /** Lends admissions of an organisation to another host. */
    [[nodiscard]] auto
    lendTo(absl::Time now, const LoanRequest &request, const Organisation &limits, const QuotaTerms &terms, const std::vector<std::uint64_t> &hosts)
        -> LoanGrant;

    /** Takes over what another host lends. */
    auto takeLoan(absl::Time now, const LoanGrant &grant) -> void;

private:
    struct Shard
    {
        absl::Mutex mutex_;
        /** By stable hash of the organisation's name. */
        absl::flat_hash_map<std::uint64_t, QuotaAccount> accounts_ ABSL_GUARDED_BY(mutex_);
    };
    static constexpr auto shardCount = std::size_t { 8 };

    auto termOf(const Organisation &limits, const QuotaTerms &terms, const std::vector<std::uint64_t> &hosts) const -> QuotaTerm;
    auto shardOf(std::uint64_t organisation) -> Shard &;

    const std::uint64_t self_;
    const absl::Time startedAt_;
    std::array<Shard, shardCount> shards_;
};

}
