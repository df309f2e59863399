#include "connection/datagramsocket.h"

#include "connection/tcpconnection.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Largest payload of a UDP datagram over IPv4. */
constexpr auto maximumDatagram = std::size_t { 65507 };

}

DatagramSocket::DatagramSocket(int socket)
    : socket_(socket)
{
}

DatagramSocket::~DatagramSocket()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
}

DatagramSocket::DatagramSocket(DatagramSocket &&other) noexcept
    : socket_(std::exchange(other.socket_, -1))
{
}

auto DatagramSocket::operator=(DatagramSocket &&other) noexcept -> DatagramSocket &
{
    std::swap(socket_, other.socket_);
    return *this;
}

auto DatagramSocket::bind(const std::string &address) -> Result<DatagramSocket>
{
    auto parsed = sockaddr_storage {};
    const auto length = parseSockaddr(address, parsed);
    if (length == 0) {
        return makeError("listen for heartbeats", address, "the address must be an IP address and a port");
    }
    auto bound = DatagramSocket(::socket(parsed.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (bound.socket_ < 0 || ::bind(bound.socket_, reinterpret_cast<const sockaddr *>(&parsed), length) != 0) {
        return makeError("listen for heartbeats", address, std::generic_category().message(errno));
    }
    return bound;
}

auto DatagramSocket::send(const std::string &address, std::string_view data) -> bool
{
    auto parsed = sockaddr_storage {};
    const auto length = parseSockaddr(address, parsed);
    if (length == 0) {
        return false;
    }
    const auto sent = sendto(socket_, data.data(), data.size(), MSG_DONTWAIT | MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&parsed), length);
    return sent == static_cast<ssize_t>(data.size());
}

auto DatagramSocket::receive(absl::Duration timeout) -> std::string
{
    auto descriptor = pollfd { socket_, POLLIN, 0 };
    const auto milliseconds = static_cast<int>(absl::ToInt64Milliseconds(std::max(timeout, absl::ZeroDuration())));
    if (poll(&descriptor, 1, milliseconds) <= 0) {
        return {};
    }
    auto data = std::string(maximumDatagram, '\0');
    const auto size = recv(socket_, data.data(), data.size(), MSG_DONTWAIT);
    data.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return data;
}

}
