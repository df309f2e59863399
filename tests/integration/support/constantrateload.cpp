#include "support/constantrateload.h"

#include <algorithm>
#include <limits>

namespace integration
{

namespace
{

auto sortByEnd(std::vector<TimeInterval> &intervals) -> void
{
    std::sort(intervals.begin(), intervals.end(), [](const TimeInterval &left, const TimeInterval &right) {
        return left.end_ < right.end_;
    });
}

}

ConstantRateLoad::ConstantRateLoad(double perSecond, int threads, std::function<void(int)> send)
    : interval_(1 / perSecond)
    , send_(std::move(send))
    , startedAt_(std::chrono::steady_clock::now())
{
    for (auto index = 0; index < threads; ++index) {
        threads_.emplace_back([this] {
            run();
        });
    }
}

ConstantRateLoad::~ConstantRateLoad()
{
    stop();
}

auto ConstantRateLoad::stop() -> void
{
    isStopping_ = true;
    for (auto &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

auto ConstantRateLoad::run() -> void
{
    while (!isStopping_) {
        const auto index = next_++;
        std::this_thread::sleep_until(startedAt_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(interval_ * index));
        if (!isStopping_) {
            send_(index);
        }
    }
}

auto maximumRateExcess(std::vector<TimeInterval> intervals, double rate, double burst) -> double
{
    sortByEnd(intervals);
    auto largest = -std::numeric_limits<double>::infinity();
    for (const auto &first : intervals) {
        auto count = 0;
        for (const auto &interval : intervals) {
            if (interval.begin_ >= first.begin_) {
                ++count;
                largest = std::max(largest, count - burst - rate * std::chrono::duration<double>(interval.end_ - first.begin_).count());
            }
        }
    }
    return largest;
}

auto maximumWithinWindow(std::vector<TimeInterval> intervals, std::chrono::duration<double> window) -> int
{
    sortByEnd(intervals);
    auto maximum = 0;
    for (const auto &first : intervals) {
        const auto count = std::count_if(intervals.begin(), intervals.end(), [&](const TimeInterval &interval) {
            return interval.begin_ >= first.begin_ && interval.end_ <= first.begin_ + window;
        });
        maximum = std::max(maximum, static_cast<int>(count));
    }
    return maximum;
}

}
