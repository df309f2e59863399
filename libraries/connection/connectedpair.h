/** A pair of connected TCP sockets on loopback, for tests. */
#pragma once

#include "connection/tcpconnection.h"
#include "core/clock.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <utility>

namespace lycheecleat
{

/** Both ends of a connection. */
struct ConnectedPair
{
    TcpConnection caller_;
    TcpConnection accepted_;
};

/** Connects two sockets through a listener on a free port of the IP address. Throws if the address can't be used. */
[[nodiscard]] inline auto makeConnectedPair(const std::string &ip) -> ConnectedPair
{
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const auto listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto size = socklen_t { sizeof(address) };
    ::bind(listener, reinterpret_cast<const sockaddr *>(&address), size);
    ::listen(listener, 1);
    getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size);
    const auto name = ip + ":" + std::to_string(ntohs(address.sin_port));
    auto connected = attempt([&] {
        return TcpConnection::connect(name, monotonicNow() + absl::Seconds(2));
    });
    auto accepted = TcpConnection(accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    ::close(listener);
    return { std::get<TcpConnection>(std::move(connected)), std::move(accepted) };
}

}
