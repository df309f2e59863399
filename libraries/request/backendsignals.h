/** Decodes what a backend server's response says about further requests to it: that the server is leaving, wants none for a time, or takes so many a second. */
#pragma once

#include "request/httpfields.h"

#include <absl/time/time.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** Longer pauses are shortened to this, so that a wrong value doesn't keep a server out for hours. */
inline constexpr auto maximumPause = absl::Minutes(10);

/** Requests a second above which a limit is not used, since no server reaches them. */
inline constexpr auto maximumLimit = 1e6;

/** Why a header is ignored, or its value changed. */
enum class SignalProblemReason {
    NotANumberOfSeconds,
    NotADecimalNumber,
    OutOfRange,
    /** Shortened to maximumPause; the pause holds. */
    AboveMaximumPause,
    ConflictingValues,
    /** Retry-After on a status other than 503. */
    UnexpectedStatus,
    UnknownValue,
    /** The response has status 421, so it comes from another server than the intended one. */
    FromOtherServer,
};

/** Name of a reason for log lines. */
[[nodiscard]] auto signalProblemReasonName(SignalProblemReason reason) -> std::string_view;

/** A header that is not used as received. */
struct SignalProblem
{
    std::string header_;
    std::string value_;
    SignalProblemReason reason_ = SignalProblemReason::NotANumberOfSeconds;

    auto operator==(const SignalProblem &other) const -> bool = default;
};

/** What a response says about further requests to its backend server. */
struct BackendSignals
{
    /** The server is about to shut down. */
    bool isLeaving_ = false;
    /** Time from the response during which the server wants no request; above zero. */
    std::optional<absl::Duration> pause_ = std::nullopt;
    /** Whether the response tells if the server has a limit; not if it is from another server or the header is not usable. */
    bool isLimitKnown_ = false;
    /** Requests a second that the server takes from all hosts together; none when it names no limit. */
    std::optional<double> requestsPerSecond_ = std::nullopt;
    std::vector<SignalProblem> problems_ = {};

    auto operator==(const BackendSignals &other) const -> bool = default;
};

/** Names of a deployment's headers for signals; empty when there is no such header. */
struct SignalHeaders
{
    /** A leaving server announces itself by the value 1. */
    std::string_view leaving_;
    /** A server in need names the requests a second that it takes from all hosts together, as a decimal number. */
    std::string_view limit_;
};

/** Decodes the signals in the head of a response. The pause is Retry-After in whole seconds on a response with status 503. */
[[nodiscard]] auto decodeBackendSignals(int status, const HeaderFields &headers, const SignalHeaders &names) -> BackendSignals;

}
