/** A TCP connection whose every wait is bounded by a deadline. */
#pragma once

#include "core/error.h"

#include <absl/time/time.h>
#include <sys/socket.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace lycheecleat
{

/** How a read or write ended. */
enum class TransferStatus {
    Done,
    /** The other side closed its end. */
    Closed,
    /** The connection was reset or has another fault. */
    Failed,
    TimedOut,
    /** The caller that waits for the result has closed its connection. */
    Abandoned,
};

/** Parses "127.0.0.1:80" or "[::1]:80" with any port from 0. Returns the length of the parsed address, 0 when the text is malformed. */
[[nodiscard]] auto parseSockaddr(const std::string &text, sockaddr_storage &parsed) -> socklen_t;

/** Owns one socket. Reads are buffered. Deadlines are monotonic; waiting for a socket is the one reason for this library to read the clock. */
class TcpConnection
{
public:
    /** Takes over a connected socket. */
    explicit TcpConnection(int socket);
    ~TcpConnection();
    TcpConnection(TcpConnection &&other) noexcept;
    auto operator=(TcpConnection &&other) noexcept -> TcpConnection &;
    TcpConnection(const TcpConnection &) = delete;
    auto operator=(const TcpConnection &) -> TcpConnection & = delete;

    /** Connects to an IP address and port. Errors: the address is malformed, the connection is refused or takes too long. */
    [[nodiscard]] static auto connect(const std::string &address, absl::Time deadline) -> Result<TcpConnection>;

    /** Writes all data. Each byte handed to the kernel counts as sent. */
    [[nodiscard]] auto write(std::string_view data, absl::Time deadline) -> TransferStatus;

    /** Reads at least one more byte into the buffer. */
    [[nodiscard]] auto fill(absl::Time deadline) -> TransferStatus;

    /** Ends every later wait for data with Abandoned once the other end of a caller's socket has closed; -1 watches none. */
    auto watchCaller(int socket) -> void;

    /** Reads what has arrived without waiting; TimedOut when nothing has. */
    [[nodiscard]] auto fillAvailable() -> TransferStatus;

    /** Bytes that have been read and not consumed. */
    [[nodiscard]] auto buffered() const -> std::string_view;

    /** Drops bytes from the front of the buffer. */
    auto consume(std::size_t bytes) -> void;

    /** Bytes handed to the kernel so far. */
    [[nodiscard]] auto bytesWritten() const -> std::size_t;

    /** Whether the connection is open with nothing to read: a closed one, or one with unexpected bytes, must not be reused. */
    [[nodiscard]] auto isOpenAndIdle() const -> bool;

    /** Ends the sending side only. Closing a socket with unread data would reset it, and the other side would lose what was written. */
    auto finishWriting() -> void;

    /** Closes the socket with a reset, so that the other side learns at once that nobody waits for its answer. */
    auto abort() -> void;

    [[nodiscard]] auto socket() const -> int;

private:
    auto receive() -> TransferStatus;
    auto close() -> void;

    int socket_ = -1;
    int watchedCaller_ = -1;
    std::size_t bytesWritten_ = 0;
    std::size_t consumed_ = 0;
    std::string buffer_;
};

}
