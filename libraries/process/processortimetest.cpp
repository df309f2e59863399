#include "process/processortime.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

/** Uses at least 20 ms of processor time on the calling thread. */
auto useProcessorTime() -> void
{
    auto meter = ProcessorTimeMeter();
    const volatile auto operand = 1.0;
    while (meter.total() < absl::Milliseconds(20)) {
        const auto scope = ProcessorTimeMeter::Scope(meter);
        for (auto index = 0; index < 100000; ++index) {
            static_cast<void>(operand * index);
        }
    }
}

}

// Guards against waiting time that is counted as processor time, which would misreport the load of the control plane.
TEST_CASE("a meter counts the processor time of its scopes without waiting time")
{
    auto meter = ProcessorTimeMeter();
    {
        const auto scope = ProcessorTimeMeter::Scope(meter);
        absl::SleepFor(absl::Milliseconds(200));
    }
    CHECK(meter.total() < absl::Milliseconds(100));
    {
        const auto scope = ProcessorTimeMeter::Scope(meter);
        useProcessorTime();
    }
    CHECK(meter.total() >= absl::Milliseconds(20));
}

TEST_CASE("the processor times of running threads are summed")
{
    auto workDone = absl::Notification();
    auto end = absl::Notification();
    auto threads = std::vector<std::thread> {};
    threads.emplace_back([&] {
        useProcessorTime();
        workDone.Notify();
        end.WaitForNotification();
    });
    workDone.WaitForNotification();
    CHECK(processorTimeOf(threads) >= absl::Milliseconds(20));
    end.Notify();
    threads[0].join();
}
