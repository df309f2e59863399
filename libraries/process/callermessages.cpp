#include "process/callermessages.h"

#include "connection/httpmessage.h"

#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto noContentStatus = 204;
constexpr auto notModifiedStatus = 304;

}

auto formatResponse(HttpResponse source, const std::string &method, bool close) -> std::string
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
    // The response to a HEAD request describes a body that isn't sent, so Content-Length is set only if it is known.
    if (!hasLength && !bodyless && !(isHead && source.body_.empty())) {
        response.headers_.push_back({ "Content-Length", std::to_string(source.body_.size()) });
    }
    if (close) {
        response.headers_.push_back({ "Connection", "close" });
    }
    if (!bodyless && !isHead) {
        response.body_ = std::move(source.body_);
    }
    return serializeResponse(response);
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
