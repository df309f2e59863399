/** Token bucket of one host's share of a limit, with the loans it has given and taken. */
#pragma once

#include "request/clockdriftmargin.h"
#include "version/sharetable.h"

#include <absl/time/time.h>

#include <vector>

namespace lycheecleat
{

/** Part of a share that is lent until a time. */
struct ActiveRateLoan
{
    RateShare share_;
    absl::Time until_;

    auto operator==(const ActiveRateLoan &other) const -> bool = default;
};

/** What a lender hands over. */
struct RateLoanGrant
{
    RateShare share_;
    double tokens_ = 0;

    auto operator==(const RateLoanGrant &other) const -> bool = default;
};

/** A share bucket. It starts with no share and no tokens. Times are monotonic times of this host. */
struct ShareBucket
{
    /** The own share in force. */
    RateShare own_;
    /** The own share once a growth takes effect. */
    RateShare pendingOwn_;
    absl::Time pendingAt_ = absl::InfiniteFuture();
    double tokens_ = 0;
    absl::Time updatedAt_ = absl::InfinitePast();
    std::vector<ActiveRateLoan> lent_;
    std::vector<ActiveRateLoan> borrowed_;
    /** Requests a second that asked for a token, averaged over about a second. */
    double demand_ = 0;
    absl::Time demandUpdatedAt_ = absl::InfinitePast();

    auto operator==(const ShareBucket &other) const -> bool = default;
};

/** The rate and burst in force: the own share less loans given plus loans taken. Not below zero. */
[[nodiscard]] auto effectiveShare(const ShareBucket &bucket) -> RateShare;

/** Brings a bucket to a time: adds tokens, ends loans and applies a growth, each at its own time. A time in the past changes nothing. */
auto advance(ShareBucket &bucket, absl::Time now) -> void;

/** Sets the own share. What shrinks does so at once; what grows does so at the given time. */
auto setShare(ShareBucket &bucket, absl::Time now, const RateShare &share, absl::Time growsAt) -> void;

/** Drops the own share, since it may have been given to another host and back in revisions that this host has missed. */
auto dropOwn(ShareBucket &bucket, absl::Time now) -> void;

/** Drops the loans taken, since they belong to an earlier split of the limit. */
auto dropBorrowed(ShareBucket &bucket, absl::Time now) -> void;

/** Takes one token if there is one. */
[[nodiscard]] auto take(ShareBucket &bucket, absl::Time now) -> bool;

/** Counts a request for a token in the demand. */
auto recordDemand(ShareBucket &bucket, absl::Time now) -> void;

/** The demand at a time, in requests a second. */
[[nodiscard]] auto demandAt(const ShareBucket &bucket, absl::Time now) -> double;

/** Lends up to the wanted share until a time, keeping what the host's own demand needs. Borrowed capacity is never lent on. */
[[nodiscard]] auto lend(ShareBucket &bucket, absl::Time now, const RateShare &requested, absl::Time until) -> RateLoanGrant;

/** Adds a loan received now that may be used until the given time, which the borrower counts from when it sent its request. */
auto borrow(ShareBucket &bucket, absl::Time now, const RateLoanGrant &lent, absl::Time until) -> void;

/** What to ask a peer for, from the recent demand. */
[[nodiscard]] auto loanToRequest(const ShareBucket &bucket, absl::Time now) -> RateShare;

}
