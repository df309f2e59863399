/** Detects that the process got no processor time, or too little, from the lateness of a periodic wake-up. */
#pragma once

#include <absl/time/time.h>

#include <optional>

namespace lycheecleat
{

/** Readings of the clocks at a wake-up. */
struct WakeReading
{
    /** Monotonic time. */
    absl::Time at_;
    /** Monotonic clock that stands still while the machine is suspended. */
    absl::Time runningAt_;
    /** Processor time that the process has used. */
    absl::Duration processorTime_;

    auto operator==(const WakeReading &other) const -> bool = default;
};

/** A wake-up that came late. Much processor time means a busy process, little a process that was stopped or got no processor. */
struct ProcessDelay
{
    /** How much later than planned the wake-up came. */
    absl::Duration late_;
    /** Processor time of the process since the wake-up before. */
    absl::Duration processorTime_;
    /** Part of the time since the wake-up before in which the machine was suspended. */
    absl::Duration suspended_;

    auto operator==(const ProcessDelay &other) const -> bool = default;
};

/** The delay of a wake-up that was planned for the interval after the one before; none if it is below half a second. */
[[nodiscard]] auto delayBetween(const WakeReading &before, const WakeReading &after, absl::Duration interval) -> std::optional<ProcessDelay>;

/** Reads the clocks. */
[[nodiscard]] auto readWake() -> WakeReading;

/** Logs a delay. */
auto logDelay(const ProcessDelay &delay) -> void;

}
