#include "request/plannedstop.h"

namespace lycheecleat
{

namespace
{

/** The users' rules let a host break off, at its end, only requests that were sent within this time after its stop signal, whatever the grace. */
constexpr auto breakableTime = absl::Seconds(3);

/** Longest time from the stop signal until the host handles it: one that has used up its share of the processor runs again within a tenth of a second. */
constexpr auto signalDelay = absl::Milliseconds(100);

/** Fraction of the grace during which new requests are still taken, since callers keep old lookup responses. */
constexpr auto takingFraction = 0.5;

/** Fraction of the grace after which requests that have not ended are answered as at their deadlines. */
constexpr auto waitingFraction = 0.93;

/** Fraction of the grace after which the process ends at the latest. */
constexpr auto finishedFraction = 0.96;

}

auto planStop(absl::Time now, absl::Duration grace) -> PlannedStop
{
    return { now, now + breakableTime - signalDelay, now + grace * takingFraction, now + grace * waitingFraction, now + grace * finishedFraction };
}

auto hasBegun(const PlannedStop &stop) -> bool
{
    return stop.beganAt_ != absl::InfiniteFuture();
}

// What earlier requests of a route took doesn't make the end of the next one certain; its limit does.
auto stopRefusalOf(absl::Time now, const PlannedStop &stop, const StopCandidate &candidate) -> std::optional<StopRefusal>
{
    if (now >= stop.refusesAt_) {
        return StopRefusal::TakesNoRequests;
    }
    if (now + candidate.longestExpected_ > stop.waitsEndAt_) {
        return StopRefusal::RouteTakesLonger;
    }
    if (candidate.completeAt_ > stop.lateAfter_ && candidate.limitEndsAt_ > stop.waitsEndAt_) {
        return StopRefusal::EndNotCertain;
    }
    return std::nullopt;
}

auto describeStopRefusal(StopRefusal refusal) -> std::string_view
{
    switch (refusal) {
    case StopRefusal::TakesNoRequests:
        return "this host takes no new requests any more";
    case StopRefusal::RouteTakesLonger:
        return "requests of the route take longer than this host still runs";
    case StopRefusal::EndNotCertain:
        return "the request came late in the stop of this host, and its limit ends after the host";
    }
    return "";
}

}
