#include "request/backendsignals.h"

#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto retryAfterHeader = std::string_view("Retry-After");
constexpr auto leavingValue = std::string_view("1");

constexpr auto misdirectedStatus = 421;
constexpr auto unavailableStatus = 503;

/** Longer values are cut off in problems, which are logged. */
constexpr auto maximumProblemValue = std::size_t { 64 };

/** The value of a header that has one value, however often it is repeated. */
struct HeaderReading
{
    bool isPresent_ = false;
    bool isConflicting_ = false;
    std::string_view value_;
};

auto readHeader(const HeaderFields &headers, std::string_view name) -> HeaderReading
{
    auto reading = HeaderReading {};
    for (const auto &header : headers) {
        if (!equalIgnoringCase(header.name_, name)) {
            continue;
        }
        const auto value = trimmed(header.value_);
        reading.isConflicting_ = reading.isConflicting_ || (reading.isPresent_ && value != reading.value_);
        reading.value_ = reading.isPresent_ ? reading.value_ : value;
        reading.isPresent_ = true;
    }
    return reading;
}

auto addProblem(BackendSignals &signals, std::string_view header, std::string_view value, SignalProblemReason reason) -> void
{
    signals.problems_.push_back({ std::string(header), std::string(value.substr(0, maximumProblemValue)), reason });
}

auto decodeLeaving(BackendSignals &signals, const HeaderReading &reading, std::string_view header) -> void
{
    if (reading.isConflicting_) {
        addProblem(signals, header, reading.value_, SignalProblemReason::ConflictingValues);
        return;
    }
    if (reading.value_ != leavingValue) {
        addProblem(signals, header, reading.value_, SignalProblemReason::UnknownValue);
        return;
    }
    signals.isLeaving_ = true;
}

// Digits with at most one point among them; signs, exponents and words such as "nan" are no decimal number here.
auto isDecimalNumber(std::string_view text) -> bool
{
    const auto isAllowed = std::all_of(text.begin(), text.end(), [](char character) {
        return absl::ascii_isdigit(static_cast<unsigned char>(character)) || character == '.';
    });
    return isAllowed && std::count(text.begin(), text.end(), '.') <= 1 && text.find_first_of("0123456789") != std::string_view::npos;
}

auto decodeLimit(BackendSignals &signals, const HeaderReading &reading, std::string_view header) -> void
{
    if (!reading.isPresent_) {
        signals.isLimitKnown_ = true;
        return;
    }
    if (reading.isConflicting_) {
        addProblem(signals, header, reading.value_, SignalProblemReason::ConflictingValues);
        return;
    }
    auto requestsPerSecond = 0.0;
    if (!isDecimalNumber(reading.value_) || !absl::SimpleAtod(std::string(reading.value_), &requestsPerSecond)) {
        addProblem(signals, header, reading.value_, SignalProblemReason::NotADecimalNumber);
        return;
    }
    if (requestsPerSecond > maximumLimit) {
        addProblem(signals, header, reading.value_, SignalProblemReason::OutOfRange);
        return;
    }
    signals.isLimitKnown_ = true;
    signals.requestsPerSecond_ = requestsPerSecond;
}

auto decodePause(BackendSignals &signals, const HeaderReading &reading, int status) -> void
{
    if (status != unavailableStatus) {
        addProblem(signals, retryAfterHeader, reading.value_, SignalProblemReason::UnexpectedStatus);
        return;
    }
    if (reading.isConflicting_) {
        addProblem(signals, retryAfterHeader, reading.value_, SignalProblemReason::ConflictingValues);
        return;
    }
    if (reading.value_.empty() || !std::all_of(reading.value_.begin(), reading.value_.end(), absl::ascii_isdigit)) {
        addProblem(signals, retryAfterHeader, reading.value_, SignalProblemReason::NotANumberOfSeconds);
        return;
    }
    auto seconds = std::int64_t { 0 };
    if (!absl::SimpleAtoi(std::string(reading.value_), &seconds)) {
        addProblem(signals, retryAfterHeader, reading.value_, SignalProblemReason::OutOfRange);
        return;
    }
    const auto pause = absl::Seconds(seconds);
    if (pause > maximumPause) {
        addProblem(signals, retryAfterHeader, reading.value_, SignalProblemReason::AboveMaximumPause);
    }
    if (pause > absl::ZeroDuration()) {
        signals.pause_ = std::min(pause, maximumPause);
    }
}

}

auto signalProblemReasonName(SignalProblemReason reason) -> std::string_view
{
    switch (reason) {
    case SignalProblemReason::NotANumberOfSeconds:
        return "not a whole number of seconds";
    case SignalProblemReason::NotADecimalNumber:
        return "not a decimal number";
    case SignalProblemReason::OutOfRange:
        return "out of range";
    case SignalProblemReason::AboveMaximumPause:
        return "shortened to the maximum pause of 600 s";
    case SignalProblemReason::ConflictingValues:
        return "repeated with different values";
    case SignalProblemReason::UnexpectedStatus:
        return "status is not 503";
    case SignalProblemReason::UnknownValue:
        return "value is not 1";
    case SignalProblemReason::FromOtherServer:
        return "status 421, sent by another server";
    }
    return "unknown";
}

auto decodeBackendSignals(int status, const HeaderFields &headers, const SignalHeaders &names) -> BackendSignals
{
    const auto read = [&](std::string_view name) {
        return name.empty() ? HeaderReading {} : readHeader(headers, name);
    };
    const auto isFromOtherServer = status == misdirectedStatus;
    const auto leaving = read(names.leaving_);
    const auto limit = read(names.limit_);
    const auto retryAfter = readHeader(headers, retryAfterHeader);
    auto signals = BackendSignals {};
    for (const auto &[reading, name] : { std::pair(leaving, names.leaving_), std::pair(limit, names.limit_) }) {
        if (isFromOtherServer && reading.isPresent_) {
            addProblem(signals, name, reading.value_, SignalProblemReason::FromOtherServer);
        }
    }
    if (!isFromOtherServer && leaving.isPresent_) {
        decodeLeaving(signals, leaving, names.leaving_);
    }
    if (!isFromOtherServer && !names.limit_.empty()) {
        decodeLimit(signals, limit, names.limit_);
    }
    if (retryAfter.isPresent_) {
        decodePause(signals, retryAfter, status);
    }
    return signals;
}

}
