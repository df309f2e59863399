#include "request/clockdriftmargin.h"

namespace lycheecleat
{

namespace
{

constexpr auto driftFraction = 0.1;
constexpr auto fixedMargin = absl::Milliseconds(100);

}

auto clockDriftMargin(absl::Duration period) -> absl::Duration
{
    return period * driftFraction + fixedMargin;
}

auto withClockDriftMargin(absl::Duration period) -> absl::Duration
{
    return period + clockDriftMargin(period);
}

}
