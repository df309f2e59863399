/** Requests at a steady rate from threads, until stopped. */
#pragma once

#include "support/caller.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <vector>

namespace integration
{

/** Calls a function at a rate from several threads. A call that is late does not delay those after it while a thread is free. */
class ConstantRateLoad
{
public:
    /** The function gets the number of the call. */
    ConstantRateLoad(double perSecond, int threads, std::function<void(int)> send);
    ~ConstantRateLoad();
    ConstantRateLoad(const ConstantRateLoad &) = delete;
    auto operator=(const ConstantRateLoad &) -> ConstantRateLoad & = delete;

    /** Waits for the calls in progress. */
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

/** When something began and when it was over. */
struct TimeInterval
{
    std::chrono::steady_clock::time_point begin_;
    std::chrono::steady_clock::time_point end_;
};

/**
 * The largest excess of spans over a rate and burst in any window: spans that lie wholly inside a window happened in it, whatever their exact time.
 * At most zero when the limit holds.
 */
[[nodiscard]] auto maximumRateExcess(std::vector<TimeInterval> intervals, double rate, double burst) -> double;

/** The largest number of spans wholly inside one window of a length. */
[[nodiscard]] auto maximumWithinWindow(std::vector<TimeInterval> intervals, std::chrono::duration<double> window) -> int;

}
