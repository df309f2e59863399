#include "core/clock.h"

#include <absl/time/clock.h>

#include <ctime>

namespace lycheecleat
{

namespace
{

auto readClock(clockid_t clock) -> timespec
{
    auto value = timespec {};
    clock_gettime(clock, &value);
    return value;
}

}

auto monotonicNow() -> absl::Time
{
    return absl::TimeFromTimespec(readClock(CLOCK_BOOTTIME));
}

auto runningNow() -> absl::Time
{
    return absl::TimeFromTimespec(readClock(CLOCK_MONOTONIC));
}

auto processorTime() -> absl::Duration
{
    return absl::DurationFromTimespec(readClock(CLOCK_PROCESS_CPUTIME_ID));
}

auto wallNow() -> absl::Time
{
    return absl::Now();
}

}
