#include "request/plannedstop.h"

namespace lycheecleat
{

namespace
{

/** Fraction of the grace during which new requests are still taken, since callers keep old lookup responses. */
constexpr auto takingFraction = 0.5;

/** Fraction of the grace after which requests that have not ended are answered as at their deadlines. */
constexpr auto waitingFraction = 0.93;

/** Fraction of the grace after which the process ends at the latest. */
constexpr auto finishedFraction = 0.96;

}

auto planStop(absl::Time now, absl::Duration grace) -> PlannedStop
{
    return { now, now + grace * takingFraction, now + grace * waitingFraction, now + grace * finishedFraction };
}

auto hasBegun(const PlannedStop &stop) -> bool
{
    return stop.beganAt_ != absl::InfiniteFuture();
}

}
