#include "request/refusal.h"

#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>

namespace lycheecleat
{

namespace
{

// In the order of the enumerators, which are used as indices.
constexpr auto descriptions = std::array {
    RefusalDescription { Refusal::NoRoute, "no_route", 404, Outcome::NotRun, "No route matches the host and path." },
    RefusalDescription { Refusal::KeyMissing, "key_missing", 401, Outcome::NotRun, "The route needs a key." },
    RefusalDescription { Refusal::KeyUnknown, "key_unknown", 401, Outcome::NotRun, "The key is not known." },
    RefusalDescription { Refusal::KeyWithdrawn, "key_withdrawn", 401, Outcome::NotRun, "The key has been withdrawn." },
    RefusalDescription { Refusal::KeyAmbiguous, "key_ambiguous", 400, Outcome::NotRun, "The request carries different keys." },
    RefusalDescription { Refusal::KeyInContent,
                         "key_in_content",
                         400,
                         Outcome::NotRun,
                         "The key occurs in the path, another header or the body, where it may not be sent." },
    RefusalDescription { Refusal::KnowledgeStale, "knowledge_stale", 503, Outcome::NotRun, "This host cannot tell which keys are valid; use another host." },
    RefusalDescription { Refusal::RateExceeded, "rate_exceeded", 429, Outcome::NotRun, "The organisation's rate is used up." },
    RefusalDescription { Refusal::NoCapacity, "no_capacity", 503, Outcome::NotRun, "No backend server has a free slot in time." },
    RefusalDescription { Refusal::IdempotencyKeyRequired, "idempotency_key_required", 400, Outcome::NotRun, "The route needs an Idempotency-Key header." },
    RefusalDescription { Refusal::IdempotencyKeyInvalid,
                         "idempotency_key_invalid",
                         400,
                         Outcome::NotRun,
                         "The Idempotency-Key header is invalid or its run token has expired." },
    RefusalDescription { Refusal::ClaimUnavailable, "claim_unavailable", 503, Outcome::NotRun, "The idempotency key cannot be claimed now." },
    RefusalDescription { Refusal::CrashSuspect, "crash_suspect", 503, Outcome::NotRun, "The same request has ended several backend servers." },
    RefusalDescription { Refusal::BodyTooLarge, "body_too_large", 413, Outcome::NotRun, "The request body is larger than the route allows." },
    RefusalDescription { Refusal::MalformedRequest, "malformed_request", 400, Outcome::NotRun, "The request is not valid HTTP/1.1." },
    RefusalDescription { Refusal::Overloaded, "overloaded", 503, Outcome::NotRun, "This host has too many requests in flight." },
    RefusalDescription { Refusal::NoMemory, "no_memory", 503, Outcome::NotRun, "This host has no memory for the request body." },
    RefusalDescription { Refusal::Stopping, "stopping", 503, Outcome::NotRun, "This host is stopping; use another host." },
    RefusalDescription { Refusal::NoConfiguration, "no_configuration", 503, Outcome::NotRun, "This host has no configuration yet." },
    RefusalDescription { Refusal::BackendUnreachable, "backend_unreachable", 503, Outcome::NotRun, "No connection to a backend server could be opened." },
    RefusalDescription { Refusal::ResponseIncomplete, "response_incomplete", 502, Outcome::Unknown, "The backend server's response was cut short." },
    RefusalDescription { Refusal::DeadlineExceeded, "deadline_exceeded", 504, Outcome::Unknown, "The backend server did not respond in time." },
    RefusalDescription { Refusal::RunEnded, "run_ended", 409, Outcome::Unknown, "The host run named by the idempotency key has ended." },
    RefusalDescription { Refusal::RunUnreachable, "run_unreachable", 502, Outcome::Unknown, "The host run named by the idempotency key gives no answer." },
    RefusalDescription { Refusal::ClaimedElsewhere,
                         "claimed_elsewhere",
                         409,
                         Outcome::Unknown,
                         "The idempotency key was used before and its answer is not known here." },
    RefusalDescription { Refusal::CallerLeft, "caller_left", 503, Outcome::NotRun, "The caller closed its connection before the request was sent." },
};

static_assert(descriptions.size() == static_cast<std::size_t>(Refusal::CallerLeft) + 1, "every refusal needs a description");

}

auto outcomeName(Outcome outcome) -> std::string_view
{
    switch (outcome) {
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Ran:
        return "ran";
    case Outcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

auto describeRefusal(Refusal refusal) -> const RefusalDescription &
{
    return descriptions.at(static_cast<std::size_t>(refusal));
}

auto refusalByName(std::string_view name) -> std::optional<Refusal>
{
    for (const auto &description : descriptions) {
        if (description.name_ == name) {
            return description.refusal_;
        }
    }
    return std::nullopt;
}

auto refusalBody(Refusal refusal, Outcome outcome, std::string_view requestId) -> std::string
{
    const auto &description = describeRefusal(refusal);
    const auto body = nlohmann::ordered_json {
        { "reason", description.name_ },
        { "outcome", outcomeName(outcome) },
        { "message", description.text_ },
        { "request_id", requestId },
    };
    return body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace) + "\n";
}

}
