#include "support/bodycrowd.h"

#include "connection/tcpconnection.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <string_view>

namespace platformtest
{

namespace
{

/** Longest time for which a caller tries to send while the host reads nothing. */
constexpr auto sendPatienceMillis = 4000;

/** Longest time for which a caller that has sent its whole body waits for the response. */
constexpr auto answerPatienceMillis = 10'000;

constexpr auto pieceBytes = std::size_t { 64 } * 1024;
constexpr auto piecePause = std::chrono::milliseconds { 5 };
constexpr auto largeChunkBytes = std::size_t { 256 } * 1024;
/** Chunks of one byte that are passed to the kernel in one call. */
constexpr auto smallChunksPerPiece = std::size_t { 10 } * 1024;

auto connectTo(const std::string &address) -> int
{
    auto parsed = sockaddr_storage {};
    const auto length = lycheecleat::parseSockaddr(address, parsed);
    const auto socket = ::socket(parsed.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (length == 0 || socket < 0 || ::connect(socket, reinterpret_cast<const sockaddr *>(&parsed), length) != 0) {
        throw std::runtime_error("cannot connect to " + address);
    }
    return socket;
}

/** False once the connection is closed or nothing could be sent for long. */
auto sendAll(int socket, std::string_view bytes) -> bool
{
    while (!bytes.empty()) {
        auto descriptor = pollfd { socket, POLLOUT, 0 };
        if (poll(&descriptor, 1, sendPatienceMillis) <= 0) {
            return false;
        }
        const auto sent = send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

/** Whether a response with status 200 begins to arrive in time. */
auto isServed(int socket) -> bool
{
    constexpr auto expected = std::string_view("HTTP/1.1 200");
    auto descriptor = pollfd { socket, POLLIN, 0 };
    auto start = std::string(expected.size(), '\0');
    return poll(&descriptor, 1, answerPatienceMillis) > 0 && recv(socket, start.data(), start.size(), MSG_WAITALL) == static_cast<ssize_t>(expected.size())
        && start == expected;
}

auto isChunked(BodyForm form) -> bool
{
    return form == BodyForm::LargeChunks || form == BodyForm::SmallChunks;
}

/** The next part of a message, of at most the given number of bytes of the body. */
auto nextPiece(BodyForm form, std::size_t remaining, std::size_t &taken) -> std::string
{
    switch (form) {
    case BodyForm::Whole:
    case BodyForm::Pieces:
        taken = std::min(remaining, pieceBytes);
        return std::string(taken, 'x');
    case BodyForm::LargeChunks:
        taken = std::min(remaining, largeChunkBytes);
        return fmt::format("{:x}\r\n{}\r\n", taken, std::string(taken, 'x'));
    case BodyForm::SmallChunks: {
        taken = std::min(remaining, smallChunksPerPiece);
        auto piece = std::string {};
        for (auto number = std::size_t { 0 }; number < taken; ++number) {
            piece += "1\r\nx\r\n";
        }
        return piece;
    }
    }
    return {};
}

}

BodyCrowd::BodyCrowd(const std::string &address, const BodyCrowdSettings &settings)
{
    for (auto number = 0; number < settings.callers_; ++number) {
        sockets_.push_back(connectTo(address));
    }
    for (auto index = std::size_t { 0 }; index < sockets_.size(); ++index) {
        const auto isComplete = index % static_cast<std::size_t>(settings.completeInterval_) == 0;
        threads_.emplace_back([this, index, settings, isComplete] {
            sendBody(index, settings, isComplete);
        });
    }
}

BodyCrowd::~BodyCrowd()
{
    waitUntilSent();
    for (const auto socket : sockets_) {
        ::close(socket);
    }
}

auto BodyCrowd::waitUntilSent() -> void
{
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

auto BodyCrowd::servedCallers() const -> int
{
    return servedCallers_;
}

auto BodyCrowd::sendBody(std::size_t index, const BodyCrowdSettings &settings, bool isComplete) -> void
{
    const auto framing = isChunked(settings.form_) ? std::string("Transfer-Encoding: chunked") : fmt::format("Content-Length: {}", settings.bodyBytes_);
    const auto head = fmt::format("POST /book/crowd HTTP/1.1\r\nHost: service.example\r\nX-Request-Id: crowd-{}-{}\r\nX-Deadline-Ms: 3000\r\n"
                                  "X-Credential: key-free\r\n{}\r\n\r\n",
                                  getpid(),
                                  sockets_[index],
                                  framing);
    const auto socket = sockets_[index];
    auto isOpen = sendAll(socket, head);
    for (auto remaining = settings.bodyBytes_; isOpen && remaining > 0;) {
        auto taken = std::size_t { 0 };
        auto piece = nextPiece(settings.form_, remaining, taken);
        remaining -= taken;
        if (remaining == 0 && isChunked(settings.form_)) {
            piece += "0\r\n\r\n";
        }
        if (remaining == 0 && !isComplete) {
            piece.pop_back();
        }
        isOpen = sendAll(socket, piece);
        if (settings.form_ == BodyForm::Pieces) {
            std::this_thread::sleep_for(piecePause);
        }
    }
    servedCallers_ += isOpen && isComplete && isServed(socket) ? 1 : 0;
}

}
