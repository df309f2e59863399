#include "process/processdelay.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct DelayCase
{
    std::string title_;
    /** Time, time without suspension and processor time since the wake-up before, in milliseconds. */
    int elapsed_;
    int running_;
    int processor_;
    std::optional<ProcessDelay> expected_;
};

auto milliseconds(int count) -> absl::Duration
{
    return absl::Milliseconds(count);
}

}

// Guards against a process that gets no processor time for seconds without a line in its log.
TEST_CASE("a late wake-up is reported with what the process did meanwhile")
{
    const auto cases = std::vector<DelayCase> {
        { "on time", 250, 250, 1, std::nullopt },
        { "below the reported delay", 749, 749, 700, std::nullopt },
        { "busy", 3250, 3250, 420, ProcessDelay { milliseconds(3000), milliseconds(420), milliseconds(0) } },
        { "stopped", 3250, 3250, 0, ProcessDelay { milliseconds(3000), milliseconds(0), milliseconds(0) } },
        { "suspended", 3250, 260, 1, ProcessDelay { milliseconds(3000), milliseconds(1), milliseconds(2990) } },
        { "clocks read in turn", 3250, 3251, 1, ProcessDelay { milliseconds(3000), milliseconds(1), milliseconds(0) } },
    };
    const auto before = WakeReading { absl::FromUnixSeconds(100), absl::FromUnixSeconds(50), absl::Seconds(1) };
    for (const auto &delayCase : cases) {
        CAPTURE(delayCase.title_);
        const auto after = WakeReading { before.at_ + milliseconds(delayCase.elapsed_),
                                         before.runningAt_ + milliseconds(delayCase.running_),
                                         before.processorTime_ + milliseconds(delayCase.processor_) };
        CHECK(delayBetween(before, after, absl::Milliseconds(250)) == delayCase.expected_);
    }
}
