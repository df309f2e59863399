#include "core/digest.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct DigestCase
{
    std::string data_;
    std::string expected_;
};

}

// Guards against a changed digest, which would make every stored chunk unreadable.
TEST_CASE("sha256Hex matches the published test vectors")
{
    const auto cases = std::vector<DigestCase> {
        { "", "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855" },
        { "abc", "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad" },
    };
    for (const auto &digestCase : cases) {
        CAPTURE(digestCase.data_);
        CHECK(sha256Hex(digestCase.data_) == digestCase.expected_);
    }
}

// Guards against a keyed digest that ignores the secret: stored digests would then allow an offline search for weak keys.
TEST_CASE("hmacHex depends on the secret and the data")
{
    CHECK(hmacHex("Jefe", "what do ya want for nothing?") == "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
    CHECK(hmacHex("a", "data") != hmacHex("b", "data"));
}

// Guards against duplicate run identifiers.
TEST_CASE("randomHex returns distinct identifiers of the requested size")
{
    CHECK(randomHex(16).size() == 32);
    CHECK(randomHex(16) != randomHex(16));
}
