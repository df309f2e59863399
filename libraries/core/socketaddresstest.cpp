#include "core/socketaddress.h"

#include <doctest/doctest.h>

#include <vector>

using namespace lycheecleat;

namespace
{

struct AddressCase
{
    std::string text_;
    std::optional<SocketAddress> expected_;
};

}

// Guards against an invalid address that is accepted at startup and fails only when it is used.
TEST_CASE("parseSocketAddress accepts an IP address with a port and nothing else")
{
    const auto cases = std::vector<AddressCase> {
        { "127.0.0.1:8080", SocketAddress { "127.0.0.1", 8080 } },
        { "[::1]:443", SocketAddress { "::1", 443 } },
        { "127.0.0.1", std::nullopt },
        { "127.0.0.1:", std::nullopt },
        { "127.0.0.1:0", std::nullopt },
        { "127.0.0.1:65536", std::nullopt },
        { "127.0.0.1:80x", std::nullopt },
        { "localhost:80", std::nullopt },
        { "::1:80", std::nullopt },
        { "", std::nullopt },
        { std::string("127.0.0.1\0x:80", 14), std::nullopt },
        { std::string("[::1\0x]:80", 10), std::nullopt },
    };
    for (const auto &addressCase : cases) {
        CAPTURE(addressCase.text_);
        CHECK(parseSocketAddress(addressCase.text_) == addressCase.expected_);
    }
}
