/** Which region a request goes to under the operators' shifts. */
#pragma once

#include "version/configuration.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace lycheecleat
{

/** The share of requests that a shift moves at a wall-clock time, from 0 to 1. */
[[nodiscard]] auto rampedShare(const Shift &shift, absl::Time wallTime) -> double;

/** The shift that moves a request of a region; null when the request stays. The same request is decided alike at any later time of a ramp up. */
[[nodiscard]] auto
chooseShift(const Configuration &configuration, const std::string &pool, const std::string &region, absl::Time wallTime, std::uint64_t requestHash)
    -> const Shift *;

/** The shift whose cap counts requests of a pool that go from one region to another; null when there is none. */
[[nodiscard]] auto findShift(const Configuration &configuration, const std::string &pool, const std::string &from, const std::string &to) -> const Shift *;

/** Whether any shift concerns requests of a pool in a region. */
[[nodiscard]] auto hasShifts(const Configuration &configuration, const std::string &pool, const std::string &from) -> bool;

}
