#include "core/log.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct LineCase
{
    std::string description_;
    LogFormat format_;
    absl::Time time_;
    std::vector<LogField> fields_;
    std::string line_;
};

}

// Guards against log lines that a reader of the format can't parse, and against times that are rounded up or lack digits.
TEST_CASE("a log line names its time, level, event and fields in order")
{
    const auto newYear = absl::FromUnixSeconds(1'767'225'600);
    const auto cases = std::vector<LineCase> {
        { "no field", LogFormat::KeyValue, newYear, {}, "time=2026-01-01T00:00:00.000Z level=info event=request" },
        { "milliseconds are cut off",
          LogFormat::KeyValue,
          newYear - absl::Microseconds(1),
          { { "a", "b" } },
          "time=2025-12-31T23:59:59.999Z level=info event=request a=b" },
        { "a time before 1970", LogFormat::KeyValue, absl::UnixEpoch() - absl::Milliseconds(1), {}, "time=1969-12-31T23:59:59.999Z level=info event=request" },
        { "plain values",
          LogFormat::KeyValue,
          newYear + absl::Milliseconds(7),
          { { "a", "b/c:d" }, { "e", "1" } },
          "time=2026-01-01T00:00:00.007Z level=info event=request a=b/c:d e=1" },
        { "values to quote",
          LogFormat::KeyValue,
          newYear,
          { { "a", "" }, { "b", "c d" }, { "e", "f=g" }, { "h", "i\"j\\k\n" }, { "l", "\xc3\xa4" } },
          R"(time=2026-01-01T00:00:00.000Z level=info event=request a="" b="c d" e="f=g" h="i\"j\\k\n" l="\303\244")" },
        { "JSON",
          LogFormat::Json,
          newYear,
          { { "b", "c \"d\"" }, { "a", "" } },
          R"({"time":"2026-01-01T00:00:00.000Z","level":"info","event":"request","b":"c \"d\"","a":""})" },
    };
    for (const auto &lineCase : cases) {
        CAPTURE(lineCase.description_);
        CHECK(formatLogLine(lineCase.format_, lineCase.time_, LogLevel::Info, "request", lineCase.fields_) == lineCase.line_);
    }
}
