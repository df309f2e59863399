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
    return inet_pton(family, text.c_str(), buffer.data()) == 1;
}

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
