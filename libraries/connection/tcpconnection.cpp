#include "connection/tcpconnection.h"

#include "core/clock.h"

#include <absl/strings/numbers.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto readSize = std::size_t { 16 } * 1024;

// Limits one poll call, so that a distant deadline fits its millisecond argument.
constexpr auto maximumPollTime = absl::Minutes(10);

// Waits until the socket is ready (Done), the caller's socket is closed by its peer (Abandoned), or the end is readable or the deadline reached (TimedOut).
// Negative descriptors are not watched.
auto waitFor(int socket, short events, absl::Time deadline, int callerSocket = -1, int end = -1) -> TransferStatus
{
    while (true) {
        const auto remaining = std::min(deadline - monotonicNow(), maximumPollTime);
        if (remaining <= absl::ZeroDuration()) {
            return TransferStatus::TimedOut;
        }
        auto descriptors = std::array { pollfd { socket, events, 0 }, pollfd { callerSocket, POLLRDHUP, 0 }, pollfd { end, POLLIN, 0 } };
        const auto milliseconds = static_cast<int>(absl::ToInt64Milliseconds(absl::Ceil(remaining, absl::Milliseconds(1))));
        const auto ready = poll(descriptors.data(), descriptors.size(), milliseconds);
        if (ready > 0 && descriptors[0].revents != 0) {
            return TransferStatus::Done;
        }
        if (ready > 0) {
            return descriptors[1].revents != 0 ? TransferStatus::Abandoned : TransferStatus::TimedOut;
        }
        if (ready < 0 && errno != EINTR) {
            return TransferStatus::TimedOut;
        }
    }
}

auto describeErrno(int code) -> std::string
{
    auto buffer = std::array<char, 128> {};
    return strerror_r(code, buffer.data(), buffer.size());
}

// Establishes a connection on a new socket. Returns 0 or an errno value: ETIMEDOUT at the deadline, ECANCELED when the peer of callerSocket has closed its
// connection, ECONNRESET when the connection was established and reset at once.
auto establish(int socket, const sockaddr_storage &address, socklen_t length, absl::Time deadline, int callerSocket) -> int
{
    if (::connect(socket, reinterpret_cast<const sockaddr *>(&address), length) == 0) {
        return 0;
    }
    if (errno != EINPROGRESS) {
        return errno;
    }
    const auto waited = waitFor(socket, POLLOUT, deadline, callerSocket);
    if (waited != TransferStatus::Done) {
        return waited == TransferStatus::Abandoned ? ECANCELED : ETIMEDOUT;
    }
    auto code = 0;
    auto size = socklen_t { sizeof(code) };
    getsockopt(socket, SOL_SOCKET, SO_ERROR, &code, &size);
    return code;
}

}

auto waitForPeerClose(int socket, absl::Time deadline) -> bool
{
    constexpr auto noSocket = -1;
    return waitFor(noSocket, 0, deadline, socket) == TransferStatus::Abandoned;
}

auto isPeerClosed(int socket) -> bool
{
    auto descriptor = pollfd { socket, POLLRDHUP, 0 };
    return socket >= 0 && poll(&descriptor, 1, 0) > 0;
}

auto timeSinceArrival(int socket) -> absl::Duration
{
    auto information = tcp_info {};
    auto size = socklen_t { sizeof(information) };
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &information, &size) != 0) {
        return absl::ZeroDuration();
    }
    return absl::Milliseconds(information.tcpi_last_data_recv);
}

auto parseSockaddr(const std::string &text, sockaddr_storage &parsed) -> socklen_t
{
    const auto colon = text.rfind(':');
    auto port = 0;
    if (colon == std::string::npos || colon == 0 || !absl::SimpleAtoi(text.substr(colon + 1), &port) || port < 0 || port > 65535) {
        return 0;
    }
    const auto host = text.substr(0, colon);
    const auto bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        auto *address = reinterpret_cast<sockaddr_in6 *>(&parsed);
        address->sin6_family = AF_INET6;
        address->sin6_port = htons(static_cast<std::uint16_t>(port));
        return inet_pton(AF_INET6, host.substr(1, host.size() - 2).c_str(), &address->sin6_addr) == 1 ? sizeof(sockaddr_in6) : 0;
    }
    auto *address = reinterpret_cast<sockaddr_in *>(&parsed);
    address->sin_family = AF_INET;
    address->sin_port = htons(static_cast<std::uint16_t>(port));
    return inet_pton(AF_INET, host.c_str(), &address->sin_addr) == 1 ? sizeof(sockaddr_in) : 0;
}

auto addressText(const sockaddr_storage &address) -> std::string
{
    auto buffer = std::array<char, INET6_ADDRSTRLEN> {};
    const auto *ip = address.ss_family == AF_INET6 ? static_cast<const void *>(&reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_addr)
                                                   : static_cast<const void *>(&reinterpret_cast<const sockaddr_in *>(&address)->sin_addr);
    inet_ntop(address.ss_family, ip, buffer.data(), buffer.size());
    return buffer.data();
}

auto portOf(const sockaddr_storage &address) -> int
{
    const auto port =
        address.ss_family == AF_INET6 ? reinterpret_cast<const sockaddr_in6 *>(&address)->sin6_port : reinterpret_cast<const sockaddr_in *>(&address)->sin_port;
    return ntohs(port);
}

TcpConnection::TcpConnection(int socket)
    : socket_(socket)
{
}

TcpConnection::~TcpConnection()
{
    close();
}

TcpConnection::TcpConnection(TcpConnection &&other) noexcept
    : socket_(std::exchange(other.socket_, -1))
    , hasFailed_(other.hasFailed_)
    , watchedCaller_(other.watchedCaller_)
    , watchedEnd_(other.watchedEnd_)
    , bytesWritten_(other.bytesWritten_)
    , consumed_(other.consumed_)
    , buffer_(std::move(other.buffer_))
{
}

auto TcpConnection::operator=(TcpConnection &&other) noexcept -> TcpConnection &
{
    std::swap(socket_, other.socket_);
    std::swap(hasFailed_, other.hasFailed_);
    std::swap(watchedCaller_, other.watchedCaller_);
    std::swap(watchedEnd_, other.watchedEnd_);
    std::swap(bytesWritten_, other.bytesWritten_);
    std::swap(consumed_, other.consumed_);
    std::swap(buffer_, other.buffer_);
    return *this;
}

auto TcpConnection::connect(const std::string &address, absl::Time deadline, int callerSocket) -> Result<TcpConnection>
{
    auto parsed = sockaddr_storage {};
    const auto length = parseSockaddr(address, parsed);
    if (length == 0) {
        return makeError("connect", address, "the address must be an IP address and a port");
    }
    auto connection = TcpConnection(::socket(parsed.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (connection.socket_ < 0) {
        return makeError("connect", address, describeErrno(errno));
    }
    // A request is written in one call, so Nagle's algorithm would only add delay.
    const auto enabled = 1;
    setsockopt(connection.socket_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    switch (const auto code = establish(connection.socket_, parsed, length, deadline, callerSocket); code) {
    case 0:
        return connection;
    case ECANCELED:
        return makeError("connect", address, "the caller closed its connection");
    default:
        return makeError("connect", address, describeErrno(code));
    }
}

auto TcpConnection::isListening(const std::string &address, absl::Time deadline) -> bool
{
    auto parsed = sockaddr_storage {};
    const auto length = parseSockaddr(address, parsed);
    if (length == 0) {
        return false;
    }
    const auto connection = TcpConnection(::socket(parsed.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const auto code = establish(connection.socket_, parsed, length, deadline, -1);
    return code == 0 || code == ECONNRESET;
}

auto TcpConnection::write(std::string_view data, absl::Time deadline) -> TransferStatus
{
    while (!data.empty()) {
        const auto written = send(socket_, data.data(), data.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (written > 0) {
            bytesWritten_ += static_cast<std::size_t>(written);
            data.remove_prefix(static_cast<std::size_t>(written));
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK) {
            // EPIPE is no reset: the peer had closed its side in an orderly way before it refused further bytes.
            hasFailed_ = hasFailed_ || errno != EPIPE;
            return TransferStatus::Failed;
        }
        const auto waited = waitFor(socket_, POLLOUT, deadline, watchedCaller_, watchedEnd_);
        if (waited != TransferStatus::Done) {
            return waited;
        }
    }
    return TransferStatus::Done;
}

auto TcpConnection::fill(absl::Time deadline) -> TransferStatus
{
    while (true) {
        // The deadline applies even if data is available: a slow sender could otherwise extend it byte by byte.
        if (monotonicNow() >= deadline) {
            return TransferStatus::TimedOut;
        }
        const auto status = receive();
        if (status != TransferStatus::TimedOut) {
            return status;
        }
        const auto waited = waitFor(socket_, POLLIN, deadline, watchedCaller_, watchedEnd_);
        if (waited != TransferStatus::Done) {
            return waited;
        }
    }
}

auto TcpConnection::watchCaller(int socket) -> void
{
    watchedCaller_ = socket;
}

auto TcpConnection::watchEnd(int descriptor) -> void
{
    watchedEnd_ = descriptor;
}

auto TcpConnection::fillAvailable() -> TransferStatus
{
    return receive();
}

auto TcpConnection::receive() -> TransferStatus
{
    // Consumed bytes are erased even if unread bytes remain, since an endless sender could prevent the buffer from ever becoming empty.
    if (consumed_ == buffer_.size() || consumed_ >= readSize) {
        buffer_.erase(0, consumed_);
        consumed_ = 0;
    }
    // Uninitialised, since clearing it would cost more than reading a small message.
    std::array<char, readSize> chunk;
    while (true) {
        const auto count = recv(socket_, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (count > 0) {
            buffer_.append(chunk.data(), static_cast<std::size_t>(count));
            return TransferStatus::Done;
        }
        if (count == 0) {
            return hasFailed_ ? TransferStatus::Failed : TransferStatus::Closed;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK) {
            return TransferStatus::TimedOut;
        }
        if (errno != EINTR) {
            hasFailed_ = true;
            return TransferStatus::Failed;
        }
    }
}

auto TcpConnection::buffered() const -> std::string_view
{
    return std::string_view(buffer_).substr(consumed_);
}

auto TcpConnection::consume(std::size_t bytes) -> void
{
    consumed_ = std::min(consumed_ + bytes, buffer_.size());
}

auto TcpConnection::releaseBuffer() -> void
{
    if (buffered().empty()) {
        buffer_ = {};
        consumed_ = 0;
    }
}

auto TcpConnection::bytesWritten() const -> std::size_t
{
    return bytesWritten_;
}

auto TcpConnection::isOpenAndIdle() const -> bool
{
    if (!buffered().empty()) {
        return false;
    }
    auto byte = char { 0 };
    const auto count = recv(socket_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto TcpConnection::finishWriting() -> void
{
    shutdown(socket_, SHUT_WR);
}

auto TcpConnection::abort() -> void
{
    const auto linger = ::linger { 1, 0 };
    setsockopt(socket_, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
    close();
}

auto TcpConnection::socket() const -> int
{
    return socket_;
}

auto TcpConnection::close() -> void
{
    if (socket_ >= 0) {
        ::close(socket_);
        socket_ = -1;
    }
}

}
