#include "version/addressblock.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <fmt/format.h>

#include <cstdint>

namespace lycheecleat
{

namespace
{

constexpr auto parseStep = "parse address block";
constexpr auto addressBits = 128;
constexpr auto bitsPerByte = 8;
constexpr auto ipv4MappedPrefix = std::uint32_t { 0xffff };
constexpr auto ipv4Bits = 32;

auto hostMask(int length) -> absl::uint128
{
    if (length == 0) {
        return absl::Uint128Max();
    }
    return (absl::uint128 { 1 } << (addressBits - length)) - 1;
}

}

auto parseAddress(const std::string &text) -> Result<absl::uint128>
{
    auto ipv4 = in_addr {};
    if (inet_pton(AF_INET, text.c_str(), &ipv4) == 1) {
        return (absl::uint128 { ipv4MappedPrefix } << ipv4Bits) | absl::uint128 { ntohl(ipv4.s_addr) };
    }
    auto ipv6 = in6_addr {};
    if (inet_pton(AF_INET6, text.c_str(), &ipv6) != 1) {
        return makeError(parseStep, text, "not an IPv4 or IPv6 address");
    }
    auto value = absl::uint128 { 0 };
    for (const auto byte : ipv6.s6_addr) {
        value = (value << bitsPerByte) | absl::uint128 { byte };
    }
    return value;
}

auto parseAddressBlock(const std::string &text) -> Result<AddressBlock>
{
    const auto slash = text.find('/');
    BOOST_LEAF_AUTO(first, parseAddress(text.substr(0, slash)));
    if (slash == std::string::npos) {
        return AddressBlock { first, addressBits };
    }
    const auto isIpv4 = text.find(':') == std::string::npos;
    const auto maximumLength = isIpv4 ? ipv4Bits : addressBits;
    auto length = 0;
    if (!absl::SimpleAtoi(text.substr(slash + 1), &length) || length < 0 || length > maximumLength) {
        return makeError(parseStep, text, fmt::format("the prefix length must be a number from 0 to {}", maximumLength));
    }
    const auto block = AddressBlock { first, isIpv4 ? length + mappedPrefixBits : length };
    if ((first & hostMask(block.length_)) != 0) {
        return makeError(parseStep, text, "bits after the prefix length must be zero");
    }
    return block;
}

auto lastAddress(const AddressBlock &block) -> absl::uint128
{
    return block.first_ | hostMask(block.length_);
}

auto isMappedIpv4(absl::uint128 address) -> bool
{
    return (address >> ipv4Bits) == absl::uint128 { ipv4MappedPrefix };
}

}
