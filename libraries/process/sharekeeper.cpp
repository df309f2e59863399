#include "process/sharekeeper.h"

#include <utility>

namespace lycheecleat
{

ShareKeeper::ShareKeeper(std::string hostName, PeerLending lending)
    : rates_(hostName, lending)
    , slots_(std::move(hostName), std::move(lending))
{
}

ShareKeeper::~ShareKeeper() = default;

auto ShareKeeper::configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration ageBefore) -> void
{
    rates_.configure(now, configuration, ageBefore);
    slots_.configure(now, configuration, ageBefore);
}

auto ShareKeeper::takeToken(absl::Time now, const std::string &limit) -> bool
{
    return rates_.takeToken(now, limit);
}

auto ShareKeeper::takeSlot(absl::Time now, const SlotRequest &request) -> std::optional<SlotGrant>
{
    return slots_.takeSlot(now, request);
}

auto ShareKeeper::returnSlot(absl::Time now, const SlotGrant &grant, bool certainlyEnded) -> void
{
    slots_.returnSlot(now, grant, certainlyEnded);
}

auto ShareKeeper::lendRate(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &limit, double rate, double burst)
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

auto ShareKeeper::lendSlots(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &pool, int count) -> peer::SlotLoan
{
    (void)borrower;
    auto loan = peer::SlotLoan {};
    const auto lent = slots_.lendSlots(now, revision, pool, count);
    loan.loan = lent.loan_;
    for (const auto &[backend, slots] : lent.slots_) {
        loan.slots[backend] = slots;
    }
    return loan;
}

auto ShareKeeper::returnIdleSlots(absl::Time now) -> void
{
    slots_.returnIdle(now);
}

auto ShareKeeper::takeBackSlots(absl::Time now, const std::string &pool, std::int64_t loan, const std::map<std::string, int> &kept) -> void
{
    slots_.takeBack(now, pool, loan, kept);
}

auto ShareKeeper::bucketOf(const std::string &limit) const -> ShareBucket
{
    return rates_.bucketOf(limit);
}

auto ShareKeeper::slotsOf(const std::string &pool, const std::string &backend) const -> SlotShare
{
    return slots_.slotsOf(pool, backend);
}

}
