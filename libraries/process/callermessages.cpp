#include "process/callermessages.h"

#include "connection/httpmessage.h"
#include "core/clock.h"

#include <fmt/format.h>

#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto noContentStatus = 204;
constexpr auto notModifiedStatus = 304;

// A chunked body ends with an empty chunk.
auto writePart(TcpConnection &connection, const BodyPart &part, bool isChunked, absl::Time deadline) -> TransferStatus
{
    if (!isChunked) {
        return writeMessage(connection, "", part.body_, deadline);
    }
    auto status = TransferStatus::Done;
    if (!part.body_.empty()) {
        status = writeMessage(connection, fmt::format("{:x}\r\n", part.body_.size()), part.body_, deadline);
    }
    auto end = std::string(part.body_.empty() ? "" : "\r\n");
    if (part.end_ == BodyPartEnd::Complete) {
        end += "0\r\n\r\n";
    }
    return status == TransferStatus::Done ? connection.write(end, deadline) : status;
}

}

auto formatResponse(HttpResponse source, const std::string &method, bool close, std::optional<ResponseRest> rest) -> OutgoingResponse
{
    auto response = HttpResponse { source.status_, {}, "" };
    auto hasLength = false;
    const auto bodyless = source.status_ == noContentStatus || source.status_ == notModifiedStatus;
    const auto isHead = method == "HEAD";
    for (auto &header : source.headers_) {
        const auto isLength = equalIgnoringCase(header.name_, "content-length");
        if (isLength && !isHead && source.status_ != notModifiedStatus) {
            continue;
        }
        hasLength = hasLength || isLength;
        response.headers_.push_back(std::move(header));
    }
    if (rest && !rest->length_) {
        response.headers_.push_back({ "Transfer-Encoding", "chunked" });
    } else if (rest) {
        response.headers_.push_back({ "Content-Length", std::to_string(*rest->length_) });
    } else if (!hasLength && !bodyless && !(isHead && source.body_.empty())) {
        // The response to a HEAD request describes a body that isn't sent, so Content-Length is set only if it is known.
        response.headers_.push_back({ "Content-Length", std::to_string(source.body_.size()) });
    }
    if (close) {
        response.headers_.push_back({ "Connection", "close" });
    }
    return { serializeHead(response), bodyless || isHead ? MessageBody() : std::move(source.body_), std::move(rest) };
}

auto writeResponse(TcpConnection &connection, OutgoingResponse response, absl::Duration timeout) -> TransferStatus
{
    if (!response.rest_) {
        return writeMessage(connection, std::move(response.head_), response.body_, monotonicNow() + timeout);
    }
    const auto isChunked = !response.rest_->length_.has_value();
    auto status = connection.write(response.head_, monotonicNow() + timeout);
    auto part = BodyPart { std::move(response.body_), BodyPartEnd::More };
    while (status == TransferStatus::Done) {
        status = writePart(connection, part, isChunked, monotonicNow() + timeout);
        if (part.end_ == BodyPartEnd::Complete) {
            return status;
        }
        part = BodyPart {};
        if (status == TransferStatus::Done) {
            part = response.rest_->next_();
            status = part.end_ == BodyPartEnd::Cut ? TransferStatus::Failed : TransferStatus::Done;
        }
    }
    connection.abort();
    return status;
}

auto toHttpResponse(const httplib::Response &response) -> HttpResponse
{
    auto httpResponse = HttpResponse { response.status, {}, response.body };
    for (const auto &[name, value] : response.headers) {
        httpResponse.headers_.push_back({ name, value });
    }
    return httpResponse;
}

auto requestOf(const RequestContent &content, const std::string &remoteAddress) -> httplib::Request
{
    auto request = httplib::Request {};
    request.method = content.method_;
    request.target = content.target_;
    request.path = percentDecoded(pathOfTarget(content.target_));
    request.remote_addr = remoteAddress;
    for (const auto &header : content.headers_) {
        request.headers.emplace(header.name_, header.value_);
    }
    return request;
}

}
