#include "request/sharebucket.h"

#include <algorithm>
#include <cmath>

namespace lycheecleat
{

namespace
{

/** Time constant of the average demand. */
constexpr auto demandAveragingTime = absl::Seconds(1);

/** Factor on the demand before it is compared with a rate, so that small variations don't each cause a new loan. */
constexpr auto demandHeadroom = 1.25;

/** Demand in requests per second below which it counts as none. */
constexpr auto negligibleDemand = 0.05;

/** Burst to request, in seconds of the missing rate. */
constexpr auto borrowedBurstSeconds = 0.5;

/** Smallest burst to request. */
constexpr auto minimumBorrowedBurst = 2.0;

/** A loan below this rate and below one token of burst isn't granted, since its overhead outweighs its use. */
constexpr auto minimumLentRate = 1.0;

/** Rounding error allowed when tokens are compared with 1. */
constexpr auto tokenRounding = 1e-9;

auto sumOf(const std::vector<ActiveRateLoan> &loans) -> RateShare
{
    auto sum = RateShare {};
    for (const auto &loan : loans) {
        sum.rate_ += loan.share_.rate_;
        sum.burst_ += loan.share_.burst_;
    }
    return sum;
}

/** The part of the own share that isn't lent; zero while the loans exceed the share. */
auto unlentShare(const ShareBucket &bucket) -> RateShare
{
    const auto lent = sumOf(bucket.lent_);
    return { std::max(0.0, bucket.own_.rate_ - lent.rate_), std::max(0.0, bucket.own_.burst_ - lent.burst_) };
}

auto capTokens(ShareBucket &bucket) -> void
{
    bucket.tokens_ = std::min(bucket.tokens_, effectiveShare(bucket).burst_);
}

auto accrueUntil(ShareBucket &bucket, absl::Time time) -> void
{
    if (time <= bucket.updatedAt_) {
        return;
    }
    const auto capacity = effectiveShare(bucket);
    if (bucket.updatedAt_ != absl::InfinitePast()) {
        bucket.tokens_ += capacity.rate_ * absl::ToDoubleSeconds(time - bucket.updatedAt_);
    }
    bucket.tokens_ = std::min(bucket.tokens_, capacity.burst_);
    bucket.updatedAt_ = time;
}

auto nextChange(const ShareBucket &bucket) -> absl::Time
{
    auto next = bucket.pendingAt_;
    for (const auto &loan : bucket.lent_) {
        next = std::min(next, loan.until_);
    }
    for (const auto &loan : bucket.borrowed_) {
        next = std::min(next, loan.until_);
    }
    return next;
}

auto applyChanges(ShareBucket &bucket, absl::Time time) -> void
{
    const auto ended = [&](const ActiveRateLoan &loan) {
        return loan.until_ <= time;
    };
    std::erase_if(bucket.lent_, ended);
    std::erase_if(bucket.borrowed_, ended);
    if (bucket.pendingAt_ <= time) {
        bucket.own_ = bucket.pendingOwn_;
        bucket.pendingAt_ = absl::InfiniteFuture();
    }
    capTokens(bucket);
}

}

auto effectiveShare(const ShareBucket &bucket) -> RateShare
{
    const auto lent = sumOf(bucket.lent_);
    const auto borrowed = sumOf(bucket.borrowed_);
    return { std::max(0.0, bucket.own_.rate_ - lent.rate_ + borrowed.rate_), std::max(0.0, bucket.own_.burst_ - lent.burst_ + borrowed.burst_) };
}

auto advance(ShareBucket &bucket, absl::Time now) -> void
{
    while (true) {
        const auto change = nextChange(bucket);
        if (change > now) {
            break;
        }
        accrueUntil(bucket, change);
        applyChanges(bucket, change);
    }
    accrueUntil(bucket, now);
}

auto setShare(ShareBucket &bucket, absl::Time now, const RateShare &share, absl::Time growsAt) -> void
{
    advance(bucket, now);
    const auto grows = share.rate_ > bucket.own_.rate_ || share.burst_ > bucket.own_.burst_;
    const auto isPending = bucket.pendingAt_ != absl::InfiniteFuture() && bucket.pendingOwn_ == share;
    bucket.own_ = { std::min(bucket.own_.rate_, share.rate_), std::min(bucket.own_.burst_, share.burst_) };
    if (!isPending) {
        bucket.pendingOwn_ = share;
        bucket.pendingAt_ = grows ? growsAt : absl::InfiniteFuture();
    }
    capTokens(bucket);
}

auto dropOwn(ShareBucket &bucket, absl::Time now) -> void
{
    advance(bucket, now);
    bucket.own_ = {};
    bucket.pendingAt_ = absl::InfiniteFuture();
    capTokens(bucket);
}

auto dropBorrowed(ShareBucket &bucket, absl::Time now) -> void
{
    advance(bucket, now);
    bucket.borrowed_.clear();
    capTokens(bucket);
}

auto take(ShareBucket &bucket, absl::Time now) -> bool
{
    advance(bucket, now);
    if (bucket.tokens_ < 1 - tokenRounding) {
        return false;
    }
    bucket.tokens_ -= 1;
    return true;
}

auto recordDemand(ShareBucket &bucket, absl::Time now) -> void
{
    bucket.demand_ = demandAt(bucket, now) + 1 / absl::ToDoubleSeconds(demandAveragingTime);
    bucket.demandUpdatedAt_ = std::max(bucket.demandUpdatedAt_, now);
}

auto demandAt(const ShareBucket &bucket, absl::Time now) -> double
{
    if (bucket.demandUpdatedAt_ == absl::InfinitePast() || now <= bucket.demandUpdatedAt_) {
        return bucket.demand_;
    }
    return bucket.demand_ * std::exp(-absl::FDivDuration(now - bucket.demandUpdatedAt_, demandAveragingTime));
}

auto lend(ShareBucket &bucket, absl::Time now, const RateShare &requested, absl::Time until) -> RateLoanGrant
{
    advance(bucket, now);
    const auto available = unlentShare(bucket);
    auto reserved = RateShare {};
    const auto demand = demandAt(bucket, now) * demandHeadroom;
    if (demand > negligibleDemand) {
        const auto reservedFraction = available.rate_ > 0 ? std::min(1.0, demand / available.rate_) : 1.0;
        reserved = { available.rate_ * reservedFraction, std::max(1.0, available.burst_ * reservedFraction) };
    }
    auto grant = RateLoanGrant {};
    grant.share_.rate_ = std::max(0.0, std::min(requested.rate_, available.rate_ - reserved.rate_));
    grant.share_.burst_ = std::max(0.0, std::min(requested.burst_, available.burst_ - reserved.burst_));
    if (grant.share_.rate_ < minimumLentRate && grant.share_.burst_ < 1) {
        return {};
    }
    grant.tokens_ = std::min(grant.share_.burst_, std::max(0.0, bucket.tokens_ - std::min(bucket.tokens_, reserved.burst_)));
    bucket.tokens_ -= grant.tokens_;
    bucket.lent_.push_back({ grant.share_, until });
    capTokens(bucket);
    return grant;
}

auto borrow(ShareBucket &bucket, absl::Time now, const RateLoanGrant &grant, absl::Time until) -> void
{
    advance(bucket, now);
    if (until <= now) {
        return;
    }
    bucket.borrowed_.push_back({ grant.share_, until });
    bucket.tokens_ += grant.tokens_;
    capTokens(bucket);
}

auto loanToRequest(const ShareBucket &bucket, absl::Time now) -> RateShare
{
    const auto demand = demandAt(bucket, now) * demandHeadroom;
    const auto missing = std::max(0.0, demand - effectiveShare(bucket).rate_);
    return { missing, std::max(minimumBorrowedBurst, std::ceil(missing * borrowedBurstSeconds)) };
}

}
