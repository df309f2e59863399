#include "request/durationestimate.h"

namespace lycheecleat
{

namespace
{

/** Weights of the newest duration in the averages, and deviations above the mean that nearly all durations stay within (RFC 6298). */
constexpr auto meanWeight = 0.125;
constexpr auto deviationWeight = 0.25;
constexpr auto expectedDeviations = 4.0;

}

auto addDuration(DurationEstimate &estimate, absl::Duration duration) -> void
{
    if (estimate == DurationEstimate {}) {
        estimate = { duration, duration / 2 };
        return;
    }
    estimate.deviation_ += (absl::AbsDuration(duration - estimate.mean_) - estimate.deviation_) * deviationWeight;
    estimate.mean_ += (duration - estimate.mean_) * meanWeight;
}

auto longestExpected(const DurationEstimate &estimate) -> absl::Duration
{
    return estimate.mean_ + estimate.deviation_ * expectedDeviations;
}

}
