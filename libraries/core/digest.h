/** Digests, random identifiers and hashes. */
#pragma once

#include "core/messagebody.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace lycheecleat
{

/** SHA-256 of the data, as 64 lower-case hexadecimal digits (FIPS 180-4). */
[[nodiscard]] auto sha256Hex(std::string_view data) -> std::string;

/** SHA-256 of a head and the body that follows it, without joining them. */
[[nodiscard]] auto sha256Hex(std::string_view head, const MessageBody &body) -> std::string;

/** HMAC-SHA-256 of the data under the secret, as 64 lower-case hexadecimal digits (RFC 2104). */
[[nodiscard]] auto hmacHex(std::string_view secret, std::string_view data) -> std::string;

/** Compares two strings in a time that does not depend on their content; strings of different lengths return at once. */
[[nodiscard]] auto equalConstantTime(std::string_view left, std::string_view right) -> bool;

/** The given number of cryptographically random bytes, as hexadecimal digits. Aborts the process if the random source fails. */
[[nodiscard]] auto randomHex(int bytes) -> std::string;

/** A stable 64-bit hash (XXH3) that is the same on every host; not a cryptographic hash. */
[[nodiscard]] auto stableHash(std::string_view data, std::uint64_t seed = 0) -> std::uint64_t;

/** Position of a host in an order of hosts that is the same on every host and differs between keys (rendezvous hashing). */
[[nodiscard]] auto rendezvousRank(std::uint64_t host, std::uint64_t key) -> std::uint64_t;

}
