#include "process/limitenforcer.h"

#include <utility>

namespace lycheecleat
{

LimitEnforcer::LimitEnforcer(std::string hostName, LoanClient loanClient)
    : rates_(hostName, loanClient)
    , slots_(std::move(hostName), std::move(loanClient))
{
}

LimitEnforcer::~LimitEnforcer() = default;

auto LimitEnforcer::configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration previousAge) -> void
{
    rates_.configure(now, configuration, previousAge);
    slots_.configure(now, configuration, previousAge);
}

auto LimitEnforcer::takeToken(absl::Time now, const std::string &limit) -> bool
{
    return rates_.takeToken(now, limit);
}

auto LimitEnforcer::acquireSlot(absl::Time now, const SlotRequest &request) -> std::optional<SlotGrant>
{
    return slots_.acquireSlot(now, request);
}

auto LimitEnforcer::releaseSlot(absl::Time now, const SlotGrant &grant, bool certainlyEnded) -> void
{
    slots_.releaseSlot(now, grant, certainlyEnded);
}

auto LimitEnforcer::lendRate(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &limit, double rate, double burst)
    -> peer::RateLoan
{
    (void)borrower;
    const auto lent = rates_.lendRate(now, revision, limit, { rate, burst });
    auto loan = peer::RateLoan {};
    loan.rate = lent.share_.rate_;
    loan.burst = lent.share_.burst_;
    loan.tokens = lent.tokens_;
    return loan;
}

auto LimitEnforcer::lendSlots(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &pool, int count) -> peer::SlotLoan
{
    (void)borrower;
    auto loan = peer::SlotLoan {};
    const auto lent = slots_.lendSlots(now, revision, pool, count);
    loan.loan = lent.loanId_;
    for (const auto &[backend, slots] : lent.slots_) {
        loan.slots[backend] = slots;
    }
    return loan;
}

auto LimitEnforcer::returnIdleSlots(absl::Time now) -> void
{
    slots_.returnIdle(now);
}

auto LimitEnforcer::acceptReturnedSlots(absl::Time now, const std::string &pool, std::int64_t loanId, const std::map<std::string, int> &keptSlots) -> void
{
    slots_.acceptReturn(now, pool, loanId, keptSlots);
}

auto LimitEnforcer::bucketOf(const std::string &limit) const -> ShareBucket
{
    return rates_.bucketOf(limit);
}

auto LimitEnforcer::slotsOf(const std::string &pool, const std::string &backend) const -> SlotShare
{
    return slots_.slotsOf(pool, backend);
}

}
