#include "support/load.h"

#include <algorithm>
#include <limits>

namespace integration
{

namespace
{

auto sortByEnd(std::vector<Span> &spans) -> void
{
    std::sort(spans.begin(), spans.end(), [](const Span &left, const Span &right) {
        return left.end_ < right.end_;
    });
}

}

Load::Load(double perSecond, int threads, std::function<void(int)> send)
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

Load::~Load()
{
    stop();
}

auto Load::stop() -> void
{
    isStopping_ = true;
    for (auto &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

auto Load::run() -> void
{
    while (!isStopping_) {
        const auto index = next_++;
        std::this_thread::sleep_until(startedAt_ + std::chrono::duration_cast<std::chrono::steady_clock::duration>(interval_ * index));
        if (!isStopping_) {
            send_(index);
        }
    }
}

auto largestExcess(std::vector<Span> spans, double rate, double burst) -> double
{
    sortByEnd(spans);
    auto largest = -std::numeric_limits<double>::infinity();
    for (const auto &first : spans) {
        auto count = 0;
        for (const auto &span : spans) {
            if (span.begin_ >= first.begin_) {
                ++count;
                largest = std::max(largest, count - burst - rate * std::chrono::duration<double>(span.end_ - first.begin_).count());
            }
        }
    }
    return largest;
}

auto mostWithin(std::vector<Span> spans, std::chrono::duration<double> window) -> int
{
    sortByEnd(spans);
    auto most = 0;
    for (const auto &first : spans) {
        const auto count = std::count_if(spans.begin(), spans.end(), [&](const Span &span) {
            return span.begin_ >= first.begin_ && span.end_ <= first.begin_ + window;
        });
        most = std::max(most, static_cast<int>(count));
    }
    return most;
}

}
