/** Allowance for clock rate error between hosts. */
#pragma once

#include <absl/time/time.h>

namespace lycheecleat
{

/**
 * Time by which a host outwaits a period that another host or a backend server measures: 10% of the period and 100 ms. The fixed part
 * also covers the delay until the other side starts to measure.
 */
[[nodiscard]] auto clockDriftMargin(absl::Duration period) -> absl::Duration;

/** A period and its margin. */
[[nodiscard]] auto withClockDriftMargin(absl::Duration period) -> absl::Duration;

}
