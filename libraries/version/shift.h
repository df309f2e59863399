/** A planned move of traffic from one region to another. */
#pragma once

#include <absl/time/time.h>

#include <string>

namespace lycheecleat
{

/** A shift as declared by a rule of kind `shift`. */
struct Shift
{
    std::string name_;
    std::string pool_;
    /** Region whose requests are moved. */
    std::string from_;
    /** Region whose backend servers take them. */
    std::string to_;
    /** Share of the requests to move once the ramp has ended, from 0 to 1. */
    double share_ = 0;
    /** Requests a second that may be moved, over all hosts together. */
    double rateCap_ = 0;
    /** Wall-clock time at which the ramp starts. */
    absl::Time start_ = absl::InfinitePast();
    /** Length of the ramp. */
    absl::Duration rampDuration_ = absl::ZeroDuration();

    auto operator==(const Shift &other) const -> bool = default;
};

}
