#include "support/httpserver.h"

#include "support/sockets.h"

#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace standin
{

namespace
{

constexpr auto maximumHeaderBytes = std::size_t { 64 } * 1024;
constexpr auto maximumBodyBytes = std::size_t { 64 } * 1024 * 1024;
constexpr auto pollMilliseconds = 100;

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

auto trim(const std::string &text) -> std::string
{
    const auto first = text.find_first_not_of(" \t");
    if (first == std::string::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

auto percentDecode(const std::string &text) -> std::string
{
    auto decoded = std::string {};
    for (auto index = std::size_t { 0 }; index < text.size(); ++index) {
        auto value = 0;
        const auto *digits = text.data() + index + 1;
        if (text[index] == '%' && index + 2 < text.size() && std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2) {
            decoded += static_cast<char>(value);
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

auto parseQuery(const std::string &text) -> std::map<std::string, std::string>
{
    auto query = std::map<std::string, std::string> {};
    for (auto begin = std::size_t { 0 }; begin < text.size();) {
        const auto end = std::min(text.find('&', begin), text.size());
        const auto part = text.substr(begin, end - begin);
        const auto equals = std::min(part.find('='), part.size());
        query[percentDecode(part.substr(0, equals))] = equals < part.size() ? percentDecode(part.substr(equals + 1)) : "";
        begin = end + 1;
    }
    return query;
}

/** Reads the byte stream of a connection into a buffer. */
class ConnectionReader
{
public:
    ConnectionReader(int socket, const std::atomic<bool> &isStopping)
        : socket_(socket)
        , isStopping_(isStopping)
    {
    }

    /** Receives more bytes into the buffer; false when the connection has ended or the server stops. */
    auto receive() -> bool
    {
        auto chunk = std::array<char, 16384> {};
        auto descriptor = pollfd { socket_, POLLIN, 0 };
        while (!isStopping_) {
            const auto ready = poll(&descriptor, 1, pollMilliseconds);
            if (ready == 0) {
                continue;
            }
            const auto count = ready < 0 ? -1 : recv(socket_, chunk.data(), chunk.size(), 0);
            if (count <= 0) {
                return false;
            }
            buffer_.append(chunk.data(), static_cast<std::size_t>(count));
            return true;
        }
        return false;
    }

    /** Receives until the buffer holds at least this many bytes; false when the connection ends before. */
    auto ensureAvailable(std::size_t count) -> bool
    {
        while (buffer_.size() < count) {
            if (!receive()) {
                return false;
            }
        }
        return true;
    }

    /** Position after the next occurrence of a delimiter at or after the offset; receives as needed. npos when it is not found within the limit. */
    auto findAfter(const std::string &delimiter, std::size_t offset, std::size_t limit) -> std::size_t
    {
        while (true) {
            const auto position = buffer_.find(delimiter, offset);
            if (position != std::string::npos) {
                return position + delimiter.size();
            }
            if (buffer_.size() > offset + limit || !receive()) {
                return std::string::npos;
            }
        }
    }

    auto buffer() -> std::string &
    {
        return buffer_;
    }

private:
    int socket_;
    const std::atomic<bool> &isStopping_;
    std::string buffer_;
};

auto parseHead(const std::string &head, HttpRequest &request) -> bool
{
    auto begin = std::size_t { 0 };
    auto isFirst = true;
    while (begin < head.size()) {
        const auto end = std::min(head.find("\r\n", begin), head.size());
        const auto line = head.substr(begin, end - begin);
        begin = end + 2;
        if (isFirst) {
            const auto space = line.find(' ');
            const auto secondSpace = line.find(' ', space + 1);
            if (space == std::string::npos || secondSpace == std::string::npos) {
                return false;
            }
            request.method_ = line.substr(0, space);
            const auto target = line.substr(space + 1, secondSpace - space - 1);
            const auto pathEnd = std::min(target.find('?'), target.size());
            request.path_ = percentDecode(target.substr(0, pathEnd));
            request.query_ = pathEnd < target.size() ? parseQuery(target.substr(pathEnd + 1)) : std::map<std::string, std::string> {};
            isFirst = false;
            continue;
        }
        const auto colon = line.find(':');
        if (colon != std::string::npos) {
            request.headers_.emplace_back(lowerCase(line.substr(0, colon)), trim(line.substr(colon + 1)));
        }
    }
    return !isFirst;
}

/** Reads a chunked body that starts at the offset; returns the end of the body in the buffer. */
auto readChunkedBody(ConnectionReader &reader, std::size_t offset, std::string &body) -> std::optional<std::size_t>
{
    while (body.size() <= maximumBodyBytes) {
        const auto lineEnd = reader.findAfter("\r\n", offset, maximumHeaderBytes);
        if (lineEnd == std::string::npos) {
            return std::nullopt;
        }
        auto size = std::size_t { 0 };
        const auto *begin = reader.buffer().data() + offset;
        if (std::from_chars(begin, reader.buffer().data() + lineEnd, size, 16).ptr == begin || size > maximumBodyBytes) {
            return std::nullopt;
        }
        if (!reader.ensureAvailable(lineEnd + size + 2)) {
            return std::nullopt;
        }
        body += reader.buffer().substr(lineEnd, size);
        offset = lineEnd + size + 2;
        if (size == 0) {
            return offset;
        }
    }
    return std::nullopt;
}

/** Reads the next request of a connection; nothing when it is malformed, too large or incomplete. */
auto readRequest(ConnectionReader &reader) -> std::optional<HttpRequest>
{
    const auto headEnd = reader.findAfter("\r\n\r\n", 0, maximumHeaderBytes);
    if (headEnd == std::string::npos) {
        return std::nullopt;
    }
    auto request = HttpRequest {};
    if (!parseHead(reader.buffer().substr(0, headEnd - 4), request)) {
        return std::nullopt;
    }
    auto end = headEnd;
    const auto length = headerValue(request, "content-length");
    if (lowerCase(headerValue(request, "transfer-encoding")) == "chunked") {
        const auto bodyEnd = readChunkedBody(reader, headEnd, request.body_);
        if (!bodyEnd) {
            return std::nullopt;
        }
        end = *bodyEnd;
    } else if (!length.empty()) {
        auto size = std::size_t { 0 };
        std::from_chars(length.data(), length.data() + length.size(), size);
        if (size > maximumBodyBytes || !reader.ensureAvailable(headEnd + size)) {
            return std::nullopt;
        }
        request.body_ = reader.buffer().substr(headEnd, size);
        end = headEnd + size;
    }
    request.raw_ = reader.buffer().substr(0, end);
    reader.buffer().erase(0, end);
    return request;
}

/** Sends a response; false when the connection must be closed. */
auto sendResponse(int socket, const HttpRequest &request, const HttpResponse &response) -> bool
{
    if (response.isDropped_) {
        return false;
    }
    const auto closing = response.closesConnection_ || response.omitsContentLength_ || response.truncatedBodyBytes_.has_value()
        || lowerCase(headerValue(request, "connection")) == "close";
    auto text = fmt::format("HTTP/1.1 {} Status\r\n", response.status_);
    for (const auto &[name, value] : response.headers_) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if (!response.omitsContentLength_) {
        text += fmt::format("Content-Length: {}\r\n", response.body_.size());
    }
    // A truncated response must not announce that the connection closes.
    if (closing && !response.truncatedBodyBytes_) {
        text += "Connection: close\r\n";
    }
    text += "\r\n";
    if (request.method_ != "HEAD") {
        text += response.body_.substr(0, response.truncatedBodyBytes_.value_or(response.body_.size()));
    }
    return sendAll(socket, text) && !closing;
}

}

auto headerValue(const HttpRequest &request, const std::string &name) -> std::string
{
    for (const auto &[headerName, value] : request.headers_) {
        if (headerName == name) {
            return value;
        }
    }
    return {};
}

auto isPeerClosed(int socket) -> bool
{
    auto descriptor = pollfd { socket, POLLIN | POLLRDHUP, 0 };
    if (poll(&descriptor, 1, 0) <= 0) {
        return false;
    }
    return (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

auto sendAll(int socket, const std::string &bytes) -> bool
{
    for (auto sent = std::size_t { 0 }; sent < bytes.size();) {
        const auto count = send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

auto sendEndlessly(int socket, const std::string &first, const std::string &repeated) -> void
{
    constexpr auto blockBytes = std::size_t { 64 } * 1024;
    constexpr auto maximumBytes = std::size_t { 256 } * 1024 * 1024;
    auto block = std::string {};
    while (block.size() < blockBytes) {
        block += repeated;
    }
    auto isOpen = sendAll(socket, first);
    for (auto sent = std::size_t { 0 }; isOpen && sent < maximumBytes; sent += block.size()) {
        isOpen = sendAll(socket, block);
    }
}

auto jsonResponse(int status, std::string text) -> HttpResponse
{
    auto response = HttpResponse {};
    response.status_ = status;
    response.headers_.emplace_back("Content-Type", "application/json");
    response.body_ = std::move(text);
    return response;
}

HttpServer::HttpServer(HttpHandler handler, int maximumConnections, IncompleteRequestHandler incompleteRequestHandler)
    : handler_(std::move(handler))
    , maximumConnections_(maximumConnections)
    , incompleteRequestHandler_(std::move(incompleteRequestHandler))
{
}

HttpServer::~HttpServer()
{
    stop();
}

auto HttpServer::start(const std::string &address) -> bool
{
    listener_ = listenOn(address);
    if (listener_ < 0) {
        return false;
    }
    address_ = boundAddress(listener_);
    acceptor_ = std::thread([this] {
        acceptLoop();
    });
    return true;
}

auto HttpServer::address() const -> const std::string &
{
    return address_;
}

auto HttpServer::stop() -> void
{
    isStopping_ = true;
    if (acceptor_.joinable()) {
        acceptor_.join();
    }
    closeConnections();
    auto lock = std::unique_lock(mutex_);
    changed_.wait(lock, [this] {
        return sockets_.empty();
    });
}

auto HttpServer::closeConnections() -> void
{
    const auto lock = std::lock_guard(mutex_);
    for (const auto socket : sockets_) {
        shutdown(socket, SHUT_RDWR);
    }
}

auto HttpServer::connectionCount() -> int
{
    const auto lock = std::lock_guard(mutex_);
    return static_cast<int>(sockets_.size());
}

auto HttpServer::acceptLoop() -> void
{
    auto descriptor = pollfd { listener_, POLLIN, 0 };
    while (!isStopping_) {
        if (poll(&descriptor, 1, pollMilliseconds) <= 0) {
            continue;
        }
        const auto socket = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        disableDelay(socket);
        {
            const auto lock = std::lock_guard(mutex_);
            if (static_cast<int>(sockets_.size()) >= maximumConnections_) {
                close(socket);
                continue;
            }
            sockets_.insert(socket);
        }
        std::thread([this, socket] {
            serve(socket);
        }).detach();
    }
    close(listener_);
}

auto HttpServer::serve(int socket) -> void
{
    auto reader = ConnectionReader(socket, isStopping_);
    while (auto request = readRequest(reader)) {
        request->socket_ = socket;
        if (!sendResponse(socket, *request, handler_(*request))) {
            break;
        }
    }
    if (incompleteRequestHandler_ && !reader.buffer().empty()) {
        incompleteRequestHandler_(reader.buffer());
    }
    const auto lock = std::lock_guard(mutex_);
    sockets_.erase(socket);
    close(socket);
    // Notify under the lock: the server may be destroyed as soon as the lock is released.
    changed_.notify_all();
}

}
