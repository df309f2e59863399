/** Monotonic and wall clocks. The libraries core, request and version don't read them; their functions get the time as an argument. */
#pragma once

#include <absl/time/time.h>

namespace lycheecleat
{

/** Time since boot, including time in suspend. Only differences are meaningful, and only within one host. */
[[nodiscard]] auto monotonicNow() -> absl::Time;

/** As monotonicNow(), but without time in suspend. */
[[nodiscard]] auto runningNow() -> absl::Time;

/** Processor time that this process has used. */
[[nodiscard]] auto processorTime() -> absl::Duration;

/** Wall-clock time. Used for shift schedules, token expiry and log lines. */
[[nodiscard]] auto wallNow() -> absl::Time;

}
