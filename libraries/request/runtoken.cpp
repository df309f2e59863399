#include "request/runtoken.h"

#include "core/digest.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <cstdint>
#include <string_view>

namespace lycheecleat
{

namespace
{

// Bounds the memory that keys take in tables, and the size of store keys.
constexpr auto maximumKeyLength = std::size_t { 255 };

constexpr auto macLength = std::size_t { 64 };

// Domain separation from other uses of the fleet secret, such as key digests.
constexpr auto macDomain = "run-token:";

auto signedPart(const RunToken &token) -> std::string
{
    return token.host_ + "." + token.run_ + "." + std::to_string(absl::ToUnixSeconds(token.expiry_));
}

auto isMac(std::string_view text) -> bool
{
    return text.size() == macLength && text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

// The parts are split from the right, because a host name may contain dots.
auto parseParts(std::string_view text) -> std::optional<RunToken>
{
    const auto expiryStart = text.rfind('.');
    if (expiryStart == std::string_view::npos || expiryStart == 0) {
        return std::nullopt;
    }
    const auto runStart = text.rfind('.', expiryStart - 1);
    if (runStart == std::string_view::npos || runStart == 0) {
        return std::nullopt;
    }
    auto expiry = std::int64_t { 0 };
    if (!absl::SimpleAtoi(std::string(text.substr(expiryStart + 1)), &expiry)) {
        return std::nullopt;
    }
    const auto run = text.substr(runStart + 1, expiryStart - runStart - 1);
    return RunToken { std::string(text.substr(0, runStart)), std::string(run), absl::FromUnixSeconds(expiry) };
}

auto isPrintable(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        return character > ' ' && character < 0x7f;
    });
}

}

auto formatRunToken(const RunToken &token, const std::string &secret) -> std::string
{
    return signedPart(token) + "." + hmacHex(secret, macDomain + signedPart(token));
}

auto parseIdempotencyKey(const std::string &text, const std::string &secret) -> Result<IdempotencyKey>
{
    if (text.empty() || text.size() > maximumKeyLength) {
        return makeError("parse idempotency key", "", "must have 1 to 255 characters");
    }
    if (!isPrintable(text)) {
        return makeError("parse idempotency key", "", "must consist of printable ASCII characters without spaces");
    }
    const auto colon = text.find(':');
    const auto prefix = text.substr(0, colon);
    const auto macStart = prefix.rfind('.');
    // A key whose prefix doesn't end with a MAC is a plain key that contains a colon.
    if (colon == std::string::npos || macStart == std::string::npos || !isMac(std::string_view(prefix).substr(macStart + 1))) {
        return IdempotencyKey { text, std::nullopt };
    }
    const auto token = parseParts(std::string_view(prefix).substr(0, macStart));
    if (!token || !equalConstantTime(formatRunToken(*token, secret), prefix)) {
        return makeError("parse idempotency key", "", "the run token is not valid");
    }
    if (colon + 1 == text.size()) {
        return makeError("parse idempotency key", "", "a text must follow the run token");
    }
    return IdempotencyKey { text, token };
}

}
