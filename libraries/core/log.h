/** Structured log lines on standard error or standard output. */
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

/** Where log lines go. */
enum class LogStream {
    Error,
    Output,
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
    LogStream stream_ = LogStream::Error;
    /** Maximum lines below warning level per second; lines beyond it are dropped and counted, and the count is logged. */
    double linesPerSecond_ = 2000;
};

/** Sets how this process logs. Should be called before threads start, so that all lines use the settings. */
auto configureLog(const LogSettings &settings) -> void;

/**
 * Writes one line: time, level, event, then the fields in order. Lines over the rate limit, and lines that can't be written without blocking, are
 * dropped and counted, so that logging never blocks on the reader. Thread-safe.
 */
auto logLine(absl::Time wallTime, LogLevel level, std::string_view event, const std::vector<LogField> &fields) -> void;

/** Formats one line without writing it. */
[[nodiscard]] auto formatLogLine(LogFormat format, absl::Time wallTime, LogLevel level, std::string_view event, const std::vector<LogField> &fields)
    -> std::string;

}
