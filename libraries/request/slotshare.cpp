#include "request/slotshare.h"

#include "request/waitmargin.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

auto sumOf(const std::vector<SlotLoanPart> &loans) -> int
{
    auto sum = 0;
    for (const auto &loan : loans) {
        sum += loan.slots_;
    }
    return sum;
}

auto usedOf(const SlotShare &share, std::uint64_t loan) -> int
{
    return static_cast<int>(std::count_if(share.uses_.begin(), share.uses_.end(), [&](const SlotUse &use) {
        return use.loan_ == loan;
    }));
}

}

auto advance(SlotShare &share, absl::Time now) -> void
{
    const auto ended = [&](const SlotLoanPart &loan) {
        return loan.until_ <= now;
    };
    std::erase_if(share.given_, ended);
    std::erase_if(share.taken_, ended);
    std::erase_if(share.uses_, [&](const SlotUse &use) {
        return use.uncertain_ && use.freeAt_ <= now;
    });
    if (share.nextAt_ <= now) {
        share.own_ = share.next_;
        share.nextAt_ = absl::InfiniteFuture();
    }
}

auto setSlots(SlotShare &share, absl::Time now, int slots, absl::Time growsAt) -> void
{
    advance(share, now);
    const auto isPending = share.nextAt_ != absl::InfiniteFuture() && share.next_ == slots;
    const auto grows = slots > share.own_;
    share.own_ = std::min(share.own_, slots);
    if (!isPending) {
        share.next_ = slots;
        share.nextAt_ = grows ? growsAt : absl::InfiniteFuture();
    }
}

auto freeOwn(const SlotShare &share) -> int
{
    return std::max(0, share.own_ - sumOf(share.given_) - usedOf(share, 0));
}

auto freeFor(const SlotShare &share, absl::Time deadline) -> int
{
    auto slots = freeOwn(share);
    for (const auto &loan : share.taken_) {
        if (loan.until_ >= deadline) {
            slots += std::max(0, loan.slots_ - usedOf(share, loan.id_));
        }
    }
    return slots;
}

auto heldSlots(const SlotShare &share) -> int
{
    return std::max(0, share.own_ - sumOf(share.given_)) + sumOf(share.taken_);
}

auto take(SlotShare &share, absl::Time now, std::uint64_t grant, absl::Time deadline) -> bool
{
    advance(share, now);
    // The backend server measures the time that is left from when the request reaches it, on its own clock.
    const auto freeAt = deadline + waitMargin(deadline - now);
    for (auto &loan : share.taken_) {
        if (loan.until_ >= deadline && usedOf(share, loan.id_) < loan.slots_) {
            loan.usedAt_ = now;
            share.uses_.push_back({ grant, loan.id_, freeAt, false });
            return true;
        }
    }
    if (freeOwn(share) <= 0) {
        return false;
    }
    share.uses_.push_back({ grant, 0, freeAt, false });
    return true;
}

auto giveBack(SlotShare &share, absl::Time now, std::uint64_t grant, bool certainlyEnded) -> void
{
    const auto use = std::find_if(share.uses_.begin(), share.uses_.end(), [&](const SlotUse &candidate) {
        return candidate.grant_ == grant;
    });
    if (use != share.uses_.end()) {
        if (certainlyEnded) {
            share.uses_.erase(use);
        } else {
            use->uncertain_ = true;
        }
    }
    advance(share, now);
}

auto lend(SlotShare &share, absl::Time now, int wanted, absl::Time until, std::int64_t name) -> int
{
    advance(share, now);
    const auto slots = std::max(0, std::min(wanted, freeOwn(share)));
    if (slots > 0) {
        share.given_.push_back({ slots, until, ++share.lastLoan_, {}, name, now });
    }
    return slots;
}

auto borrow(SlotShare &share, absl::Time now, int slots, absl::Time until, const std::string &lender, std::int64_t name) -> void
{
    advance(share, now);
    if (until > now && slots > 0) {
        share.taken_.push_back({ slots, until, ++share.lastLoan_, lender, name, now });
    }
}

auto releaseIdle(SlotShare &share, absl::Time now, absl::Duration idle) -> std::vector<KeptSlots>
{
    advance(share, now);
    auto kept = std::vector<KeptSlots> {};
    for (auto &loan : share.taken_) {
        const auto used = usedOf(share, loan.id_);
        if (loan.name_ != 0 && used < loan.slots_ && now - loan.usedAt_ >= idle) {
            loan.slots_ = used;
            kept.push_back({ loan.lender_, loan.name_, used });
        }
    }
    return kept;
}

auto reduceLoan(SlotShare &share, absl::Time now, std::int64_t name, int kept) -> void
{
    advance(share, now);
    for (auto &loan : share.given_) {
        if (loan.name_ == name) {
            loan.slots_ = std::min(loan.slots_, std::max(0, kept));
        }
    }
}

auto dropOwn(SlotShare &share, absl::Time now) -> void
{
    advance(share, now);
    share.own_ = 0;
    share.nextAt_ = absl::InfiniteFuture();
}

auto dropTaken(SlotShare &share, absl::Time now) -> void
{
    advance(share, now);
    share.taken_.clear();
}

}
