/** An IP address with a port, as written in settings and rules. */
#pragma once

#include <optional>
#include <string>

namespace lycheecleat
{

/** An IP address and a TCP port. */
struct SocketAddress
{
    /** IPv4 or IPv6 address without brackets. */
    std::string ip_;
    int port_ = 0;

    auto operator==(const SocketAddress &other) const -> bool = default;
};

/** Whether an address can be that of one host: neither unspecified, multicast, broadcast nor reserved. A connection to 0.0.0.0 reaches the host itself. */
[[nodiscard]] auto isUnicast(const SocketAddress &address) -> bool;

/** Parses "127.0.0.1:80" or "[::1]:80" with a port from 1 to 65535; none for any other text, such as a host name. */
[[nodiscard]] auto parseSocketAddress(const std::string &text) -> std::optional<SocketAddress>;

}
