#include "request/runtoken.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto token = RunToken { "host-1.zone", "abc", absl::FromUnixSeconds(1000) };

auto parse(const std::string &text)
{
    return attempt([&] {
        return parseIdempotencyKey(text, "secret");
    });
}

}

// Guards against a host that accepts a key whose token names another run.
TEST_CASE("a formatted token is parsed back unchanged")
{
    const auto parsed = parse(formatRunToken(token, "secret") + ":order:7");
    REQUIRE(std::holds_alternative<IdempotencyKey>(parsed));
    CHECK(std::get<IdempotencyKey>(parsed).token_ == token);
}

// Guards against rejecting a plain key or parsing it as a token.
TEST_CASE("a text without a token is a plain key")
{
    for (const auto &text : std::vector<std::string> { "a", "order:7", "a.b.c:d", std::string(255, 'x') }) {
        CAPTURE(text);
        const auto parsed = parse(text);
        REQUIRE(std::holds_alternative<IdempotencyKey>(parsed));
        CHECK_FALSE(std::get<IdempotencyKey>(parsed).token_.has_value());
    }
}

// Guards against forged tokens, with which a request could be executed on two hosts, and against keys of unbounded length.
TEST_CASE("invalid keys are rejected")
{
    auto forged = formatRunToken(token, "secret") + ":7";
    forged.replace(forged.find("1000"), 4, "9000");
    const auto texts = std::vector<std::string> {
        "", std::string(256, 'x'), "a b", "a\r\nb", forged, formatRunToken(token, "other") + ":7", formatRunToken(token, "secret") + ":",
    };
    for (const auto &text : texts) {
        CAPTURE(text);
        CHECK(std::holds_alternative<Error>(parse(text)));
    }
}
