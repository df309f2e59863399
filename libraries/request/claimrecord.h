/** Stored record of an idempotency key without a run token: which request claimed it, and the response once there is one. */
#pragma once

#include "request/idempotencytable.h"

#include <optional>
#include <string>

namespace lycheecleat
{

/** State of a stored claim. */
enum class ClaimState {
    /** A host run claimed the key and may have executed the request. */
    Claimed,
    /** The run that claimed the key has certainly not executed the request; any run may claim the key again. */
    Released,
    /** The request has run, and its response is stored. */
    Done,
};

/** Stored claim of an idempotency key. */
struct ClaimRecord
{
    ClaimState state_ = ClaimState::Claimed;
    /** Identifies the host, its run and the request that claimed the key. */
    std::string id_;
    /** Digest of the request that was sent with the key. */
    std::string requestDigest_;
    /** The response; only in state Done. */
    HttpResponse response_;

    auto operator==(const ClaimRecord &other) const -> bool = default;
};

/** Key of a claim's record in the store. It holds a digest of the idempotency key; an empty organisation stands for open routes. */
[[nodiscard]] auto claimKey(const std::string &organisation, const std::string &idempotencyKey) -> std::string;

/** Serializes a record to the JSON text that is stored; header values and body are base64. */
[[nodiscard]] auto serializeClaim(const ClaimRecord &record) -> std::string;

/** Parses a stored record; none when it is malformed, which must not be treated as an unclaimed key. */
[[nodiscard]] auto parseClaim(const std::string &text) -> std::optional<ClaimRecord>;

}
