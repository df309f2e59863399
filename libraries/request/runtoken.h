/** Run tokens: they name the one host run that may execute the idempotency keys built on them. */
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
    std::string run_;
    /** Wall-clock time after which nothing new runs under the token, in whole seconds. */
    absl::Time expiry_;

    auto operator==(const RunToken &other) const -> bool = default;
};

/** An idempotency key split into its run token, if it has a valid one, and the rest. */
struct IdempotencyKey
{
    std::string text_;
    std::optional<RunToken> token_;

    auto operator==(const IdempotencyKey &other) const -> bool = default;
};

/** The token as text: host.run.expiry.mac, where the mac is keyed with the fleet secret. */
[[nodiscard]] auto formatRunToken(const RunToken &token, const std::string &secret) -> std::string;

/** Parses TOKEN:SUFFIX. A text without a token is a plain key. Errors: a token whose mac is wrong, or an empty or overlong key. */
[[nodiscard]] auto parseIdempotencyKey(const std::string &text, const std::string &secret) -> Result<IdempotencyKey>;

}
