/** The times of a host's planned stop, and which requests it still takes. */
#pragma once

#include <absl/time/time.h>

namespace lycheecleat
{

/** Monotonic times of a planned stop; all in the infinite future while the host is not to stop. */
struct PlannedStop
{
    /** When the host handled the stop signal. */
    absl::Time beganAt_ = absl::InfiniteFuture();
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

}
