#include "process/processdelay.h"

#include "core/clock.h"
#include "core/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace lycheecleat
{

namespace
{

/** Shorter delays are not reported. */
constexpr auto reportedDelay = absl::Milliseconds(500);

auto millisecondsText(absl::Duration duration) -> std::string
{
    return fmt::format("{}", absl::ToInt64Milliseconds(duration));
}

}

auto delayBetween(const WakeReading &before, const WakeReading &after, absl::Duration interval) -> std::optional<ProcessDelay>
{
    const auto elapsed = after.at_ - before.at_;
    const auto late = elapsed - interval;
    if (late < reportedDelay) {
        return std::nullopt;
    }
    const auto suspended = std::max(absl::ZeroDuration(), elapsed - (after.runningAt_ - before.runningAt_));
    return ProcessDelay { late, after.processorTime_ - before.processorTime_, suspended };
}

auto readWake() -> WakeReading
{
    return { monotonicNow(), runningNow(), processorTime() };
}

auto logDelay(const ProcessDelay &delay) -> void
{
    logLine(wallNow(),
            LogLevel::Warning,
            "process_delayed",
            { { "late_ms", millisecondsText(delay.late_) },
              { "processor_ms", millisecondsText(delay.processorTime_) },
              { "suspended_ms", millisecondsText(delay.suspended_) } });
}

}
