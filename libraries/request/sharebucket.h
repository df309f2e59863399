/** Token bucket of one host's share of a fleet-wide rate limit, including loans to and from other hosts. */
#pragma once

#include "request/clockdriftmargin.h"
#include "version/limitownership.h"

#include <absl/time/time.h>

#include <vector>

namespace lycheecleat
{

/** A loan in effect: rate and burst that move from the lender to the borrower until a time. */
struct ActiveRateLoan
{
    RateShare share_;
    absl::Time until_;

    auto operator==(const ActiveRateLoan &other) const -> bool = default;
};

/** What a lender grants: rate and burst for the time of the loan, and tokens that the borrower may use at once. */
struct RateLoanGrant
{
    RateShare share_;
    double tokens_ = 0;

    auto operator==(const RateLoanGrant &other) const -> bool = default;
};

/**
 * State of a share bucket. It starts without share and tokens, so a restarted host admits nothing beyond what its previous run may have admitted or
 * lent. Rates are in tokens per second. Not thread-safe. Times are monotonic times of this host.
 */
struct ShareBucket
{
    /** This host's own share now in effect. */
    RateShare own_;
    /** The own share from pendingAt_ on; meaningful only while pendingAt_ is finite. */
    RateShare pendingOwn_;
    absl::Time pendingAt_ = absl::InfiniteFuture();
    double tokens_ = 0;
    absl::Time updatedAt_ = absl::InfinitePast();
    std::vector<ActiveRateLoan> lent_;
    std::vector<ActiveRateLoan> borrowed_;
    /** Requests per second for a token, admitted or not; exponentially decaying average at demandUpdatedAt_. */
    double demand_ = 0;
    absl::Time demandUpdatedAt_ = absl::InfinitePast();

    auto operator==(const ShareBucket &other) const -> bool = default;
};

/** The rate and burst in effect: the own share minus loans to others plus loans from others, not below zero. */
[[nodiscard]] auto effectiveShare(const ShareBucket &bucket) -> RateShare;

/** Advances a bucket to a time: adds tokens, ends expired loans and applies a pending increase, each at its own time. Earlier times have no effect. */
auto advance(ShareBucket &bucket, absl::Time now) -> void;

/**
 * Sets the own share. Decreases of rate and burst take effect at once, increases at the given time. Setting the pending share again doesn't postpone
 * it.
 */
auto setShare(ShareBucket &bucket, absl::Time now, const RateShare &share, absl::Time growsAt) -> void;

/** Sets the own share to zero. Used when this host has missed revisions in which the share may have been assigned to another host and back. */
auto dropOwn(ShareBucket &bucket, absl::Time now) -> void;

/** Ends the loans from other hosts. Used when the limit has been split anew, since these loans are based on the earlier split. */
auto dropBorrowed(ShareBucket &bucket, absl::Time now) -> void;

/** Takes one token; false when there is none. */
[[nodiscard]] auto take(ShareBucket &bucket, absl::Time now) -> bool;

/** Records a request for a token in the demand. */
auto recordDemand(ShareBucket &bucket, absl::Time now) -> void;

/** The average demand at a time, in requests per second. */
[[nodiscard]] auto demandAt(const ShareBucket &bucket, absl::Time now) -> double;

/**
 * Lends up to the requested share until a time and keeps what this host's own demand needs. Borrowed capacity is never lent. The lender's rate, burst and
 * tokens are reduced at once, so that lender and borrower together don't exceed the share; the given time must therefore include the clock drift margin.
 * Returns an empty grant when too little is available.
 */
[[nodiscard]] auto lend(ShareBucket &bucket, absl::Time now, const RateShare &requested, absl::Time until) -> RateLoanGrant;

/**
 * Adds a loan received now that may be used until the given time. The borrower computes that time from when it sent its request, so that its loan ends
 * no later than the lender's.
 */
auto borrow(ShareBucket &bucket, absl::Time now, const RateLoanGrant &grant, absl::Time until) -> void;

/** Rate and burst to request from a peer, computed from the recent demand. */
[[nodiscard]] auto loanToRequest(const ShareBucket &bucket, absl::Time now) -> RateShare;

}
