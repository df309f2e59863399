#include "core/log.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/escaping.h>
#include <absl/synchronization/mutex.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cstdint>

namespace lycheecleat
{

namespace
{

struct LogState
{
    absl::Mutex mutex_;
    LogSettings settings_ ABSL_GUARDED_BY(mutex_);
    absl::Time secondStart_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    double linesInSecond_ ABSL_GUARDED_BY(mutex_) = 0;
    std::int64_t droppedLines_ ABSL_GUARDED_BY(mutex_) = 0;
};

auto state() -> LogState &
{
    static auto instance = LogState {};
    return instance;
}

auto levelName(LogLevel level) -> std::string_view
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "error";
}

// Formats the fields itself, since absl::FormatTime interprets its format again for each line.
auto formatTime(absl::Time wallTime) -> std::string
{
    const auto second = absl::ToCivilSecond(wallTime, absl::UTCTimeZone());
    const auto milliseconds = absl::ToInt64Milliseconds(wallTime - absl::FromUnixSeconds(absl::ToUnixSeconds(wallTime)));
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z",
                       second.year(),
                       second.month(),
                       second.day(),
                       second.hour(),
                       second.minute(),
                       second.second(),
                       milliseconds);
}

// Writes a whole line without blocking, or nothing: a writable pipe accepts up to PIPE_BUF bytes atomically, and longer lines are rare.
auto tryWriteLine(LogStream stream, std::string line) -> bool
{
    const auto descriptor = stream == LogStream::Output ? STDOUT_FILENO : STDERR_FILENO;
    auto pollRequest = pollfd { descriptor, POLLOUT, 0 };
    if (poll(&pollRequest, 1, 0) <= 0 || (pollRequest.revents & POLLOUT) == 0) {
        return false;
    }
    line += '\n';
    return write(descriptor, line.data(), line.size()) == static_cast<ssize_t>(line.size());
}

auto isPlain(std::string_view value) -> bool
{
    return !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char character) {
        return character > ' ' && character < 0x7f && character != '"' && character != '=' && character != '\\';
    });
}

auto appendValue(std::string &line, const std::string &value) -> void
{
    if (isPlain(value)) {
        line += value;
    } else {
        line += fmt::format("\"{}\"", absl::CEscape(value));
    }
}

}

auto configureLog(const LogSettings &settings) -> void
{
    const auto lock = absl::MutexLock(&state().mutex_);
    state().settings_ = settings;
}

auto formatLogLine(LogFormat format, absl::Time wallTime, LogLevel level, std::string_view event, const std::vector<LogField> &fields) -> std::string
{
    if (format == LogFormat::Json) {
        auto line = nlohmann::ordered_json { { "time", formatTime(wallTime) }, { "level", levelName(level) }, { "event", event } };
        for (const auto &field : fields) {
            line[std::string(field.name_)] = field.value_;
        }
        return line.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
    }
    auto line = fmt::format("time={} level={} event={}", formatTime(wallTime), levelName(level), event);
    for (const auto &field : fields) {
        line += ' ';
        line += field.name_;
        line += '=';
        appendValue(line, field.value_);
    }
    return line;
}

auto logLine(absl::Time wallTime, LogLevel level, std::string_view event, const std::vector<LogField> &fields) -> void
{
    const auto lock = absl::MutexLock(&state().mutex_);
    auto &current = state();
    if (level < current.settings_.level_) {
        return;
    }
    if (wallTime - current.secondStart_ >= absl::Seconds(1)) {
        if (current.droppedLines_ > 0) {
            const auto count = std::vector<LogField> { { "count", std::to_string(current.droppedLines_) } };
            tryWriteLine(current.settings_.stream_, formatLogLine(current.settings_.format_, wallTime, LogLevel::Warning, "log_lines_dropped", count));
        }
        current.secondStart_ = wallTime;
        current.linesInSecond_ = 0;
        current.droppedLines_ = 0;
    }
    // Warnings and errors are rare and must not be dropped because of many lines below warning level.
    if (level < LogLevel::Warning && current.linesInSecond_ >= current.settings_.linesPerSecond_) {
        ++current.droppedLines_;
        return;
    }
    current.linesInSecond_ += 1;
    if (!tryWriteLine(current.settings_.stream_, formatLogLine(current.settings_.format_, wallTime, level, event, fields))) {
        ++current.droppedLines_;
    }
}

}
