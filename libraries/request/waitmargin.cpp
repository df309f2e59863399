#include "request/waitmargin.h"

namespace lycheecleat
{

namespace
{

constexpr auto marginPart = 0.1;
constexpr auto marginFixed = absl::Milliseconds(100);

}

auto waitMargin(absl::Duration period) -> absl::Duration
{
    return period * marginPart + marginFixed;
}

auto withMargin(absl::Duration period) -> absl::Duration
{
    return period + waitMargin(period);
}

}
