#include "connection/httpmessage.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include <algorithm>
#include <string_view>

namespace lycheecleat
{

namespace
{

namespace http = boost::beast::http;

using ErrorCode = boost::beast::error_code;

template<bool isRequest>
using Parser = http::parser<isRequest, http::string_body>;

template<bool isRequest>
using Message = http::message<isRequest, http::string_body>;

constexpr auto lineEnd = std::string_view("\r\n");
constexpr auto headEnd = std::string_view("\r\n\r\n");

// Beast doesn't limit a chunk's size line or the trailer fields.
constexpr auto maximumChunkHead = std::size_t { 8 } * 1024;

/** Bytes of chunk size lines and trailer fields allowed per byte of the body, in addition to maximumChunkHead. */
constexpr auto maximumFramingPerByte = std::size_t { 8 };

/** Informational responses that are skipped before the final one. */
constexpr auto maximumInformational = 16;

constexpr auto responseStart = std::string_view("HTTP/1.");

constexpr auto http11 = 11U;
constexpr auto firstStatus = 100;
constexpr auto switchingProtocolsStatus = 101;
constexpr auto firstFinalStatus = 200;
constexpr auto noContentStatus = 204;
constexpr auto notModifiedStatus = 304;
constexpr auto lastStatus = 599;

auto toMessageStatus(TransferStatus status) -> MessageStatus
{
    switch (status) {
    case TransferStatus::Done:
        return MessageStatus::Complete;
    case TransferStatus::Closed:
        return MessageStatus::Truncated;
    case TransferStatus::Failed:
        return MessageStatus::Failed;
    case TransferStatus::TimedOut:
        return MessageStatus::TimedOut;
    case TransferStatus::Abandoned:
        return MessageStatus::Abandoned;
    }
    return MessageStatus::Failed;
}

auto textOf(boost::beast::string_view text) -> std::string
{
    return { text.data(), text.size() };
}

// Beast unfolds header lines, and other parsers don't.
auto hasFoldedLine(std::string_view head) -> bool
{
    return head.find("\r\n ") != std::string_view::npos || head.find("\r\n\t") != std::string_view::npos;
}

// Beast also accepts a repeated or list-valued Content-Length, codings before "chunked", and a final coding other than "chunked".
auto hasStrictFraming(const HeaderFields &headers) -> bool
{
    const auto lengths = headerCount(headers, "content-length");
    const auto codings = headerCount(headers, "transfer-encoding");
    if (lengths + codings > 1) {
        return false;
    }
    if (codings == 1) {
        return equalIgnoringCase(headerValue(headers, "transfer-encoding"), "chunked");
    }
    const auto length = headerValue(headers, "content-length");
    return std::all_of(length.begin(), length.end(), [](char character) {
        return character >= '0' && character <= '9';
    });
}

auto fieldsOf(const http::fields &fields) -> HeaderFields
{
    auto headers = HeaderFields {};
    for (const auto &field : fields) {
        headers.push_back({ textOf(field.name_string()), textOf(field.value()) });
    }
    return headers;
}

// Whether the bytes can start a message. Others are rejected at once instead of when a limit or the deadline is reached.
template<bool isRequest>
auto mayStartMessage(std::string_view bytes) -> bool
{
    const auto size = std::min(bytes.size(), responseStart.size());
    return isRequest || bytes.substr(0, 1) == "\r" || bytes.substr(0, size) == responseStart.substr(0, size);
}

template<bool isRequest>
auto awaitHead(TcpConnection &connection, std::size_t limit, absl::Time deadline) -> MessageStatus
{
    auto emptyLineBytes = std::size_t { 0 };
    while (!skipToCompleteHead(connection, emptyLineBytes)) {
        if (!mayStartMessage<isRequest>(connection.buffered())) {
            return MessageStatus::Malformed;
        }
        if (emptyLineBytes + connection.buffered().size() > limit) {
            return MessageStatus::HeadTooLarge;
        }
        const auto status = connection.fill(deadline);
        if (status == TransferStatus::Closed && connection.buffered().empty()) {
            return MessageStatus::Closed;
        }
        if (status != TransferStatus::Done) {
            return toMessageStatus(status);
        }
    }
    return MessageStatus::Complete;
}

// Waits for the complete head before parsing it, so that none of the head is consumed when the wait ends early.
template<bool isRequest>
auto readHeadOf(TcpConnection &connection, Parser<isRequest> &parser, std::size_t limit, absl::Time deadline, HeaderFields &headers) -> MessageStatus
{
    const auto status = awaitHead<isRequest>(connection, limit, deadline);
    if (status != MessageStatus::Complete) {
        return status;
    }
    const auto size = connection.buffered().find(headEnd) + headEnd.size();
    if (size > limit + headEnd.size()) {
        return MessageStatus::HeadTooLarge;
    }
    const auto head = connection.buffered().substr(0, size);
    const auto isFolded = hasFoldedLine(head);
    auto error = ErrorCode {};
    parser.header_limit(static_cast<std::uint32_t>(size));
    // The body limit is set in readBodyOf, since it may depend on the head.
    parser.body_limit(boost::none);
    parser.put(boost::asio::buffer(head.data(), head.size()), error);
    connection.consume(size);
    if (error || isFolded || !parser.is_header_done()) {
        return MessageStatus::Malformed;
    }
    headers = fieldsOf(parser.get());
    return hasStrictFraming(headers) ? MessageStatus::Complete : MessageStatus::Malformed;
}

template<bool isRequest>
auto readBodyOf(TcpConnection &connection, Parser<isRequest> &parser, std::size_t limit, absl::Time deadline, ByteBudget *budget = nullptr) -> MessageStatus
{
    auto reservation = ByteReservation(budget);
    parser.body_limit(limit);
    parser.eager(true);
    auto totalParsed = std::size_t { 0 };
    while (!parser.is_done()) {
        if (connection.buffered().empty()) {
            const auto status = connection.fill(deadline);
            if (status != TransferStatus::Done) {
                return toMessageStatus(status);
            }
        }
        const auto bytes = connection.buffered();
        auto error = ErrorCode {};
        const auto bytesParsed = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        connection.consume(bytesParsed);
        if (error == http::error::body_limit) {
            return MessageStatus::BodyTooLarge;
        }
        totalParsed += bytesParsed;
        const auto bodySize = parser.get().body().size();
        if (!reservation.growTo(bodySize)) {
            return MessageStatus::BodyTooLarge;
        }
        if (totalParsed - bodySize > maximumChunkHead + maximumFramingPerByte * bodySize) {
            return MessageStatus::Malformed;
        }
        if (error && error != http::error::need_more) {
            return MessageStatus::Malformed;
        }
        if (error && connection.buffered().size() > maximumChunkHead) {
            return MessageStatus::Malformed;
        }
        // The parser leaves an incomplete element in the buffer until more bytes arrive.
        if (error && !connection.buffered().empty()) {
            const auto status = connection.fill(deadline);
            if (status != TransferStatus::Done) {
                return toMessageStatus(status);
            }
        }
    }
    return MessageStatus::Complete;
}

// Reads a body that is delimited by the orderly close of the connection; a reset is a failure.
auto readUntilEnd(TcpConnection &connection, const ResponseLimits &limits, absl::Time deadline, std::string &body) -> MessageStatus
{
    auto reservation = ByteReservation(limits.budget_);
    while (true) {
        body.append(connection.buffered());
        connection.consume(connection.buffered().size());
        if (body.size() > limits.body_ || !reservation.growTo(body.size())) {
            return MessageStatus::BodyTooLarge;
        }
        const auto status = connection.fill(deadline);
        if (status == TransferStatus::Closed) {
            return MessageStatus::Complete;
        }
        if (status != TransferStatus::Done) {
            return toMessageStatus(status);
        }
    }
}

auto readOneResponse(TcpConnection &connection, const std::string &method, ResponseLimits limits, absl::Time deadline, IncomingResponse &response)
    -> MessageStatus
{
    auto parser = Parser<false> {};
    parser.skip(method == "HEAD");
    response = {};
    auto &httpResponse = response.httpResponse_;
    const auto status = readHeadOf(connection, parser, limits.head_, deadline, httpResponse.headers_);
    if (status != MessageStatus::Complete) {
        return status;
    }
    httpResponse.status_ = static_cast<int>(parser.get().result_int());
    if (httpResponse.status_ < firstStatus || httpResponse.status_ > lastStatus || httpResponse.status_ == switchingProtocolsStatus) {
        return MessageStatus::Malformed;
    }
    response.isBodyless_ = method == "HEAD" || httpResponse.status_ == noContentStatus || httpResponse.status_ == notModifiedStatus;
    response.closesConnection_ = !parser.keep_alive();
    if (parser.need_eof()) {
        return limits.acceptsUndelimited_ ? readUntilEnd(connection, limits, deadline, httpResponse.body_) : MessageStatus::Undelimited;
    }
    if (!response.isBodyless_ && parser.content_length().value_or(0) > limits.body_) {
        return MessageStatus::BodyTooLarge;
    }
    const auto bodyStatus = readBodyOf(connection, parser, limits.body_, deadline, limits.budget_);
    httpResponse.body_ = std::move(parser.get().body());
    return bodyStatus;
}

template<bool isRequest>
auto serializeMessage(Message<isRequest> &message, const HeaderFields &headers) -> std::string
{
    for (const auto &header : headers) {
        message.insert(header.name_, header.value_);
    }
    auto serializer = http::serializer<isRequest, http::string_body>(message);
    auto text = std::string {};
    auto error = ErrorCode {};
    while (!serializer.is_done() && !error) {
        serializer.next(error, [&](ErrorCode &, const auto &buffers) {
            for (const auto buffer : boost::beast::buffers_range_ref(buffers)) {
                text.append(static_cast<const char *>(buffer.data()), buffer.size());
            }
            serializer.consume(boost::beast::buffer_bytes(buffers));
        });
    }
    return text;
}

}

auto skipToCompleteHead(TcpConnection &connection, std::size_t &emptyLineBytes) -> bool
{
    while (connection.buffered().substr(0, lineEnd.size()) == lineEnd) {
        connection.consume(lineEnd.size());
        emptyLineBytes += lineEnd.size();
    }
    return connection.buffered().find(headEnd) != std::string_view::npos;
}

RequestReader::RequestReader(TcpConnection &connection)
    : connection_(&connection)
{
}

auto RequestReader::readHead(std::size_t limit, absl::Time deadline) -> MessageStatus
{
    const auto status = readHeadOf(*connection_, parser_, limit, deadline, request_.headers_);
    if (status != MessageStatus::Complete) {
        return status;
    }
    const auto &message = parser_.get();
    request_.method_ = textOf(message.method_string());
    request_.target_ = textOf(message.target());
    closesConnection_ = !parser_.keep_alive();
    // Beast accepts a fragment in a target.
    return request_.target_.find('#') == std::string::npos ? MessageStatus::Complete : MessageStatus::Malformed;
}

auto RequestReader::readBody(std::size_t limit, absl::Time deadline) -> MessageStatus
{
    if (parser_.content_length().value_or(0) > limit) {
        return MessageStatus::BodyTooLarge;
    }
    if (hasBody() && equalIgnoringCase(headerValue(request_.headers_, "expect"), "100-continue")) {
        const auto writeStatus = connection_->write("HTTP/1.1 100 Continue\r\n\r\n", deadline);
        if (writeStatus != TransferStatus::Done) {
            return toMessageStatus(writeStatus);
        }
    }
    const auto status = readBodyOf(*connection_, parser_, limit, deadline);
    request_.body_ = std::move(parser_.get().body());
    return status;
}

auto RequestReader::request() const -> const RequestContent &
{
    return request_;
}

auto RequestReader::hasBody() const -> bool
{
    return parser_.chunked() || parser_.content_length().value_or(0) > 0;
}

auto RequestReader::closesConnection() const -> bool
{
    return closesConnection_;
}

auto readResponse(TcpConnection &connection, const std::string &method, ResponseLimits limits, absl::Time deadline, IncomingResponse &response) -> MessageStatus
{
    for (auto informational = 0; informational <= maximumInformational; ++informational) {
        const auto status = readOneResponse(connection, method, limits, deadline, response);
        if (status != MessageStatus::Complete || response.httpResponse_.status_ >= firstFinalStatus) {
            return status;
        }
    }
    return MessageStatus::Malformed;
}

auto serializeRequest(const RequestContent &request) -> std::string
{
    auto message = Message<true> {};
    message.version(http11);
    message.method_string(request.method_);
    message.target(request.target_);
    message.body() = request.body_;
    return serializeMessage(message, request.headers_);
}

auto serializeResponse(const HttpResponse &httpResponse) -> std::string
{
    auto message = Message<false> {};
    message.version(http11);
    message.result(static_cast<unsigned>(httpResponse.status_));
    message.body() = httpResponse.body_;
    return serializeMessage(message, httpResponse.headers_);
}

}
