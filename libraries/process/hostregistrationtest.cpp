#include "process/hostregistration.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto validEntry =
    R"({"incarnation":5,"zone":"z","caller_address":"10.0.0.1:80","peer_address":"10.0.0.1:81","gossip_address":"[fd00::1]:82","processor_millis":140})";

/** A part of a valid entry and what replaces it. */
struct ReplacementCase
{
    std::string title_;
    std::string replaced_;
    std::string replacement_;
    bool isValid_;
};

}

// Guards against an entry of another writer under the hosts' prefix that lookups and heartbeats then use.
TEST_CASE("only valid registrations of hosts are decoded")
{
    const auto cases = std::vector<ReplacementCase> {
        { "unchanged", "", "", true },
        { "without processor time", R"(,"processor_millis":140)", "", true },
        { "no JSON", "{", "", false },
        { "another type", R"("z")", "7", false },
        { "zone is missing", R"("zone":"z",)", "", false },
        { "huge zone", R"("z")", "\"" + std::string(100'000, 'z') + "\"", false },
        { "caller address without a port", "10.0.0.1:80", "10.0.0.1", false },
        { "caller address with a host name", "10.0.0.1:80", "server:80", false },
        { "caller port out of range", "10.0.0.1:80", "10.0.0.1:65536", false },
        { "peer port out of range", "10.0.0.1:81", "10.0.0.1:0", false },
        { "empty gossip address", "[fd00::1]:82", "", false },
        { "unspecified address", "10.0.0.1:80", "0.0.0.0:80", false },
        { "negative incarnation", R"("incarnation":5)", R"("incarnation":-5)", false },
        { "incarnation of 2^64 - 1", R"("incarnation":5)", R"("incarnation":18446744073709551615)", false },
        { "incarnation of 2^63 - 1", R"("incarnation":5)", R"("incarnation":9223372036854775807)", false },
        { "incarnation beyond any number", R"("incarnation":5)", R"("incarnation":1e999)", false },
        { "incarnation with a fraction", R"("incarnation":5)", R"("incarnation":5.5)", false },
        { "processor time that wraps", "140", "4294967436", false },
        { "negative processor time", "140", "-140", false },
        { "deeply nested", "{", std::string(60'000, '['), false },
    };
    for (const auto &replacement : cases) {
        CAPTURE(replacement.title_);
        auto value = std::string(validEntry);
        REQUIRE(value.find(replacement.replaced_) != std::string::npos);
        value.replace(value.find(replacement.replaced_), replacement.replaced_.size(), replacement.replacement_);
        const auto decoded = attempt([&] {
            return decodeHostRegistration("host", value);
        });
        CHECK(std::holds_alternative<fleet::HostIdentity>(decoded) == replacement.isValid_);
    }
}

// Guards against a registration that other hosts do not accept.
TEST_CASE("the stored form of a registration is decoded to the same identity")
{
    const auto decoded = attempt([] {
        return decodeHostRegistration("host", validEntry);
    });
    REQUIRE(std::holds_alternative<fleet::HostIdentity>(decoded));
    const auto &identity = std::get<fleet::HostIdentity>(decoded);
    CHECK(identity.incarnation == 5);
    CHECK(identity.callerAddress == "10.0.0.1:80");
    CHECK(identity.gossipAddress == "[fd00::1]:82");
    CHECK(identity.processorMillis == 140);
    const auto again = attempt([&] {
        return decodeHostRegistration("host", encodeHostRegistration(identity));
    });
    REQUIRE(std::holds_alternative<fleet::HostIdentity>(again));
    CHECK(std::get<fleet::HostIdentity>(again) == identity);
}
