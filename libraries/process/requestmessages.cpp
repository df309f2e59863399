#include "process/requestmessages.h"

#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto retryAfterSeconds = "1";

auto isOutcomeHeader(const std::string &name) -> bool
{
    return equalIgnoringCase(name, outcomeHeader) || equalIgnoringCase(name, reasonHeader);
}

auto toMessage(HeaderField header) -> peer::Header
{
    auto field = peer::Header {};
    field.name = std::move(header.name_);
    field.value = std::move(header.value_);
    return field;
}

}

auto contentOf(const httplib::Request &request) -> RequestContent
{
    auto content = RequestContent { request.method, request.target, {}, request.body };
    for (const auto &[name, value] : request.headers) {
        content.headers_.push_back({ name, value });
    }
    return content;
}

auto contentOf(const peer::ForwardedRequest &request) -> RequestContent
{
    auto content = RequestContent { request.method, request.target, {}, request.body };
    for (const auto &header : request.headers) {
        content.headers_.push_back({ header.name, header.value });
    }
    return content;
}

auto responseOf(const peer::ForwardedAnswer &forwarded) -> HttpResponse
{
    auto response = HttpResponse { forwarded.status, {}, forwarded.body };
    for (const auto &header : forwarded.headers) {
        response.headers_.push_back({ header.name, header.value });
    }
    return response;
}

auto toForwardedRequest(const RequestContent &content, const std::string &run, absl::Duration remaining) -> peer::ForwardedRequest
{
    auto request = peer::ForwardedRequest {};
    request.run = run;
    request.method = content.method_;
    request.target = content.target_;
    request.body = content.body_.text();
    request.timeoutMicros = absl::ToInt64Microseconds(remaining);
    for (const auto &header : content.headers_) {
        request.headers.push_back(toMessage(header));
    }
    return request;
}

auto toForwardedAnswer(HttpResponse response) -> peer::ForwardedAnswer
{
    auto forwarded = peer::ForwardedAnswer {};
    forwarded.status = response.status_;
    forwarded.body = response.body_.text();
    for (auto &header : response.headers_) {
        forwarded.headers.push_back(toMessage(std::move(header)));
    }
    return forwarded;
}

auto toCrashReport(absl::Time now, const CrashRecord &record) -> peer::CrashReport
{
    auto report = peer::CrashReport {};
    report.fingerprint = record.fingerprint_;
    report.backends = record.backends_;
    report.ageMicros = absl::ToInt64Microseconds(now - record.lastCrashAt_);
    return report;
}

auto crashRecordOf(absl::Time now, const peer::CrashReport &report) -> CrashRecord
{
    return { report.fingerprint, report.backends, now - absl::Microseconds(report.ageMicros) };
}

auto responseForCaller(HttpResponse response, const std::string &requestId, bool isForwarded) -> HttpResponse
{
    if (!isForwarded) {
        std::erase_if(response.headers_, [](const HeaderField &header) {
            return isOutcomeHeader(header.name_);
        });
        response.headers_.push_back({ outcomeHeader, std::string(outcomeName(Outcome::Ran)) });
    }
    if (headerCount(response.headers_, requestIdHeader) == 0) {
        response.headers_.push_back({ requestIdHeader, requestId });
    }
    return response;
}

auto refusalResponse(Refusal refusal, Outcome outcome, const std::string &requestId) -> HttpResponse
{
    const auto &description = describeRefusal(refusal);
    auto response = HttpResponse { description.status_, {}, refusalBody(refusal, outcome, requestId) };
    response.headers_.push_back({ "Content-Type", "application/json" });
    response.headers_.push_back({ outcomeHeader, std::string(outcomeName(outcome)) });
    response.headers_.push_back({ reasonHeader, std::string(description.name_) });
    response.headers_.push_back({ requestIdHeader, requestId });
    if (refusal == Refusal::RateExceeded) {
        response.headers_.push_back({ "Retry-After", retryAfterSeconds });
    }
    return response;
}

auto setResponse(httplib::Response &response, HttpResponse httpResponse) -> void
{
    response.status = httpResponse.status_;
    response.headers.clear();
    for (auto &header : httpResponse.headers_) {
        response.headers.emplace(std::move(header.name_), std::move(header.value_));
    }
    response.body = httpResponse.body_.text();
}

auto setRefusal(httplib::Response &response, Refusal refusal, Outcome outcome, const std::string &requestId) -> void
{
    setResponse(response, refusalResponse(refusal, outcome, requestId));
}

}
