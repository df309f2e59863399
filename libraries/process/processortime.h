/** Measures the processor time of threads, to report the load of the control plane. */
#pragma once

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace lycheecleat
{

/** Total processor time that running threads have used since they started. */
[[nodiscard]] auto processorTimeOf(std::vector<std::thread> &threads) -> absl::Duration;

/** Accumulates the processor time of scopes on any thread. Thread-safe. */
class ProcessorTimeMeter
{
public:
    /** Measures the calling thread from construction to destruction; both must happen on the same thread. */
    class Scope
    {
    public:
        explicit Scope(ProcessorTimeMeter &meter);
        ~Scope();
        Scope(const Scope &) = delete;
        auto operator=(const Scope &) -> Scope & = delete;

    private:
        ProcessorTimeMeter &meter_;
        std::int64_t startedAt_;
    };

    /** Time of all scopes that have ended. */
    [[nodiscard]] auto total() const -> absl::Duration;

private:
    std::atomic<std::int64_t> nanoseconds_ = 0;
};

}
