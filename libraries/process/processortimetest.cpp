#include "process/processortime.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

/** Keeps the calling thread busy for some processor time. */
auto useProcessorTime() -> void
{
    auto meter = ProcessorTimeMeter();
    const volatile auto keep = 1.0;
    while (meter.total() < absl::Milliseconds(20)) {
        const auto scope = ProcessorTimeMeter::Scope(meter);
        for (auto index = 0; index < 100000; ++index) {
            static_cast<void>(keep * index);
        }
    }
}

}

// Guards against waiting that is counted as work, which would hide what control really costs.
TEST_CASE("a meter counts the work of its scopes and no waiting")
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

TEST_CASE("the processor time of running threads is added up")
{
    auto worked = absl::Notification();
    auto end = absl::Notification();
    auto threads = std::vector<std::thread> {};
    threads.emplace_back([&] {
        useProcessorTime();
        worked.Notify();
        end.WaitForNotification();
    });
    worked.WaitForNotification();
    CHECK(processorTimeOf(threads) >= absl::Milliseconds(20));
    end.Notify();
    threads[0].join();
}
