#include "support/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <charconv>
#include <cstdint>
#include <optional>

namespace standin
{

namespace
{

/** Connection bursts in tests exceed the usual backlog of a few connections. */
constexpr auto listenBacklog = 4096;

auto parseAddress(const std::string &address) -> std::optional<sockaddr_in>
{
    const auto colon = address.rfind(':');
    auto port = std::uint16_t { 0 };
    if (colon == std::string::npos || std::from_chars(address.data() + colon + 1, address.data() + address.size(), port).ec != std::errc {}) {
        return std::nullopt;
    }
    auto parsed = sockaddr_in {};
    parsed.sin_family = AF_INET;
    parsed.sin_port = htons(port);
    if (inet_pton(AF_INET, address.substr(0, colon).c_str(), &parsed.sin_addr) != 1) {
        return std::nullopt;
    }
    return parsed;
}

}

auto listenOn(const std::string &address) -> int
{
    const auto local = parseAddress(address);
    if (!local) {
        return -1;
    }
    const auto listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(listener, reinterpret_cast<const sockaddr *>(&*local), sizeof(*local)) != 0 || listen(listener, listenBacklog) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

auto boundAddress(int socket) -> std::string
{
    auto local = sockaddr_in {};
    auto size = socklen_t { sizeof(local) };
    getsockname(socket, reinterpret_cast<sockaddr *>(&local), &size);
    auto text = std::array<char, INET_ADDRSTRLEN> {};
    inet_ntop(AF_INET, &local.sin_addr, text.data(), text.size());
    return std::string(text.data()) + ":" + std::to_string(ntohs(local.sin_port));
}

auto connectTo(const std::string &address) -> int
{
    const auto remote = parseAddress(address);
    if (!remote) {
        return -1;
    }
    const auto connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(connection, reinterpret_cast<const sockaddr *>(&*remote), sizeof(*remote)) != 0) {
        close(connection);
        return -1;
    }
    disableDelay(connection);
    return connection;
}

auto disableDelay(int socket) -> void
{
    const auto on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

}
