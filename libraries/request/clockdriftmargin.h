/** Safety margin for periods that are measured by the clocks of different hosts. */
#pragma once

#include <absl/time/time.h>

namespace lycheecleat
{

/**
 * Time that a host waits beyond a period which another host or a backend server measures, before it relies on the end of that period: 10% of the period
 * for clock drift, plus 100 ms. The fixed part also covers the delay until the other side starts to measure.
 */
[[nodiscard]] auto clockDriftMargin(absl::Duration period) -> absl::Duration;

/** A period plus its margin. */
[[nodiscard]] auto withClockDriftMargin(absl::Duration period) -> absl::Duration;

}
