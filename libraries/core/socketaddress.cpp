#include "core/socketaddress.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

namespace lycheecleat
{

namespace
{

constexpr auto maximumPort = 65535;

auto parsePort(const std::string &text) -> std::optional<int>
{
    auto port = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    if (parsed.ec != std::errc {} || parsed.ptr != end || port < 1 || port > maximumPort) {
        return std::nullopt;
    }
    return port;
}

auto isIpAddress(int family, const std::string &text) -> bool
{
    auto buffer = std::array<unsigned char, sizeof(in6_addr)> {};
    // A NUL byte would end the text for inet_pton.
    return text.find('\0') == std::string::npos && inet_pton(family, text.c_str(), buffer.data()) == 1;
}

/** First octets of IPv4 addresses that no host has: 0 is "this network", and from 224 on addresses are multicast, reserved or broadcast. */
constexpr auto unspecifiedOctet = 0;
constexpr auto firstMulticastOctet = 224;

auto isUnicastOctet(unsigned char firstOctet) -> bool
{
    return firstOctet != unspecifiedOctet && firstOctet < firstMulticastOctet;
}

}

auto isUnicast(const SocketAddress &address) -> bool
{
    auto bytes = in6_addr {};
    if (inet_pton(AF_INET, address.ip_.c_str(), &bytes) == 1) {
        return isUnicastOctet(bytes.s6_addr[0]);
    }
    if (inet_pton(AF_INET6, address.ip_.c_str(), &bytes) != 1) {
        return false;
    }
    constexpr auto mappedOctet = 12;
    if (IN6_IS_ADDR_V4MAPPED(&bytes)) {
        return isUnicastOctet(bytes.s6_addr[mappedOctet]);
    }
    return !IN6_IS_ADDR_UNSPECIFIED(&bytes) && !IN6_IS_ADDR_MULTICAST(&bytes);
}

auto parseSocketAddress(const std::string &text) -> std::optional<SocketAddress>
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const auto port = parsePort(text.substr(colon + 1));
    if (!port) {
        return std::nullopt;
    }
    const auto host = text.substr(0, colon);
    if (isIpAddress(AF_INET, host)) {
        return SocketAddress { host, *port };
    }
    const auto isBracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (isBracketed && isIpAddress(AF_INET6, host.substr(1, host.size() - 2))) {
        return SocketAddress { host.substr(1, host.size() - 2), *port };
    }
    return std::nullopt;
}

}
