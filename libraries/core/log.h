/** Structured log lines on standard error. */
#pragma once

#include <absl/time/time.h>

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lycheecleat
{

/** Severity of a log line. */
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

/** How log lines are written. */
enum class LogFormat {
    KeyValue,
    Json,
};

/** One named value of a log line. */
struct LogField
{
    std::string_view name_;
    std::string value_;
};

/** Process-wide log settings. */
struct LogSettings
{
    LogLevel level_ = LogLevel::Info;
    LogFormat format_ = LogFormat::KeyValue;
    /** Decision lines a second; those beyond it are counted and the count is logged. */
    double linesPerSecond_ = 2000;
};

/** Sets how this process logs. Call it before threads start. */
auto configureLog(const LogSettings &settings) -> void;

/** Writes one line: time, level, event, then the fields in order. Lines over the rate limit are dropped and counted. */
auto logLine(absl::Time wallTime, LogLevel level, std::string_view event, const std::vector<LogField> &fields) -> void;

/** Formats one line without writing it. */
[[nodiscard]] auto formatLogLine(LogFormat format, absl::Time wallTime, LogLevel level, std::string_view event, const std::vector<LogField> &fields)
    -> std::string;

}
