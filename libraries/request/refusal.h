/** Reasons for refusing or failing a request, and what they say about whether it ran. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheecleat
{

/** Header that carries the outcome of every answer. */
inline constexpr auto outcomeHeader = "X-Request-Outcome";

/** Header that carries the reason of a refusal. */
inline constexpr auto reasonHeader = "X-Refusal-Reason";

/** What is known about the execution of a request. */
enum class Outcome {
    NotRun,
    Ran,
    Unknown,
};

/** Why a request was refused, or has no answer from a backend server. */
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
    Stopping,
    NoConfiguration,
    BackendUnreachable,
    ResponseIncomplete,
    DeadlineExceeded,
    RunEnded,
    RunUnreachable,
    ClaimedElsewhere,
};

/** How a refusal is answered. */
struct RefusalDescription
{
    Refusal refusal_;
    /** Value of X-Refusal-Reason. */
    std::string_view name_;
    int status_;
    Outcome outcome_;
    /** Explanation for the caller. */
    std::string_view text_;
};

/** Value of X-Request-Outcome. */
[[nodiscard]] auto outcomeName(Outcome outcome) -> std::string_view;

/** How a refusal is answered. */
[[nodiscard]] auto describeRefusal(Refusal refusal) -> const RefusalDescription &;

/** The refusal with the given X-Refusal-Reason value; none when there is no such reason. */
[[nodiscard]] auto refusalByName(std::string_view name) -> std::optional<Refusal>;

/** The JSON body of a refusal. */
[[nodiscard]] auto refusalBody(Refusal refusal, Outcome outcome, std::string_view requestId) -> std::string;

}
