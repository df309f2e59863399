/**
 * Reads and writes HTTP/1.1 messages with strict framing (RFC 9112). cpp-httplib decodes percent sequences in header values, which lets a
 * caller insert header lines into a backend request, and reads an undelimited body as whole; so messages are not read through it.
 */
#pragma once

#include "connection/tcpconnection.h"
#include "request/httpfields.h"

#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <string>

namespace lycheecleat
{

/** How reading a message ended. */
enum class MessageStatus {
    Whole,
    /** The connection ended before the first byte. */
    Closed,
    /** The connection ended within the message. */
    Cut,
    /** The connection was reset or has another fault. */
    Failed,
    TimedOut,
    Malformed,
    HeadTooLarge,
    BodyTooLarge,
};

/** First line and headers of a message. */
struct MessageHead
{
    std::string firstLine_;
    HeaderFields headers_;

    auto operator==(const MessageHead &other) const -> bool = default;
};

/** The parsed first line of a request. */
struct RequestLine
{
    std::string method_;
    std::string target_;
    /** 0 or 1, for HTTP/1.0 and HTTP/1.1. */
    int minorVersion_ = 1;

    auto operator==(const RequestLine &other) const -> bool = default;
};

/** The parsed first line of a response. */
struct StatusLine
{
    int status_ = 0;
    int minorVersion_ = 1;

    auto operator==(const StatusLine &other) const -> bool = default;
};

/** How the end of a body is found. */
struct BodyFraming
{
    bool chunked_ = false;
    /** Absent when there is no Content-Length. */
    std::optional<std::size_t> length_;

    auto operator==(const BodyFraming &other) const -> bool = default;
};

/** Parses first line and headers, without the empty line at the end. None when they are malformed. */
[[nodiscard]] auto parseHead(std::string_view text) -> std::optional<MessageHead>;

/** Parses a request line; none when it is malformed. */
[[nodiscard]] auto parseRequestLine(std::string_view line) -> std::optional<RequestLine>;

/** Parses a status line; none when it is malformed. */
[[nodiscard]] auto parseStatusLine(std::string_view line) -> std::optional<StatusLine>;

/** Finds out how a body is delimited; none when the headers contradict each other or are malformed. */
[[nodiscard]] auto bodyFraming(const HeaderFields &headers) -> std::optional<BodyFraming>;

/** Whether the sender closes the connection after the message. */
[[nodiscard]] auto closesConnection(const HeaderFields &headers, int minorVersion) -> bool;

/** Reads first line and headers of at most the given size. */
[[nodiscard]] auto readHead(TcpConnection &connection, std::size_t limit, absl::Time deadline, MessageHead &head) -> MessageStatus;

/** Reads a delimited body of at most the given size. A framing with neither chunks nor a length has no body. */
[[nodiscard]] auto readBody(TcpConnection &connection, const BodyFraming &framing, std::size_t limit, absl::Time deadline, std::string &body) -> MessageStatus;

/** The reason phrase of a status code; "Unknown" for codes without a name. */
[[nodiscard]] auto reasonPhrase(int status) -> std::string_view;

/** Appends headers and the empty line that ends them. */
auto appendHeaders(std::string &text, const HeaderFields &headers) -> void;

}
