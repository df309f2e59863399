/** Load at a constant rate, and checks of rates over time intervals. */
#pragma once

#include "support/caller.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

namespace integration
{

/** Calls a function at a constant rate from several threads until it is stopped. A slow call does not delay later ones while a thread is free. */
class ConstantRateLoad
{
public:
    /** The function receives the sequence number of the call, starting from 0. */
    ConstantRateLoad(double perSecond, int threads, std::function<void(int)> send);
    ~ConstantRateLoad();
    ConstantRateLoad(const ConstantRateLoad &) = delete;
    auto operator=(const ConstantRateLoad &) -> ConstantRateLoad & = delete;

    /** Starts no further calls and waits for those in progress. */
    auto stop() -> void;

private:
    auto run() -> void;

    std::chrono::duration<double> interval_;
    std::function<void(int)> send_;
    std::chrono::steady_clock::time_point startedAt_;
    std::atomic<int> next_ = 0;
    std::atomic<bool> isStopping_ = false;
    std::vector<std::thread> threads_;
};

/** Begin and end of a call. */
struct TimeInterval
{
    std::chrono::steady_clock::time_point begin_;
    std::chrono::steady_clock::time_point end_;
};

/**
 * Returns the maximum, over all time windows, by which the number of intervals exceeds a rate limit (rate times window plus burst); at most zero if the
 * limit holds. Only intervals completely inside a window are counted, as their events certainly occurred in it.
 */
[[nodiscard]] auto maximumRateExcess(std::vector<TimeInterval> intervals, double rate, double burst) -> double;

/** Maximum number of intervals completely inside a time window of the given length. */
[[nodiscard]] auto maximumWithinWindow(std::vector<TimeInterval> intervals, std::chrono::duration<double> window) -> int;

}
