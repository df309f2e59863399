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
    /** Source region, whose requests are moved. */
    std::string from_;
    /** Target region, whose backend servers run them. */
    std::string to_;
    /** Fraction of the requests to move once the ramp has ended, from 0 to 1. */
    double share_ = 0;
    /** Maximum moved requests per second, all hosts together. */
    double rateCap_ = 0;
    /** Wall-clock time at which the ramp starts. */
    absl::Time start_ = absl::InfinitePast();
    /** Duration of the ramp; the moved fraction rises linearly from 0. */
    absl::Duration rampDuration_ = absl::ZeroDuration();

    auto operator==(const Shift &other) const -> bool = default;
};

}
