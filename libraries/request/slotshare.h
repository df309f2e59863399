/** One host's slots of one backend server: owned, lent and borrowed, and which are in use. */
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Slots lent or borrowed until a time. */
struct ActiveSlotLoan
{
    int slots_ = 0;
    absl::Time until_;
    /** Distinguishes the loans of one share. */
    std::uint64_t id_ = 0;
    /** The peer that lent, for a loan taken. */
    std::string lender_;
    /** The lender's name for the loan. */
    std::int64_t name_ = 0;
    /** When a request last took a slot of a loan taken, or the loan came. */
    absl::Time lastUsedAt_;

    auto operator==(const ActiveSlotLoan &other) const -> bool = default;
};

/** One slot in use. */
struct SlotUse
{
    std::uint64_t grantId_ = 0;
    /** The loan the slot came with; 0 for an own slot. */
    std::uint64_t loanId_ = 0;
    /** Time after which the backend server has stopped the request, with the margin. */
    absl::Time releaseAt_;
    /** The request is over for this host, but the backend server may still run it. */
    bool isUncertain_ = false;

    auto operator==(const SlotUse &other) const -> bool = default;
};

/** Slots of one backend server. It starts without slots. Times are monotonic times of this host. */
struct SlotShare
{
    int own_ = 0;
    /** The own slots once a growth takes effect. */
    int pendingOwn_ = 0;
    absl::Time pendingAt_ = absl::InfiniteFuture();
    std::vector<ActiveSlotLoan> lent_;
    std::vector<ActiveSlotLoan> borrowed_;
    std::vector<SlotUse> uses_;
    std::uint64_t lastLoanId_ = 0;

    auto operator==(const SlotShare &other) const -> bool = default;
};

/** Brings a share to a time: ends loans, applies a growth, and frees slots of uncertain requests whose deadline has passed. */
auto advance(SlotShare &share, absl::Time now) -> void;

/** Sets the own slots. What shrinks does so at once; what grows does so at the given time. */
auto setSlots(SlotShare &share, absl::Time now, int slots, absl::Time growsAt) -> void;

/** Own slots that are neither in use nor lent. */
[[nodiscard]] auto freeOwnSlots(const SlotShare &share) -> int;

/** Slots that a request with this deadline may use. */
[[nodiscard]] auto freeSlotsUntil(const SlotShare &share, absl::Time deadline) -> int;

/** Slots that this host holds, whether in use or not: own ones not lent, and borrowed ones. */
[[nodiscard]] auto heldSlots(const SlotShare &share) -> int;

/** Takes a slot for a grant. A borrowed slot is used only when its loan lasts until the deadline, and before an own one, since it expires. */
[[nodiscard]] auto take(SlotShare &share, absl::Time now, std::uint64_t grant, absl::Time deadline) -> bool;

/** Gives a slot back. When the request has not certainly ended, the slot stays in use until its deadline and the margin are over. */
auto releaseUse(SlotShare &share, absl::Time now, std::uint64_t grant, bool certainlyEnded) -> void;

/** Lends up to the wanted number of free own slots until a time; returns how many. */
[[nodiscard]] auto lend(SlotShare &share, absl::Time now, int requested, absl::Time until, std::int64_t name = 0) -> int;

/** Adds slots received now that may be used until the given time, which the borrower counts from when it sent its request. */
auto borrow(SlotShare &share, absl::Time now, int slots, absl::Time until, const std::string &lender = {}, std::int64_t name = 0) -> void;

/** What is kept of a loan taken. */
struct SlotLoanRemainder
{
    std::string lender_;
    std::int64_t name_ = 0;
    int slots_ = 0;

    auto operator==(const SlotLoanRemainder &other) const -> bool = default;
};

/** Stops using the free slots of loans taken that no request has taken a slot of for a time, and gives what is kept of these loans. */
[[nodiscard]] auto releaseIdleSlots(SlotShare &share, absl::Time now, absl::Duration idle) -> std::vector<SlotLoanRemainder>;

/** Takes back what the borrower no longer keeps of a loan given. A loan that has ended, or of which less is kept already, stays as it is. */
auto reduceLoan(SlotShare &share, absl::Time now, std::int64_t name, int kept) -> void;

/** Drops the own slots, since they may have been given to another host and back in revisions that this host has missed. */
auto dropOwn(SlotShare &share, absl::Time now) -> void;

/** Stops using the loans taken for new requests, since they belong to an earlier division of the slots. */
auto dropBorrowed(SlotShare &share, absl::Time now) -> void;

}
