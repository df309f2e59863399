#include "process/processortime.h"

#include <pthread.h>

#include <ctime>

namespace lycheecleat
{

namespace
{

auto readClock(clockid_t clock) -> std::int64_t
{
    auto value = timespec {};
    clock_gettime(clock, &value);
    return absl::ToInt64Nanoseconds(absl::DurationFromTimespec(value));
}

}

auto processorTimeOf(std::vector<std::thread> &threads) -> absl::Duration
{
    auto total = std::int64_t { 0 };
    for (auto &thread : threads) {
        auto clock = clockid_t {};
        if (pthread_getcpuclockid(thread.native_handle(), &clock) == 0) {
            total += readClock(clock);
        }
    }
    return absl::Nanoseconds(total);
}

ProcessorTimeMeter::Scope::Scope(ProcessorTimeMeter &meter)
    : meter_(meter)
    , startedAt_(readClock(CLOCK_THREAD_CPUTIME_ID))
{
}

ProcessorTimeMeter::Scope::~Scope()
{
    meter_.nanoseconds_ += readClock(CLOCK_THREAD_CPUTIME_ID) - startedAt_;
}

auto ProcessorTimeMeter::total() const -> absl::Duration
{
    return absl::Nanoseconds(nanoseconds_.load());
}

}
