#include "connection/httpclient.h"

#include "connection/httpmessage.h"
#include "core/clock.h"

#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

auto failure(HttpCallStatus status, std::string detail) -> HttpCallResult
{
    return { status, {}, std::move(detail) };
}

auto failureOf(MessageStatus status) -> HttpCallResult
{
    switch (status) {
    case MessageStatus::BodyTooLarge:
        return failure(HttpCallStatus::TooLarge, "the body of the response is too large");
    case MessageStatus::HeadTooLarge:
        return failure(HttpCallStatus::Failed, "the head of the response is too large");
    case MessageStatus::TimedOut:
        return failure(HttpCallStatus::Failed, "the response was not complete in time");
    case MessageStatus::Closed:
    case MessageStatus::Truncated:
        return failure(HttpCallStatus::Failed, "the connection was closed within the response");
    case MessageStatus::Failed:
        return failure(HttpCallStatus::Failed, "the connection was reset within the response");
    default:
        return failure(HttpCallStatus::Failed, "malformed response");
    }
}

auto describeNoResponse(TransferStatus status) -> std::string
{
    switch (status) {
    case TransferStatus::Closed:
        return "the connection was closed without a response";
    case TransferStatus::Failed:
        return "the connection was reset without a response";
    default:
        return "no response in time";
    }
}

}

HttpClient::HttpClient(std::string address, HttpCallLimits limits)
    : address_(std::move(address))
    , limits_(limits)
{
}

auto HttpClient::takeConnection(absl::Duration connectTime) -> Result<TcpConnection>
{
    auto idle = std::exchange(idle_, std::nullopt);
    if (idle && idle->isOpenAndIdle()) {
        return std::move(*idle);
    }
    return TcpConnection::connect(address_, monotonicNow() + connectTime);
}

auto HttpClient::call(RequestContent request, const HttpCallTimes &times) -> HttpCallResult
{
    auto connected = attempt([&] {
        return takeConnection(times.connect_);
    });
    if (const auto *error = std::get_if<Error>(&connected)) {
        return failure(HttpCallStatus::NotSent, error->message_);
    }
    auto connection = std::get<TcpConnection>(std::move(connected));
    request.headers_.push_back({ "Host", address_ });
    if (request.method_ != "GET") {
        request.headers_.push_back({ "Content-Length", std::to_string(request.body_.size()) });
    }
    const auto bytesWrittenBefore = connection.bytesWritten();
    const auto written = writeMessage(connection, serializeHead(request), request.body_, monotonicNow() + times.firstByte_);
    if (connection.bytesWritten() == bytesWrittenBefore) {
        return failure(HttpCallStatus::NotSent, "no byte could be written to the connection");
    }
    if (written != TransferStatus::Done) {
        return failure(HttpCallStatus::Failed, "the request could not be written");
    }
    return receive(std::move(connection), request.method_, times);
}

auto HttpClient::receive(TcpConnection connection, const std::string &method, const HttpCallTimes &times) -> HttpCallResult
{
    const auto firstByte = connection.fill(monotonicNow() + times.firstByte_);
    if (firstByte != TransferStatus::Done) {
        return failure(HttpCallStatus::Failed, describeNoResponse(firstByte));
    }
    // The end of the connection may delimit the body.
    const auto limits = ResponseLimits { limits_.head_, limits_.body_, true };
    auto response = IncomingResponse {};
    const auto status = readResponse(connection, method, limits, monotonicNow() + times.response_, response);
    if (status != MessageStatus::Complete) {
        return failureOf(status);
    }
    if (!response.closesConnection_) {
        connection.releaseBuffer();
        idle_ = std::move(connection);
    }
    return { HttpCallStatus::Complete, std::move(response.httpResponse_), {} };
}

}
