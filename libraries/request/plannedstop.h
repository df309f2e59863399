/** The times of a host's planned stop, and which requests it still takes. */
#pragma once

#include <absl/time/time.h>

#include <optional>
#include <string_view>

namespace lycheecleat
{

/** Monotonic times of a planned stop; all in the infinite future while the host is not to stop. */
struct PlannedStop
{
    /** When the host handled the stop signal. */
    absl::Time beganAt_ = absl::InfiniteFuture();
    /** A request that is complete later is taken only if its own limit ends before the waits do. */
    absl::Time lateAfter_ = absl::InfiniteFuture();
    /** From then on, every new request is refused. */
    absl::Time refusesAt_ = absl::InfiniteFuture();
    /** When all waits for backend servers end; requests that have not ended are then answered as at their deadlines. */
    absl::Time waitsEndAt_ = absl::InfiniteFuture();
    /** When the process ends at the latest. */
    absl::Time endsAt_ = absl::InfiniteFuture();

    auto operator==(const PlannedStop &other) const -> bool = default;
};

/** The stop of a host that handles the stop signal now and is killed after the grace. */
[[nodiscard]] auto planStop(absl::Time now, absl::Duration grace) -> PlannedStop;

/** Whether the host has handled a stop signal. */
[[nodiscard]] auto hasBegun(const PlannedStop &stop) -> bool;

/** What decides whether a stopping host takes a request. */
struct StopCandidate
{
    /** Monotonic time at which the last byte of the request arrived. */
    absl::Time completeAt_;
    /** Monotonic time at which the caller's remaining time or the route's timeout ends, whichever is first. */
    absl::Time limitEndsAt_;
    /** Time within which nearly all requests of the route end; zero if that is not known. */
    absl::Duration longestExpected_;

    auto operator==(const StopCandidate &other) const -> bool = default;
};

/** Why a stopping host does not take a request. */
enum class StopRefusal {
    /** It takes no new requests any more. */
    TakesNoRequests,
    /** Requests of the route take longer than the host still runs. */
    RouteTakesLonger,
    /** The request came too late to be broken off, and its limit ends after the host. */
    EndNotCertain,
};

/** Why a host does not take a request that it could pass on now; none if it takes it. */
[[nodiscard]] auto stopRefusalOf(absl::Time now, const PlannedStop &stop, const StopCandidate &candidate) -> std::optional<StopRefusal>;

/** Description for the log. */
[[nodiscard]] auto describeStopRefusal(StopRefusal refusal) -> std::string_view;

}
