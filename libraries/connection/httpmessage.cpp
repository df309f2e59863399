#include "connection/httpmessage.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace lycheecleat
{

namespace
{

constexpr auto lineEnd = std::string_view("\r\n");
constexpr auto headEnd = std::string_view("\r\n\r\n");

// A chunk size line longer than this holds extensions that nobody needs.
constexpr auto maximumChunkLine = std::size_t { 1024 };

auto isTokenCharacter(char character) -> bool
{
    const auto alphanumeric = (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return alphanumeric || (character != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(character) != std::string_view::npos);
}

auto isToken(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), isTokenCharacter);
}

auto isFieldValue(std::string_view text) -> bool
{
    return std::all_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return character == '\t' || (code >= 0x20 && code != 0x7f);
    });
}

auto isTarget(std::string_view text) -> bool
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char character) {
        const auto code = static_cast<unsigned char>(character);
        return code > 0x20 && code != 0x7f && character != '#';
    });
}

auto parseNumber(std::string_view text, int base) -> std::optional<std::size_t>
{
    auto value = std::size_t { 0 };
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, base);
    if (text.empty() || result.ec != std::errc {} || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

auto minorVersionOf(std::string_view version) -> std::optional<int>
{
    if (version == "HTTP/1.1") {
        return 1;
    }
    if (version == "HTTP/1.0") {
        return 0;
    }
    return std::nullopt;
}

auto parseField(std::string_view line) -> std::optional<HeaderField>
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) {
        return std::nullopt;
    }
    const auto value = trimmed(line.substr(colon + 1));
    if (!isFieldValue(value)) {
        return std::nullopt;
    }
    return HeaderField { std::string(line.substr(0, colon)), std::string(value) };
}

auto statusOfTransfer(TransferStatus status) -> MessageStatus
{
    switch (status) {
    case TransferStatus::Done:
        return MessageStatus::Whole;
    case TransferStatus::Closed:
        return MessageStatus::Cut;
    case TransferStatus::Failed:
        return MessageStatus::Failed;
    case TransferStatus::TimedOut:
        return MessageStatus::TimedOut;
    }
    return MessageStatus::Failed;
}

// Makes sure that at least the given number of bytes is buffered.
auto fillTo(TcpConnection &connection, std::size_t bytes, absl::Time deadline) -> MessageStatus
{
    while (connection.buffered().size() < bytes) {
        const auto status = connection.fill(deadline);
        if (status != TransferStatus::Done) {
            return statusOfTransfer(status);
        }
    }
    return MessageStatus::Whole;
}

auto readLine(TcpConnection &connection, std::size_t limit, absl::Time deadline, std::string &line) -> MessageStatus
{
    while (true) {
        const auto end = connection.buffered().find(lineEnd);
        if (end != std::string_view::npos && end <= limit) {
            line = connection.buffered().substr(0, end);
            connection.consume(end + lineEnd.size());
            return MessageStatus::Whole;
        }
        if (connection.buffered().size() > limit) {
            return MessageStatus::Malformed;
        }
        const auto status = connection.fill(deadline);
        if (status != TransferStatus::Done) {
            return statusOfTransfer(status);
        }
    }
}

auto readBytes(TcpConnection &connection, std::size_t bytes, absl::Time deadline, std::string &body) -> MessageStatus
{
    while (bytes > 0) {
        if (connection.buffered().empty()) {
            const auto status = connection.fill(deadline);
            if (status != TransferStatus::Done) {
                return statusOfTransfer(status);
            }
        }
        const auto part = std::min(bytes, connection.buffered().size());
        body.append(connection.buffered().substr(0, part));
        connection.consume(part);
        bytes -= part;
    }
    return MessageStatus::Whole;
}

auto readTrailers(TcpConnection &connection, absl::Time deadline) -> MessageStatus
{
    auto remaining = maximumChunkLine * 8;
    while (true) {
        auto line = std::string {};
        const auto status = readLine(connection, remaining, deadline, line);
        if (status != MessageStatus::Whole || line.empty()) {
            return status;
        }
        remaining -= std::min(remaining, line.size());
    }
}

auto readChunks(TcpConnection &connection, std::size_t limit, absl::Time deadline, std::string &body) -> MessageStatus
{
    while (true) {
        auto line = std::string {};
        auto status = readLine(connection, maximumChunkLine, deadline, line);
        if (status != MessageStatus::Whole) {
            return status;
        }
        const auto size = parseNumber(trimmed(std::string_view(line).substr(0, line.find(';'))), 16);
        if (!size) {
            return MessageStatus::Malformed;
        }
        if (*size > limit || body.size() > limit - *size) {
            return MessageStatus::BodyTooLarge;
        }
        if (*size == 0) {
            return readTrailers(connection, deadline);
        }
        status = readBytes(connection, *size, deadline, body);
        if (status != MessageStatus::Whole) {
            return status;
        }
        status = fillTo(connection, lineEnd.size(), deadline);
        if (status != MessageStatus::Whole) {
            return status;
        }
        if (connection.buffered().substr(0, lineEnd.size()) != lineEnd) {
            return MessageStatus::Malformed;
        }
        connection.consume(lineEnd.size());
    }
}

}

auto parseHead(std::string_view text) -> std::optional<MessageHead>
{
    auto head = MessageHead {};
    const auto firstEnd = std::min(text.find(lineEnd), text.size());
    head.firstLine_ = text.substr(0, firstEnd);
    text.remove_prefix(std::min(firstEnd + lineEnd.size(), text.size()));
    while (!text.empty()) {
        const auto end = std::min(text.find(lineEnd), text.size());
        auto field = parseField(text.substr(0, end));
        if (!field) {
            return std::nullopt;
        }
        head.headers_.push_back(std::move(*field));
        text.remove_prefix(std::min(end + lineEnd.size(), text.size()));
    }
    return head;
}

auto parseRequestLine(std::string_view line) -> std::optional<RequestLine>
{
    const auto first = line.find(' ');
    const auto second = first == std::string_view::npos ? first : line.find(' ', first + 1);
    if (second == std::string_view::npos) {
        return std::nullopt;
    }
    const auto method = line.substr(0, first);
    const auto target = line.substr(first + 1, second - first - 1);
    const auto minorVersion = minorVersionOf(line.substr(second + 1));
    if (!isToken(method) || !isTarget(target) || !minorVersion) {
        return std::nullopt;
    }
    return RequestLine { std::string(method), std::string(target), *minorVersion };
}

auto parseStatusLine(std::string_view line) -> std::optional<StatusLine>
{
    constexpr auto versionLength = std::size_t { 8 };
    constexpr auto statusEnd = std::size_t { 12 };
    const auto minorVersion = minorVersionOf(line.substr(0, versionLength));
    if (!minorVersion || line.size() < statusEnd || line[versionLength] != ' ' || (line.size() > statusEnd && line[statusEnd] != ' ')) {
        return std::nullopt;
    }
    const auto status = parseNumber(line.substr(versionLength + 1, statusEnd - versionLength - 1), 10);
    if (!status || *status < 100 || *status > 599) {
        return std::nullopt;
    }
    return StatusLine { static_cast<int>(*status), *minorVersion };
}

auto bodyFraming(const HeaderFields &headers) -> std::optional<BodyFraming>
{
    auto framing = BodyFraming {};
    for (const auto &header : headers) {
        if (equalIgnoringCase(header.name_, "transfer-encoding")) {
            if (framing.chunked_ || !equalIgnoringCase(header.value_, "chunked")) {
                return std::nullopt;
            }
            framing.chunked_ = true;
        }
        if (equalIgnoringCase(header.name_, "content-length")) {
            const auto length = parseNumber(header.value_, 10);
            if (!length || (framing.length_ && *framing.length_ != *length)) {
                return std::nullopt;
            }
            framing.length_ = length;
        }
    }
    // Two ways to find the end of a body let two readers see different messages.
    if (framing.chunked_ && framing.length_) {
        return std::nullopt;
    }
    return framing;
}

auto closesConnection(const HeaderFields &headers, int minorVersion) -> bool
{
    auto keepAlive = false;
    for (const auto &header : headers) {
        if (!equalIgnoringCase(header.name_, "connection")) {
            continue;
        }
        auto rest = std::string_view(header.value_);
        while (!rest.empty()) {
            const auto end = std::min(rest.find(','), rest.size());
            const auto option = trimmed(rest.substr(0, end));
            if (equalIgnoringCase(option, "close")) {
                return true;
            }
            keepAlive = keepAlive || equalIgnoringCase(option, "keep-alive");
            rest.remove_prefix(std::min(end + 1, rest.size()));
        }
    }
    return minorVersion == 0 && !keepAlive;
}

auto readHead(TcpConnection &connection, std::size_t limit, absl::Time deadline, MessageHead &head) -> MessageStatus
{
    while (true) {
        // Empty lines before a message are allowed (RFC 9112, 2.2).
        while (connection.buffered().substr(0, lineEnd.size()) == lineEnd) {
            connection.consume(lineEnd.size());
        }
        const auto end = connection.buffered().find(headEnd);
        if (end != std::string_view::npos && end <= limit) {
            auto parsed = parseHead(connection.buffered().substr(0, end));
            connection.consume(end + headEnd.size());
            if (!parsed) {
                return MessageStatus::Malformed;
            }
            head = std::move(*parsed);
            return MessageStatus::Whole;
        }
        if (connection.buffered().size() > limit) {
            return MessageStatus::HeadTooLarge;
        }
        const auto status = connection.fill(deadline);
        if (status == TransferStatus::Closed && connection.buffered().empty()) {
            return MessageStatus::Closed;
        }
        if (status != TransferStatus::Done) {
            return statusOfTransfer(status);
        }
    }
}

auto readBody(TcpConnection &connection, const BodyFraming &framing, std::size_t limit, absl::Time deadline, std::string &body) -> MessageStatus
{
    if (framing.chunked_) {
        return readChunks(connection, limit, deadline, body);
    }
    const auto length = framing.length_.value_or(0);
    if (length > limit) {
        return MessageStatus::BodyTooLarge;
    }
    return readBytes(connection, length, deadline, body);
}

auto reasonPhrase(int status) -> std::string_view
{
    struct Phrase
    {
        int status_;
        std::string_view text_;
    };
    constexpr auto phrases = std::array {
        Phrase { 200, "OK" },
        Phrase { 201, "Created" },
        Phrase { 202, "Accepted" },
        Phrase { 204, "No Content" },
        Phrase { 206, "Partial Content" },
        Phrase { 301, "Moved Permanently" },
        Phrase { 302, "Found" },
        Phrase { 303, "See Other" },
        Phrase { 304, "Not Modified" },
        Phrase { 307, "Temporary Redirect" },
        Phrase { 308, "Permanent Redirect" },
        Phrase { 400, "Bad Request" },
        Phrase { 401, "Unauthorized" },
        Phrase { 403, "Forbidden" },
        Phrase { 404, "Not Found" },
        Phrase { 405, "Method Not Allowed" },
        Phrase { 409, "Conflict" },
        Phrase { 412, "Precondition Failed" },
        Phrase { 413, "Content Too Large" },
        Phrase { 422, "Unprocessable Content" },
        Phrase { 429, "Too Many Requests" },
        Phrase { 431, "Request Header Fields Too Large" },
        Phrase { 500, "Internal Server Error" },
        Phrase { 502, "Bad Gateway" },
        Phrase { 503, "Service Unavailable" },
        Phrase { 504, "Gateway Timeout" },
    };
    for (const auto &phrase : phrases) {
        if (phrase.status_ == status) {
            return phrase.text_;
        }
    }
    return "Unknown";
}

auto appendHeaders(std::string &text, const HeaderFields &headers) -> void
{
    for (const auto &header : headers) {
        text += header.name_;
        text += ": ";
        text += header.value_;
        text += lineEnd;
    }
    text += lineEnd;
}

}
