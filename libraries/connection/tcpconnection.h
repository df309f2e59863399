/** A TCP connection with a deadline for each blocking operation. */
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
    /** The peer closed its side of the connection, and all bytes that it sent before have been read. */
    Closed,
    /** The connection was reset or another socket error occurred, in this call or an earlier one. Unread bytes that arrived before can still be read. */
    Failed,
    TimedOut,
    /** The caller that waits for the result has closed its connection. */
    Abandoned,
};

/** Parses "127.0.0.1:80" or "[::1]:80"; port 0 is allowed. Returns the length of the parsed address, 0 when the text is malformed. */
[[nodiscard]] auto parseSockaddr(const std::string &text, sockaddr_storage &parsed) -> socklen_t;

/** The IP address as text, without the port. */
[[nodiscard]] auto addressText(const sockaddr_storage &address) -> std::string;

[[nodiscard]] auto portOf(const sockaddr_storage &address) -> int;

/** Waits until the peer of a socket closes its connection; false at the deadline, or for socket -1, which is never closed. */
[[nodiscard]] auto waitForPeerClose(int socket, absl::Time deadline) -> bool;

/** Whether the peer of a socket has closed or reset its connection, even if bytes that it sent before are still unread; false for socket -1. */
[[nodiscard]] auto isPeerClosed(int socket) -> bool;

/** Time since the newest bytes arrived at a socket, whether they have been read or not; zero when the system does not tell. */
[[nodiscard]] auto timeSinceArrival(int socket) -> absl::Duration;

/** Owns one non-blocking socket and buffers reads. Deadlines are monotonic times. Not thread-safe. */
class TcpConnection
{
public:
    /** Takes ownership of a connected socket. */
    explicit TcpConnection(int socket);
    ~TcpConnection();
    TcpConnection(TcpConnection &&other) noexcept;
    auto operator=(TcpConnection &&other) noexcept -> TcpConnection &;
    TcpConnection(const TcpConnection &) = delete;
    auto operator=(const TcpConnection &) -> TcpConnection & = delete;

    /**
     * Connects to an IP address and port. Errors: the address is malformed, the connection is refused or not established by the deadline, or the peer of
     * callerSocket has closed its connection meanwhile.
     */
    [[nodiscard]] static auto connect(const std::string &address, absl::Time deadline, int callerSocket = -1) -> Result<TcpConnection>;

    /** Whether connections to an IP address and port are established by the deadline, be it that they are reset at once. */
    [[nodiscard]] static auto isListening(const std::string &address, absl::Time deadline) -> bool;

    /** Writes all data. A byte counts as sent once the kernel has accepted it. */
    [[nodiscard]] auto write(std::string_view data, absl::Time deadline) -> TransferStatus;

    /** Reads at least one more byte into the buffer. */
    [[nodiscard]] auto fill(absl::Time deadline) -> TransferStatus;

    /** Makes later waits of write and fill return Abandoned once the peer of the given socket has closed its connection; -1 stops watching. */
    auto watchCaller(int socket) -> void;

    /** Makes later waits of write and fill end as at their deadlines once the given descriptor is readable; -1 stops watching. */
    auto watchEnd(int descriptor) -> void;

    /** Reads available bytes into the buffer without waiting; TimedOut when there are none. */
    [[nodiscard]] auto fillAvailable() -> TransferStatus;

    /** Bytes that have been read but not consumed. */
    [[nodiscard]] auto buffered() const -> std::string_view;

    /** Drops bytes from the front of the buffer. */
    auto consume(std::size_t bytes) -> void;

    /** Frees the buffer if it holds no bytes, since an idle connection needs none. */
    auto releaseBuffer() -> void;

    /** Number of bytes that the kernel has accepted so far. */
    [[nodiscard]] auto bytesWritten() const -> std::size_t;

    /** Whether the connection is open with nothing to read. A closed connection or one with unexpected bytes must not be reused. */
    [[nodiscard]] auto isOpenAndIdle() const -> bool;

    /** Shuts down the sending side only. Closing a socket with unread data would reset it, and the peer could lose data that was written. */
    auto finishWriting() -> void;

    /** Closes the socket with a reset, so that the peer detects at once that its response is no longer needed. */
    auto abort() -> void;

    [[nodiscard]] auto socket() const -> int;

private:
    auto receive() -> TransferStatus;
    auto close() -> void;

    int socket_ = -1;
    /** A call has reported a reset or another error of the socket. The system reports it once, and later reads return 0 as after an orderly close. */
    bool hasFailed_ = false;
    int watchedCaller_ = -1;
    int watchedEnd_ = -1;
    std::size_t bytesWritten_ = 0;
    std::size_t consumed_ = 0;
    std::string buffer_;
};

}
