/** Estimates how long requests take, from those that have ended. */
#pragma once

#include <absl/time/time.h>

namespace lycheecleat
{

/** Moving averages of durations and of their deviation from the average, as for the retransmission timeout of TCP (RFC 6298). */
struct DurationEstimate
{
    absl::Duration mean_ = absl::ZeroDuration();
    absl::Duration deviation_ = absl::ZeroDuration();

    auto operator==(const DurationEstimate &other) const -> bool = default;
};

/** Takes the duration of a further request into account. */
auto addDuration(DurationEstimate &estimate, absl::Duration duration) -> void;

/** Time within which nearly all requests end; zero when none has ended. */
[[nodiscard]] auto longestExpected(const DurationEstimate &estimate) -> absl::Duration;

}
