/**
 * Reads and writes HTTP/1.1 messages with Boost.Beast and rejects input that another parser could interpret differently (request smuggling).
 * cpp-httplib is not used for these messages: it decodes percent sequences in header values, which lets a caller insert header lines into a
 * backend request, and accepts an undelimited body as complete.
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
    /** The connection was closed before the first byte. */
    Closed,
    /** The connection was closed within the message. */
    Truncated,
    /** The connection was reset or another socket error occurred. */
    Failed,
    TimedOut,
    /** The caller that waits for the message has closed its connection. */
    Abandoned,
    Malformed,
    /** Only the close of the connection delimits the body; a crash of the sender would look the same. */
    Undelimited,
    HeadTooLarge,
    BodyTooLarge,
};

/**
 * Consumes empty lines before a message (RFC 9112, 2.2) and returns whether the buffer then contains a complete head. The bytes of the empty lines are
 * added to emptyLineBytes, so that the caller can limit them.
 */
[[nodiscard]] auto skipToCompleteHead(TcpConnection &connection, std::size_t &emptyLineBytes) -> bool;

/** Reads one request in two steps, since the size limit of the body may depend on the head. */
class RequestReader
{
public:
    /** The connection must outlive the reader. */
    explicit RequestReader(TcpConnection &connection);

    /** Reads method, target and headers. May be called again after TimedOut. */
    [[nodiscard]] auto readHead(std::size_t limit, absl::Time deadline) -> MessageStatus;

    /** Reads the body; first sends "100 Continue" if the sender expects it. */
    [[nodiscard]] auto readBody(std::size_t limit, absl::Time deadline) -> MessageStatus;

    /** The request as far as it has been read, without trailer fields. */
    [[nodiscard]] auto request() const -> const RequestContent &;

    /** Whether the head announces a non-empty body. */
    [[nodiscard]] auto hasBody() const -> bool;

    /** Whether the sender closes the connection after the message. */
    [[nodiscard]] auto closesConnection() const -> bool;

private:
    TcpConnection *connection_;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser_;
    RequestContent request_;
    bool closesConnection_ = false;
};

/** Size limits of a response. */
struct ResponseLimits
{
    std::size_t head_ = 0;
    std::size_t body_ = 0;
    /** Accepts a body that is delimited only by the orderly close of its connection. */
    bool acceptsUndelimited_ = false;
    /** Shared limit for the bodies of all responses that are being read; no limit when null. Must outlive the call. */
    ByteBudget *budget_ = nullptr;
};

/** A received response. */
struct IncomingResponse
{
    /** Without trailer fields. */
    HttpResponse httpResponse_;
    /** Whether the method or status excludes a body; the headers may then describe a body that was not sent. */
    bool isBodyless_ = false;
    /** Whether the sender closes the connection after the message. */
    bool closesConnection_ = false;
};

/** Reads the final response to a request with the given method; skips informational responses (1xx). */
[[nodiscard]] auto readResponse(TcpConnection &connection, const std::string &method, ResponseLimits limits, absl::Time deadline, IncomingResponse &response)
    -> MessageStatus;

/** Serializes a request. Its headers must delimit the body. */
[[nodiscard]] auto serializeRequest(const RequestContent &request) -> std::string;

/** Serializes a response. Its headers must delimit the body. */
[[nodiscard]] auto serializeResponse(const HttpResponse &httpResponse) -> std::string;

}
