/** A block of IP addresses in CIDR notation. */
#pragma once

#include "core/error.h"

#include <absl/numeric/int128.h>

#include <string>

namespace lycheecleat
{

/** Number of bits by which an IPv4 prefix grows when it is mapped into IPv6 (RFC 4291, section 2.5.5.2). */
inline constexpr auto mappedPrefixBits = 96;

/** A block of addresses. IPv4 blocks are stored as IPv4-mapped IPv6 blocks. */
struct AddressBlock
{
    /** First address of the block. */
    absl::uint128 first_ = 0;
    /** Prefix length in bits, from 0 to 128. */
    int length_ = 128;

    auto operator==(const AddressBlock &other) const -> bool = default;
};

/** Parses an IPv4 or IPv6 address as a 128-bit number; an IPv4 address becomes an IPv4-mapped one. Errors: not an address. */
[[nodiscard]] auto parseAddress(const std::string &text) -> Result<absl::uint128>;

/** Parses ADDRESS/LENGTH, or a single address. Errors: not an address, length out of range, bits set after the prefix. */
[[nodiscard]] auto parseAddressBlock(const std::string &text) -> Result<AddressBlock>;

/** The last address of a block. */
[[nodiscard]] auto lastAddress(const AddressBlock &block) -> absl::uint128;

/** Whether an address is an IPv4-mapped one. */
[[nodiscard]] auto isMappedIpv4(absl::uint128 address) -> bool;

}
