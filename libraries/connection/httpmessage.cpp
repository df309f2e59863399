#include "connection/httpmessage.h"

#include <absl/functional/function_ref.h>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/serializer.hpp>

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>

namespace lycheecleat
{

namespace
{

namespace http = boost::beast::http;

using ErrorCode = boost::beast::error_code;

template<bool isRequest>
using Parser = http::parser<isRequest, BudgetedBody>;

template<bool isRequest>
using HeadMessage = http::message<isRequest, http::empty_body>;

constexpr auto lineEnd = std::string_view("\r\n");
constexpr auto headEnd = std::string_view("\r\n\r\n");

// Beast doesn't limit a chunk's size line or the trailer fields.
constexpr auto maximumChunkHead = std::size_t { 8 } * 1024;

/** Bytes of chunk size lines and trailer fields allowed per byte of the body, in addition to maximumChunkHead. */
constexpr auto maximumFramingPerByte = std::size_t { 8 };

/** Part size for reading a body as a whole. */
constexpr auto wholeBody = std::numeric_limits<std::size_t>::max();

/** A body of up to this size is written together with its head. */
constexpr auto largestBodyWithHead = std::size_t { 16 } * 1024;

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

/** Receives further bytes of a message into the buffer of its connection. */
using FillFunction = absl::FunctionRef<TransferStatus()>;

auto isFramingTooLarge(const BodyProgress &progress) -> bool
{
    return progress.parsedBytes_ - progress.bodyBytes_ > maximumChunkHead + maximumFramingPerByte * progress.bodyBytes_;
}

// Can be repeated, with the same progress, after NoRoom, Partial and a status of fill other than Done.
template<bool isRequest>
auto readBodyOf(TcpConnection &connection, Parser<isRequest> &parser, std::size_t limit, std::size_t partSize, BodyProgress &progress, FillFunction fill)
    -> MessageStatus
{
    auto &body = parser.get().body();
    if (!std::exchange(progress.isLimited_, true)) {
        parser.body_limit(limit);
        parser.eager(true);
    }
    while (!parser.is_done()) {
        if (body.size() >= partSize) {
            return MessageStatus::Partial;
        }
        if (connection.buffered().empty()) {
            const auto status = fill();
            if (status != TransferStatus::Done) {
                return toMessageStatus(status);
            }
        }
        const auto bytes = connection.buffered();
        if (!body.prepare(bytes.size())) {
            return MessageStatus::NoRoom;
        }
        const auto sizeBefore = body.size();
        auto error = ErrorCode {};
        const auto bytesParsed = parser.put(boost::asio::buffer(bytes.data(), bytes.size()), error);
        connection.consume(bytesParsed);
        if (error == http::error::body_limit) {
            return MessageStatus::BodyTooLarge;
        }
        progress.parsedBytes_ += bytesParsed;
        progress.bodyBytes_ += body.size() - sizeBefore;
        const auto isMalformed = error && error != http::error::need_more;
        if (isMalformed || isFramingTooLarge(progress) || (error && connection.buffered().size() > maximumChunkHead)) {
            return MessageStatus::Malformed;
        }
        // The parser leaves an incomplete element in the buffer until more bytes arrive.
        if (error && !connection.buffered().empty()) {
            const auto status = fill();
            if (status != TransferStatus::Done) {
                return toMessageStatus(status);
            }
        }
    }
    return MessageStatus::Complete;
}

template<bool isRequest>
auto serializeHeadOf(HeadMessage<isRequest> &message, const HeaderFields &headers) -> std::string
{
    for (const auto &header : headers) {
        message.insert(header.name_, header.value_);
    }
    auto serializer = http::serializer<isRequest, http::empty_body>(message);
    auto text = std::string {};
    auto error = ErrorCode {};
    // Otherwise the end of an empty chunked body would follow the head.
    serializer.split(true);
    while (!serializer.is_header_done() && !error) {
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

RequestReader::RequestReader(TcpConnection &connection, ByteBudgetPointer budget)
    : connection_(&connection)
    , budget_(std::move(budget))
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

auto RequestReader::beginBody(std::size_t limit, absl::Time deadline) -> MessageStatus
{
    if (bodyBegun_) {
        return MessageStatus::Complete;
    }
    bodyBegun_ = true;
    if (statedLength() > limit) {
        return MessageStatus::BodyTooLarge;
    }
    if (budget_ && !budget_->hasRoomFor(statedLength())) {
        return MessageStatus::NoRoom;
    }
    parser_.get().body() = MessageBodyBuilder(budget_);
    if (hasBody() && equalIgnoringCase(headerValue(request_.headers_, "expect"), "100-continue")) {
        const auto writeStatus = connection_->write("HTTP/1.1 100 Continue\r\n\r\n", deadline);
        if (writeStatus != TransferStatus::Done) {
            return toMessageStatus(writeStatus);
        }
    }
    return MessageStatus::Complete;
}

auto RequestReader::readBodyWith(std::size_t limit, absl::Time deadline, FillFunction fill) -> MessageStatus
{
    auto status = beginBody(limit, deadline);
    if (status == MessageStatus::Complete) {
        status = readBodyOf(*connection_, parser_, limit, wholeBody, progress_, fill);
    }
    if (status == MessageStatus::Complete) {
        request_.body_ = parser_.get().body().take();
    }
    return status;
}

auto RequestReader::readBody(std::size_t limit, absl::Time deadline) -> MessageStatus
{
    return readBodyWith(limit, deadline, [&] {
        return connection_->fill(deadline);
    });
}

auto RequestReader::readAvailableBody(std::size_t limit, absl::Time deadline) -> MessageStatus
{
    return readBodyWith(limit, deadline, [&] {
        return connection_->fillAvailable();
    });
}

auto RequestReader::request() const -> const RequestContent &
{
    return request_;
}

auto RequestReader::hasBody() const -> bool
{
    return parser_.chunked() || parser_.content_length().value_or(0) > 0;
}

auto RequestReader::statedLength() const -> std::uint64_t
{
    return parser_.content_length().value_or(0);
}

auto RequestReader::bodyBytes() const -> std::size_t
{
    return parser_.get().body().size();
}

auto RequestReader::closesConnection() const -> bool
{
    return closesConnection_;
}

ResponseReader::ResponseReader(TcpConnection &connection, ResponseLimits limits)
    : connection_(&connection)
    , limits_(std::move(limits))
{
}

auto ResponseReader::readOneHead(const std::string &method, absl::Time deadline) -> MessageStatus
{
    auto &parser = parser_.emplace();
    parser.skip(method == "HEAD");
    response_ = {};
    progress_ = {};
    auto &httpResponse = response_.httpResponse_;
    const auto status = readHeadOf(*connection_, parser, limits_.head_, deadline, httpResponse.headers_);
    if (status != MessageStatus::Complete) {
        return status;
    }
    httpResponse.status_ = static_cast<int>(parser.get().result_int());
    if (httpResponse.status_ < firstStatus || httpResponse.status_ > lastStatus || httpResponse.status_ == switchingProtocolsStatus) {
        return MessageStatus::Malformed;
    }
    response_.isBodyless_ = method == "HEAD" || httpResponse.status_ == noContentStatus || httpResponse.status_ == notModifiedStatus;
    response_.closesConnection_ = !parser.keep_alive();
    parser.get().body() = MessageBodyBuilder(limits_.budget_);
    if (httpResponse.status_ >= firstFinalStatus) {
        return status;
    }
    return readBody(wholeBody, deadline);
}

auto ResponseReader::readHead(const std::string &method, absl::Time deadline) -> MessageStatus
{
    for (auto informational = 0; informational <= maximumInformational; ++informational) {
        const auto status = readOneHead(method, deadline);
        if (status != MessageStatus::Complete || response_.httpResponse_.status_ >= firstFinalStatus) {
            return status;
        }
    }
    return MessageStatus::Malformed;
}

auto ResponseReader::readBody(std::size_t partSize, absl::Time deadline) -> MessageStatus
{
    parser_->get().body().limitPieces(partSize);
    if (parser_->need_eof()) {
        return limits_.acceptsUndelimited_ ? readUntilEnd(partSize, deadline) : MessageStatus::Undelimited;
    }
    if (!response_.isBodyless_ && statedLength().value_or(0) > limits_.body_) {
        return MessageStatus::BodyTooLarge;
    }
    return readBodyOf(*connection_, *parser_, limits_.body_, partSize, progress_, [&] {
        return connection_->fill(deadline);
    });
}

// Reads a body that is delimited by the orderly close of the connection; a reset is a failure.
auto ResponseReader::readUntilEnd(std::size_t partSize, absl::Time deadline) -> MessageStatus
{
    auto &body = parser_->get().body();
    while (true) {
        const auto bytes = connection_->buffered();
        if (!body.prepare(bytes.size())) {
            return MessageStatus::NoRoom;
        }
        body.append(bytes);
        progress_.bodyBytes_ += bytes.size();
        connection_->consume(bytes.size());
        if (progress_.bodyBytes_ > limits_.body_) {
            return MessageStatus::BodyTooLarge;
        }
        if (body.size() >= partSize) {
            return MessageStatus::Partial;
        }
        const auto status = connection_->fill(deadline);
        if (status == TransferStatus::Closed) {
            return MessageStatus::Complete;
        }
        if (status != TransferStatus::Done) {
            return toMessageStatus(status);
        }
    }
}

auto ResponseReader::takeBody() -> MessageBody
{
    return parser_->get().body().take();
}

auto ResponseReader::response() -> IncomingResponse &
{
    return response_;
}

auto ResponseReader::statedLength() const -> std::optional<std::uint64_t>
{
    const auto length = parser_->content_length();
    return length ? std::optional(*length) : std::nullopt;
}

auto readResponse(TcpConnection &connection, const std::string &method, const ResponseLimits &limits, absl::Time deadline, IncomingResponse &response)
    -> MessageStatus
{
    auto reader = ResponseReader(connection, limits);
    auto status = reader.readHead(method, deadline);
    if (status == MessageStatus::Complete) {
        status = reader.readBody(wholeBody, deadline);
    }
    response = reader.response();
    response.httpResponse_.body_ = reader.takeBody();
    return status;
}

auto serializeHead(const RequestContent &request) -> std::string
{
    auto message = HeadMessage<true> {};
    message.version(http11);
    message.method_string(request.method_);
    message.target(request.target_);
    return serializeHeadOf(message, request.headers_);
}

auto serializeHead(const HttpResponse &httpResponse) -> std::string
{
    auto message = HeadMessage<false> {};
    message.version(http11);
    message.result(static_cast<unsigned>(httpResponse.status_));
    return serializeHeadOf(message, httpResponse.headers_);
}

auto writeMessage(TcpConnection &connection, std::string head, const MessageBody &body, absl::Time deadline) -> TransferStatus
{
    const auto isWrittenWithHead = body.size() <= largestBodyWithHead;
    if (isWrittenWithHead) {
        head += body.text();
    }
    auto status = connection.write(head, deadline);
    if (isWrittenWithHead) {
        return status;
    }
    for (const auto &piece : body.pieces()) {
        if (status == TransferStatus::Done) {
            status = connection.write(piece, deadline);
        }
    }
    return status;
}

}
