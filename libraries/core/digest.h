/** Digests, random identifiers and hashes. */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheecleat
{

/** SHA-256 of the data, as 64 lower-case hexadecimal digits (FIPS 180-4). */
[[nodiscard]] auto sha256Hex(std::string_view data) -> std::string;

/** HMAC-SHA-256 of the data under the secret, as 64 lower-case hexadecimal digits (RFC 2104). */
[[nodiscard]] auto hmacHex(std::string_view secret, std::string_view data) -> std::string;

/** Compares two strings in a time that does not depend on where they differ. */
[[nodiscard]] auto equalConstantTime(std::string_view left, std::string_view right) -> bool;

/** A random identifier of the given number of bytes, as hexadecimal digits, from the system's random source. */
[[nodiscard]] auto randomHex(int bytes) -> std::string;

/** A stable 64-bit hash (XXH3) that is the same on every host; not for secrets. */
[[nodiscard]] auto stableHash(std::string_view data, std::uint64_t seed = 0) -> std::uint64_t;

}
