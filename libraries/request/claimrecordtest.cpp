#include "request/claimrecord.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

// Guards against a replayed response that differs from the original.
TEST_CASE("a serialized claim is parsed back unchanged")
{
    const auto response = HttpResponse { 201, { { "A", "b\xff" }, { "A", "c" } }, std::string("\0\xff\"", 3) };
    const auto records = std::vector<ClaimRecord> {
        { ClaimState::Claimed, "h.r.1", "d", {} },
        { ClaimState::Released, "h.r.1", "d", {} },
        { ClaimState::Done, "h.r.1", "d", response },
    };
    for (const auto &record : records) {
        CHECK(parseClaim(serializeClaim(record)) == record);
    }
}

// Guards against treating a damaged record as an unclaimed key.
TEST_CASE("a malformed claim is rejected")
{
    const auto texts = std::vector<std::string> {
        "",
        "[]",
        "{}",
        R"({"state":"free","claim":"a","request":"d"})",
        R"({"state":"done","claim":"a","request":"d"})",
        R"({"state":"done","claim":"a","request":"d","answer":{"status":200,"headers":[],"body":"*"}})",
    };
    for (const auto &text : texts) {
        CAPTURE(text);
        CHECK_FALSE(parseClaim(text).has_value());
    }
}

// Guards against access of one organisation to the claims of another.
TEST_CASE("store keys differ by organisation and idempotency key")
{
    CHECK(claimKey("a", "k") != claimKey("b", "k"));
    CHECK(claimKey("a", "k") != claimKey("a", "l"));
    CHECK(claimKey("", "k").rfind("once/_open/", 0) == 0);
}
