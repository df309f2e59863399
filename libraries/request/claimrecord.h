/** The stored state of an idempotency key without a run token. */
#pragma once

#include "request/idempotencytable.h"

#include <optional>
#include <string>

namespace lycheecleat
{

/** What a stored claim says. */
enum class ClaimState {
    /** A host run may have executed the request. */
    Claimed,
    /** The run that claimed the key has certainly not executed the request; another may claim it. */
    Released,
    /** The request has run, and its answer is stored. */
    Done,
};

/** A stored claim. */
struct ClaimRecord
{
    ClaimState state_ = ClaimState::Claimed;
    /** Names the host, its run and the request that claimed the key. */
    std::string id_;
    /** Digest of the request that the key came with. */
    std::string requestDigest_;
    /** The answer when the request is done. */
    HttpResponse answer_;

    auto operator==(const ClaimRecord &other) const -> bool = default;
};

/** The store key of a claim. */
[[nodiscard]] auto claimKey(const std::string &organisation, const std::string &idempotencyKey) -> std::string;

/** The record as the JSON text that is stored. */
[[nodiscard]] auto serializeClaim(const ClaimRecord &record) -> std::string;

/** Parses a stored record; none when it is malformed. */
[[nodiscard]] auto parseClaim(const std::string &text) -> std::optional<ClaimRecord>;

}
