/** Processor time of threads, for the share that control takes of a core. */
#pragma once

#include <absl/time/time.h>

#include <atomic>
#include <cstdint>
#include <thread>
#include <vector>

namespace lycheecleat
{

/** Processor time that running threads have used since they started. */
[[nodiscard]] auto processorTimeOf(std::vector<std::thread> &threads) -> absl::Duration;

/** Adds up the processor time of pieces of work that run on any thread. Thread-safe. */
class ProcessorTimeMeter
{
public:
    /** Measures the calling thread from its construction to its end. */
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

    /** All time measured so far. */
    [[nodiscard]] auto total() const -> absl::Duration;

private:
    std::atomic<std::int64_t> nanoseconds_ = 0;
};

}
