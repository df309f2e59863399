/** One host's concurrency slots of one backend server: owned, lent, borrowed and in use. */
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheecleat
{

/** A loan in effect: slots that move from the lender to the borrower until a time. */
struct ActiveSlotLoan
{
    int slots_ = 0;
    absl::Time until_;
    /** Identifier within this share. */
    std::uint64_t id_ = 0;
    /** Name of the peer that lent; only for a borrowed loan. */
    std::string lender_;
    /** The lender's identifier of the loan; 0 when it has none. */
    std::int64_t lenderLoanId_ = 0;
    /** When a request last took a slot of this borrowed loan, or when the loan was received. */
    absl::Time lastUsedAt_;

    auto operator==(const ActiveSlotLoan &other) const -> bool = default;
};

/** One slot in use. */
struct SlotUse
{
    std::uint64_t grantId_ = 0;
    /** Identifier of the loan that the slot belongs to; 0 for an own slot. */
    std::uint64_t loanId_ = 0;
    /** Time after which the backend server has certainly stopped the request: its deadline and the clock drift margin. */
    absl::Time releaseAt_;
    /** The request has ended on this host, but the backend server may still be running it. */
    bool isUncertain_ = false;

    auto operator==(const SlotUse &other) const -> bool = default;
};

/** State of the slots of one backend server. Starts without slots. Not thread-safe. Times are monotonic times of this host. */
struct SlotShare
{
    int own_ = 0;
    /** The own slots from pendingAt_ on; meaningful only while pendingAt_ is finite. */
    int pendingOwn_ = 0;
    absl::Time pendingAt_ = absl::InfiniteFuture();
    std::vector<ActiveSlotLoan> lent_;
    std::vector<ActiveSlotLoan> borrowed_;
    std::vector<SlotUse> uses_;
    std::uint64_t lastLoanId_ = 0;

    auto operator==(const SlotShare &other) const -> bool = default;
};

/** Advances a share to a time: ends expired loans, applies a pending increase, and frees the slots of uncertain requests that have certainly stopped. */
auto advance(SlotShare &share, absl::Time now) -> void;

/** Sets the own slots. A decrease takes effect at once, an increase at the given time. Setting the pending number again doesn't postpone it. */
auto setSlots(SlotShare &share, absl::Time now, int slots, absl::Time growsAt) -> void;

/** Own slots that are neither in use nor lent. */
[[nodiscard]] auto freeOwnSlots(const SlotShare &share) -> int;

/** Free slots that a request with this deadline may use: own ones, and borrowed ones whose loan lasts until the deadline. */
[[nodiscard]] auto freeSlotsUntil(const SlotShare &share, absl::Time deadline) -> int;

/** Slots that this host may use, whether in use or not: own ones that aren't lent, and borrowed ones. */
[[nodiscard]] auto heldSlots(const SlotShare &share) -> int;

/**
 * Takes a slot for a grant; false when there is none. A borrowed slot is taken only if its loan lasts until the deadline, and in preference to an own
 * slot, since it expires.
 */
[[nodiscard]] auto take(SlotShare &share, absl::Time now, std::uint64_t grantId, absl::Time deadline) -> bool;

/** Releases the slot of a grant. If the request may still be running, the slot stays in use until its deadline and the clock drift margin have passed. */
auto releaseUse(SlotShare &share, absl::Time now, std::uint64_t grantId, bool certainlyEnded) -> void;

/**
 * Lends up to the requested number of free own slots until a time, which must include the clock drift margin; returns how many. Borrowed slots are never
 * lent.
 */
[[nodiscard]] auto lend(SlotShare &share, absl::Time now, int requested, absl::Time until, std::int64_t lenderLoanId = 0) -> int;

/**
 * Adds slots received now that may be used until the given time. The borrower computes that time from when it sent its request, so that its loan ends no
 * later than the lender's.
 */
auto borrow(SlotShare &share, absl::Time now, int slots, absl::Time until, const std::string &lender = {}, std::int64_t lenderLoanId = 0) -> void;

/** The slots that the borrower keeps of a loan after returning the others. */
struct SlotLoanRemainder
{
    std::string lender_;
    /** The lender's identifier of the loan. */
    std::int64_t lenderLoanId_ = 0;
    int slots_ = 0;

    auto operator==(const SlotLoanRemainder &other) const -> bool = default;
};

/**
 * Gives up the free slots of borrowed loans from which no request has taken a slot for the given time. Returns the remaining slots of each of these
 * loans; the caller reports them to the lender. Loans without a lender's identifier are left unchanged.
 */
[[nodiscard]] auto releaseIdleSlots(SlotShare &share, absl::Time now, absl::Duration minimumIdleTime) -> std::vector<SlotLoanRemainder>;

/**
 * Reduces a loan to a peer to the slots that the borrower keeps; the others are own slots of this host again. Has no effect on a loan that has ended or
 * is already smaller, so it may be repeated or reordered.
 */
auto reduceLoan(SlotShare &share, absl::Time now, std::int64_t lenderLoanId, int remainingSlots) -> void;

/** Sets the own slots to zero. Used when this host has missed revisions in which they may have been assigned to another host and back. */
auto dropOwn(SlotShare &share, absl::Time now) -> void;

/**
 * Ends the loans from other hosts for new requests. Used when the slots have been assigned anew, since these loans are based on the earlier assignment.
 */
auto dropBorrowed(SlotShare &share, absl::Time now) -> void;

}
