#include "core/clock.h"

#include <absl/time/clock.h>

#include <ctime>

namespace lycheecleat
{

auto monotonicNow() -> absl::Time
{
    auto value = timespec {};
    clock_gettime(CLOCK_BOOTTIME, &value);
    return absl::TimeFromTimespec(value);
}

auto wallNow() -> absl::Time
{
    return absl::Now();
}

}
