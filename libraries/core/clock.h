/** The two clocks. Only the process library and main functions read them; every decision takes the time as an argument. */
#pragma once

#include <absl/time/time.h>

namespace lycheecleat
{

/** Time since boot, including time the machine was suspended. Only differences have a meaning, and only within one host. */
[[nodiscard]] auto monotonicNow() -> absl::Time;

/** Wall-clock time. Used for shift schedules, token expiry and log lines. */
[[nodiscard]] auto wallNow() -> absl::Time;

}
