/**
 * Reads and writes HTTP/1.1 messages with Boost.Beast and rejects input that another parser could interpret differently (request smuggling).
 * cpp-httplib is not used for these messages: it decodes percent sequences in header values, which lets a caller insert header lines into a
 * backend request, and accepts an undelimited body as complete.
 */
#pragma once

#include "connection/tcpconnection.h"
#include "core/messagebody.h"
#include "request/httpfields.h"
#include "request/idempotencytable.h"

#include <absl/functional/function_ref.h>
#include <absl/time/time.h>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/optional.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
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
    /** The budget of memory has no room for further bytes of the body. */
    NoRoom,
    /** A part of the body has been read, and more follows. */
    Partial,
};

/** Lets Boost.Beast's parser collect a body (Beast's concept "Body"). */
struct BudgetedBody
{
    using value_type = MessageBodyBuilder;

    class reader
    {
    public:
        template<bool isRequest, class Fields>
        reader(boost::beast::http::header<isRequest, Fields> &, MessageBodyBuilder &body)
            : body_(body)
        {
        }

        auto init(const boost::optional<std::uint64_t> &length, boost::beast::error_code &error) -> void
        {
            body_.expect(length.value_or(0));
            error = {};
        }

        template<class Buffers>
        auto put(const Buffers &buffers, boost::beast::error_code &error) -> std::size_t
        {
            auto size = std::size_t { 0 };
            error = {};
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                body_.append({ static_cast<const char *>(buffer.data()), buffer.size() });
                size += buffer.size();
            }
            return size;
        }

        auto finish(boost::beast::error_code &error) -> void
        {
            error = {};
        }

    private:
        MessageBodyBuilder &body_;
    };
};

/** How far a body has been read. */
struct BodyProgress
{
    /** Bytes of the body, and of the body and its framing. */
    std::size_t bodyBytes_ = 0;
    std::size_t parsedBytes_ = 0;
    bool isLimited_ = false;
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
    /** The connection must outlive the reader. The body counts toward the budget; it has no limit if that is null. */
    explicit RequestReader(TcpConnection &connection, ByteBudgetPointer budget = nullptr);

    /** Reads method, target and headers. May be called again after TimedOut. */
    [[nodiscard]] auto readHead(std::size_t limit, absl::Time deadline) -> MessageStatus;

    /** Reads the body; first sends "100 Continue" if the sender expects it. */
    [[nodiscard]] auto readBody(std::size_t limit, absl::Time deadline) -> MessageStatus;

    /** Reads what has arrived of the body, without waiting; TimedOut while more must arrive, and the call is then to be repeated. */
    [[nodiscard]] auto readAvailableBody(std::size_t limit, absl::Time deadline) -> MessageStatus;

    /** The request as far as it has been read, without trailer fields. */
    [[nodiscard]] auto request() const -> const RequestContent &;

    /** Whether the head announces a non-empty body. */
    [[nodiscard]] auto hasBody() const -> bool;

    /** The length of the body that the head states; 0 if it states none. */
    [[nodiscard]] auto statedLength() const -> std::uint64_t;

    /** Bytes of the body that have been read. */
    [[nodiscard]] auto bodyBytes() const -> std::size_t;

    /** Whether the sender closes the connection after the message. */
    [[nodiscard]] auto closesConnection() const -> bool;

private:
    [[nodiscard]] auto beginBody(std::size_t limit, absl::Time deadline) -> MessageStatus;
    [[nodiscard]] auto readBodyWith(std::size_t limit, absl::Time deadline, absl::FunctionRef<TransferStatus()> fill) -> MessageStatus;

    TcpConnection *connection_;
    ByteBudgetPointer budget_;
    boost::beast::http::request_parser<BudgetedBody> parser_;
    RequestContent request_;
    BodyProgress progress_;
    bool bodyBegun_ = false;
    bool closesConnection_ = false;
};

/** Size limits and budget of a response. */
struct ResponseLimits
{
    std::size_t head_ = 0;
    std::size_t body_ = 0;
    /** Accepts a body that is delimited only by the orderly close of its connection. */
    bool acceptsUndelimited_ = false;
    /** Budget of the body; no limit when null. */
    ByteBudgetPointer budget_ = nullptr;
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

/** Reads the final response to a request in two steps; skips informational responses (1xx). */
class ResponseReader
{
public:
    /** The connection must outlive the reader. */
    ResponseReader(TcpConnection &connection, ResponseLimits limits);

    /** Reads status and headers of the response to a request with the given method. */
    [[nodiscard]] auto readHead(const std::string &method, absl::Time deadline) -> MessageStatus;

    /** Reads the body until it is complete, or Partial once a part of this size can be taken. Can be repeated after Partial and NoRoom. */
    [[nodiscard]] auto readBody(std::size_t partSize, absl::Time deadline) -> MessageStatus;

    /** The part of the body that has been read since the last call. */
    [[nodiscard]] auto takeBody() -> MessageBody;

    /** The response, without its body. */
    [[nodiscard]] auto response() -> IncomingResponse &;

    /** The length of the body that the head states; none if it states none. */
    [[nodiscard]] auto statedLength() const -> std::optional<std::uint64_t>;

private:
    [[nodiscard]] auto readOneHead(const std::string &method, absl::Time deadline) -> MessageStatus;
    [[nodiscard]] auto readUntilEnd(std::size_t partSize, absl::Time deadline) -> MessageStatus;

    TcpConnection *connection_;
    ResponseLimits limits_;
    std::optional<boost::beast::http::response_parser<BudgetedBody>> parser_;
    IncomingResponse response_;
    BodyProgress progress_;
};

/** Reads the final response to a request with the given method, with its whole body. */
[[nodiscard]] auto
readResponse(TcpConnection &connection, const std::string &method, const ResponseLimits &limits, absl::Time deadline, IncomingResponse &response)
    -> MessageStatus;

/** The head of a request. Its headers must delimit the body. */
[[nodiscard]] auto serializeHead(const RequestContent &request) -> std::string;

/** The head of a response. Its headers must delimit the body. */
[[nodiscard]] auto serializeHead(const HttpResponse &httpResponse) -> std::string;

/** Writes a head and its body. */
[[nodiscard]] auto writeMessage(TcpConnection &connection, std::string head, const MessageBody &body, absl::Time deadline) -> TransferStatus;

}
