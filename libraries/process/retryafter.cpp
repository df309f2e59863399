#include "process/retryafter.h"

#include "core/digest.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>

namespace lycheecleat
{

namespace
{

/** Bounds of Retry-After while all backend servers are paused. Callers honour it up to a part of their time, and another host may serve them sooner. */
constexpr auto minimumRetryAfter = absl::Milliseconds(300);
constexpr auto maximumRetryAfter = absl::Seconds(5);

/** Upper bound of Retry-After while backend servers have reached their limits; the lower one is minimumRetryAfter. */
constexpr auto maximumLimitRetryAfter = absl::Seconds(2);

}

auto retryAfter(Refusal refusal) -> std::optional<std::string_view>
{
    switch (refusal) {
    case Refusal::Stopping:
        return "0";
    case Refusal::NoCapacity:
    case Refusal::BackendUnreachable:
    case Refusal::Overloaded:
    case Refusal::NoMemory:
        return "0.3";
    case Refusal::NoConfiguration:
        return "0.5";
    case Refusal::RateExceeded:
        return "1";
    default:
        return std::nullopt;
    }
}

// Callers return evenly over some time, since a server with a limit has room for a few requests at any time and never for many at once.
auto retryAfterLimit(const std::string &requestId) -> std::string
{
    constexpr auto steps = std::uint64_t { 1000 };
    const auto fraction = static_cast<double>(stableHash(requestId) % steps) / static_cast<double>(steps);
    return fmt::format("{:.1f}", absl::ToDoubleSeconds(minimumRetryAfter + (maximumLimitRetryAfter - minimumRetryAfter) * fraction));
}

auto retryAfterReturn(absl::Time now, absl::Time returnAt) -> std::string
{
    return fmt::format("{:.1f}", absl::ToDoubleSeconds(std::clamp(returnAt - now, minimumRetryAfter, maximumRetryAfter)));
}

}
