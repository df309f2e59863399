#include "request/backendlimit.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

/**
 * Fraction of a limit for which an issuer hands out permits. Hosts that know different things about each other may use two issuers for a time, which together
 * then stay within one and a half times the limit.
 */
constexpr auto issuedFraction = 0.7;

/** Permits that an issuer accumulates while none are asked for: those of one second, within these bounds. */
constexpr auto minimumCapacity = 1.0;
constexpr auto maximumCapacity = 2.0;

/** A lower limit is taken for this one: without any request, no response could tell that the limit has ended. */
constexpr auto minimumRequestsPerSecond = 0.5;

/** A permit that was granted is used within the time for opening a connection. */
constexpr auto permitLifetime = absl::Seconds(1);

/** Requests for a permit for one server that a host has pending at the same time. */
constexpr auto maximumPending = 4;

/** Wait after a request for a permit that was not answered. */
constexpr auto unansweredRetry = absl::Milliseconds(250);

}

auto statementAfterResponse(const LimitStatement &known, std::optional<double> named, absl::Time sentAt, absl::Time receivedAt) -> LimitStatement
{
    const auto isLimited = known.requestsPerSecond_.has_value();
    if (!named && !isLimited) {
        return known;
    }
    if (named && (!isLimited || *named <= *known.requestsPerSecond_)) {
        return { named, receivedAt };
    }
    return sentAt > known.at_ ? LimitStatement { named, sentAt } : known;
}

auto laterStatement(const LimitStatement &known, const LimitStatement &heard) -> LimitStatement
{
    return heard.at_ > known.at_ ? heard : known;
}

auto takePermit(PermitBucket &bucket, absl::Time now, double requestsPerSecond) -> PermitDecision
{
    const auto permitsPerSecond = std::max(requestsPerSecond, minimumRequestsPerSecond) * issuedFraction;
    const auto capacity = std::clamp(permitsPerSecond, minimumCapacity, maximumCapacity);
    if (bucket.refilledAt_ != absl::InfinitePast()) {
        bucket.permits_ = std::min(capacity, bucket.permits_ + permitsPerSecond * absl::ToDoubleSeconds(now - bucket.refilledAt_));
    }
    bucket.refilledAt_ = now;
    const auto isGranted = bucket.permits_ >= 1;
    bucket.permits_ -= isGranted ? 1 : 0;
    const auto missing = std::max(0.0, 1 - bucket.permits_);
    return { isGranted, absl::Seconds(missing / permitsPerSecond) };
}

auto hasPermit(const HeldPermits &held, absl::Time now) -> bool
{
    return held.count_ > 0 && now < held.until_;
}

auto mayAsk(const HeldPermits &held, absl::Time now) -> bool
{
    return held.pending_ < maximumPending && now >= held.askAgainAt_;
}

auto recordAsk(HeldPermits &held) -> void
{
    held.pending_ += 1;
}

auto recordAnswer(HeldPermits &held, absl::Time now, const std::optional<PermitDecision> &answer) -> void
{
    held.pending_ = std::max(0, held.pending_ - 1);
    if (answer && answer->isGranted_) {
        held.count_ = hasPermit(held, now) ? held.count_ + 1 : 1;
        held.until_ = now + permitLifetime;
        return;
    }
    held.askAgainAt_ = std::max(held.askAgainAt_, now + (answer ? answer->retryAfter_ : unansweredRetry));
}

auto usePermit(HeldPermits &held) -> void
{
    held.count_ = std::max(0, held.count_ - 1);
}

}
