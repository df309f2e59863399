/** Run tokens: signed prefixes of idempotency keys that name the only host run which may execute requests with these keys. */
#pragma once

#include "core/error.h"

#include <absl/time/time.h>

#include <optional>
#include <string>

namespace lycheecleat
{

/** Header that carries an idempotency key. */
inline constexpr auto idempotencyHeader = "Idempotency-Key";

/** A run token. */
struct RunToken
{
    /** Declared name of the host. */
    std::string host_;
    /** Identifier of the host's run (one lifetime of its process). */
    std::string run_;
    /** Wall-clock time, in whole seconds, after which no new request is executed under the token. */
    absl::Time expiry_;

    auto operator==(const RunToken &other) const -> bool = default;
};

/** An idempotency key: its whole text and its run token, if it has one. */
struct IdempotencyKey
{
    std::string text_;
    std::optional<RunToken> token_;

    auto operator==(const IdempotencyKey &other) const -> bool = default;
};

/** The token as text: host.run.expiry.mac, where mac is an HMAC-SHA-256 keyed with the fleet secret and expiry is in Unix seconds. */
[[nodiscard]] auto formatRunToken(const RunToken &token, const std::string &secret) -> std::string;

/**
 * Parses TOKEN:SUFFIX. A text without a token is a plain key. Doesn't check the token's expiry. Errors: a token that is malformed or has a wrong MAC, a
 * token without suffix, and a key that is empty, longer than 255 characters or not printable ASCII without spaces.
 */
[[nodiscard]] auto parseIdempotencyKey(const std::string &text, const std::string &secret) -> Result<IdempotencyKey>;

}
