/**
 * Reads and writes HTTP/1.1 messages through Boost.Beast and refuses what another reader of the same bytes could take for another message.
 * cpp-httplib is not used for these messages: it decodes percent sequences in header values, which lets a caller insert header lines into a
 * backend request, and reads an undelimited body as whole.
 */
#pragma once

#include "connection/bytebudget.h"
#include "connection/tcpconnection.h"
#include "request/httpfields.h"
#include "request/idempotencytable.h"

#include <absl/time/time.h>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <string>

namespace lycheecleat
{

/** How reading a message ended. */
enum class MessageStatus {
    Complete,
    /** The connection ended before the first byte. */
    Closed,
    /** The connection ended within the message. */
    Truncated,
    /** The connection was reset or has another fault. */
    Failed,
    TimedOut,
    /** The caller that waits for the message has left. */
    Abandoned,
    Malformed,
    /** Only the end of the connection would end the body, which a crash of the sender looks like too. */
    Undelimited,
    HeadTooLarge,
    BodyTooLarge,
};

/**
 * Whether the buffer holds a whole message head. Drops empty lines before it (RFC 9112, 2.2) and adds their bytes to a count, since a sender could send
 * any number of them.
 */
[[nodiscard]] auto skipToCompleteHead(TcpConnection &connection, std::size_t &emptyLineBytes) -> bool;

/** Reads one request in two steps, since the limit of its body depends on its head. */
class RequestReader
{
public:
    /** The connection outlives the reader. */
    explicit RequestReader(TcpConnection &connection);

    /** Reads method, target and headers. May be called again after TimedOut. */
    [[nodiscard]] auto readHead(std::size_t limit, absl::Time deadline) -> MessageStatus;

    /** Reads the body; first answers "100 Continue" if the sender waits for it. */
    [[nodiscard]] auto readBody(std::size_t limit, absl::Time deadline) -> MessageStatus;

    /** What has been read. Trailer fields are left out. */
    [[nodiscard]] auto request() const -> const RequestContent &;

    /** Whether the head announces a body that is not empty. */
    [[nodiscard]] auto hasBody() const -> bool;

    /** Whether the sender closes the connection after the message. */
    [[nodiscard]] auto closesConnection() const -> bool;

private:
    TcpConnection *connection_;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
    RequestContent request_;
    bool closesConnection_ = false;
};

/** Largest sizes of a response. */
struct ResponseLimits
{
    std::size_t head_ = 0;
    std::size_t body_ = 0;
    /** Takes a body that only the orderly end of its connection delimits as whole. */
    bool acceptsUndelimited_ = false;
    /** Bounds the bodies of all responses that are being read; none when null. Outlives the call. */
    ByteBudget *budget_ = nullptr;
};

/** A response as it came. */
struct IncomingResponse
{
    /** Trailer fields are left out. */
    HttpResponse answer_;
    /** Whether the method or status excludes a body; the headers then describe a body that is not here. */
    bool isBodyless_ = false;
    /** Whether the sender closes the connection after the message. */
    bool closesConnection_ = false;
};

/** Reads the final response to a request with the given method and skips informational ones (1xx). */
[[nodiscard]] auto readResponse(TcpConnection &connection, const std::string &method, ResponseLimits limits, absl::Time deadline, IncomingResponse &response)
    -> MessageStatus;

/** The bytes of a request. The headers must delimit the body. */
[[nodiscard]] auto serializeRequest(const RequestContent &request) -> std::string;

/** The bytes of a response. The headers must delimit the body. */
[[nodiscard]] auto serializeResponse(const HttpResponse &answer) -> std::string;

}
