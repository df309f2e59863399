/** Traffic shifts between regions, as configured by operators. */
#pragma once

#include "version/configuration.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace lycheecleat
{

/** The fraction of requests, 0 to 1, that a shift moves at a wall-clock time; it increases linearly over the shift's ramp. */
[[nodiscard]] auto rampedShare(const Shift &shift, absl::Time wallTime) -> double;

/** The shift that moves a request of a region; null when the request stays. A request hash that is moved during a ramp is also moved later in it. */
[[nodiscard]] auto
chooseShift(const Configuration &configuration, const std::string &pool, const std::string &region, absl::Time wallTime, std::uint64_t requestHash)
    -> const Shift *;

/** The shift whose cap limits the requests of a pool that move from one region to another; null when there is none. */
[[nodiscard]] auto findShift(const Configuration &configuration, const std::string &pool, const std::string &from, const std::string &to) -> const Shift *;

/** Whether any shift applies to requests of a pool in a region. */
[[nodiscard]] auto hasShifts(const Configuration &configuration, const std::string &pool, const std::string &from) -> bool;

}
