/** Reasons for which a request is refused or fails, with their status codes and whether the request may have run. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheecleat
{

/** Response header with the outcome, in every response. */
inline constexpr auto outcomeHeader = "X-Request-Outcome";

/** Response header with the reason of a refusal. */
inline constexpr auto reasonHeader = "X-Refusal-Reason";

/** Whether a backend server has executed a request. */
enum class Outcome {
    NotRun,
    Ran,
    Unknown,
};

/** Why a request was refused, or got no response from a backend server. */
enum class Refusal {
    NoRoute,
    KeyMissing,
    KeyUnknown,
    KeyWithdrawn,
    KeyAmbiguous,
    KeyInContent,
    KnowledgeStale,
    RateExceeded,
    NoCapacity,
    IdempotencyKeyRequired,
    IdempotencyKeyInvalid,
    ClaimUnavailable,
    CrashSuspect,
    BodyTooLarge,
    MalformedRequest,
    Overloaded,
    NoMemory,
    Stopping,
    NoConfiguration,
    BackendUnreachable,
    ResponseIncomplete,
    DeadlineExceeded,
    RunEnded,
    RunUnreachable,
    ClaimedElsewhere,
    CallerLeft,
};

/** Response to a request that is refused. */
struct RefusalDescription
{
    Refusal refusal_;
    /** Value of X-Refusal-Reason. */
    std::string_view name_;
    int status_;
    Outcome outcome_;
    /** Message for the caller. */
    std::string_view text_;
};

/** Value of X-Request-Outcome. */
[[nodiscard]] auto outcomeName(Outcome outcome) -> std::string_view;

/** Response for a refusal. */
[[nodiscard]] auto describeRefusal(Refusal refusal) -> const RefusalDescription &;

/** The refusal with the given X-Refusal-Reason value; none when there is no such reason. */
[[nodiscard]] auto refusalByName(std::string_view name) -> std::optional<Refusal>;

/** The JSON body of a refusal. */
[[nodiscard]] auto refusalBody(Refusal refusal, Outcome outcome, std::string_view requestId) -> std::string;

}
