#include "request/slotshare.h"

#include "request/clockdriftmargin.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

auto sumOf(const std::vector<ActiveSlotLoan> &loans) -> int
{
    auto sum = 0;
    for (const auto &loan : loans) {
        sum += loan.slots_;
    }
    return sum;
}

auto usedSlots(const SlotShare &share, std::uint64_t loanId) -> int
{
    return static_cast<int>(std::count_if(share.uses_.begin(), share.uses_.end(), [&](const SlotUse &use) {
        return use.loanId_ == loanId;
    }));
}

}

auto advance(SlotShare &share, absl::Time now) -> void
{
    const auto ended = [&](const ActiveSlotLoan &loan) {
        return loan.until_ <= now;
    };
    std::erase_if(share.lent_, ended);
    std::erase_if(share.borrowed_, ended);
    std::erase_if(share.uses_, [&](const SlotUse &use) {
        return use.isUncertain_ && use.releaseAt_ <= now;
    });
    if (share.pendingAt_ <= now) {
        share.own_ = share.pendingOwn_;
        share.pendingAt_ = absl::InfiniteFuture();
    }
}

auto setSlots(SlotShare &share, absl::Time now, int slots, absl::Time growsAt) -> void
{
    advance(share, now);
    const auto isPending = share.pendingAt_ != absl::InfiniteFuture() && share.pendingOwn_ == slots;
    const auto grows = slots > share.own_;
    share.own_ = std::min(share.own_, slots);
    if (!isPending) {
        share.pendingOwn_ = slots;
        share.pendingAt_ = grows ? growsAt : absl::InfiniteFuture();
    }
}

auto freeOwnSlots(const SlotShare &share) -> int
{
    return std::max(0, share.own_ - sumOf(share.lent_) - usedSlots(share, 0));
}

auto freeSlotsUntil(const SlotShare &share, absl::Time deadline) -> int
{
    auto slots = freeOwnSlots(share);
    for (const auto &loan : share.borrowed_) {
        if (loan.until_ >= deadline) {
            slots += std::max(0, loan.slots_ - usedSlots(share, loan.id_));
        }
    }
    return slots;
}

auto heldSlots(const SlotShare &share) -> int
{
    return std::max(0, share.own_ - sumOf(share.lent_)) + sumOf(share.borrowed_);
}

auto take(SlotShare &share, absl::Time now, std::uint64_t grantId, absl::Time deadline) -> bool
{
    advance(share, now);
    // The backend server measures the remaining time on its own clock, from when it receives the request.
    const auto releaseAt = deadline + clockDriftMargin(deadline - now);
    for (auto &loan : share.borrowed_) {
        if (loan.until_ >= deadline && usedSlots(share, loan.id_) < loan.slots_) {
            loan.lastUsedAt_ = now;
            share.uses_.push_back({ grantId, loan.id_, releaseAt, false });
            return true;
        }
    }
    if (freeOwnSlots(share) <= 0) {
        return false;
    }
    share.uses_.push_back({ grantId, 0, releaseAt, false });
    return true;
}

auto releaseUse(SlotShare &share, absl::Time now, std::uint64_t grantId, bool certainlyEnded) -> void
{
    const auto use = std::find_if(share.uses_.begin(), share.uses_.end(), [&](const SlotUse &candidate) {
        return candidate.grantId_ == grantId;
    });
    if (use != share.uses_.end()) {
        if (certainlyEnded) {
            share.uses_.erase(use);
        } else {
            use->isUncertain_ = true;
        }
    }
    advance(share, now);
}

auto lend(SlotShare &share, absl::Time now, int requested, absl::Time until, std::int64_t lenderLoanId) -> int
{
    advance(share, now);
    const auto slots = std::max(0, std::min(requested, freeOwnSlots(share)));
    if (slots > 0) {
        share.lent_.push_back({ slots, until, ++share.lastLoanId_, {}, lenderLoanId, now });
    }
    return slots;
}

auto borrow(SlotShare &share, absl::Time now, int slots, absl::Time until, const std::string &lender, std::int64_t lenderLoanId) -> void
{
    advance(share, now);
    if (until > now && slots > 0) {
        share.borrowed_.push_back({ slots, until, ++share.lastLoanId_, lender, lenderLoanId, now });
    }
}

auto releaseIdleSlots(SlotShare &share, absl::Time now, absl::Duration minimumIdleTime) -> std::vector<SlotLoanRemainder>
{
    advance(share, now);
    auto remainders = std::vector<SlotLoanRemainder> {};
    for (auto &loan : share.borrowed_) {
        const auto usedCount = usedSlots(share, loan.id_);
        if (loan.lenderLoanId_ != 0 && usedCount < loan.slots_ && now - loan.lastUsedAt_ >= minimumIdleTime) {
            loan.slots_ = usedCount;
            remainders.push_back({ loan.lender_, loan.lenderLoanId_, usedCount });
        }
    }
    return remainders;
}

auto reduceLoan(SlotShare &share, absl::Time now, std::int64_t lenderLoanId, int remainingSlots) -> void
{
    advance(share, now);
    for (auto &loan : share.lent_) {
        if (loan.lenderLoanId_ == lenderLoanId) {
            loan.slots_ = std::min(loan.slots_, std::max(0, remainingSlots));
        }
    }
}

auto dropOwn(SlotShare &share, absl::Time now) -> void
{
    advance(share, now);
    share.own_ = 0;
    share.pendingAt_ = absl::InfiniteFuture();
}

auto dropBorrowed(SlotShare &share, absl::Time now) -> void
{
    advance(share, now);
    share.borrowed_.clear();
}

}
