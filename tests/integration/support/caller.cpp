#include "support/caller.h"

#include <httplib.h>

#include <atomic>
#include <unistd.h>

namespace integration
{

namespace
{

auto makeHeaders(const CallerRequest &request) -> httplib::Headers
{
    auto headers = httplib::Headers { { "Host", request.host_ }, { "X-Test-Id", request.testId_ } };
    if (!request.key_.empty()) {
        headers.emplace("Authorization", "Bearer " + request.key_);
    }
    if (!request.idempotencyKey_.empty()) {
        headers.emplace("Idempotency-Key", request.idempotencyKey_);
    }
    for (const auto &[name, value] : request.headers_) {
        headers.emplace(name, value);
    }
    return headers;
}

auto sendOnce(const std::string &entryHost, const CallerRequest &request) -> CallerResponse
{
    auto connection = httplib::Client("http://" + entryHost);
    connection.set_connection_timeout(request.timeout_);
    connection.set_read_timeout(request.timeout_);
    connection.set_write_timeout(request.timeout_);
    connection.set_decompress(false);
    connection.set_tcp_nodelay(true);
    connection.set_url_encode(false);
    auto message = httplib::Request {};
    message.method = request.method_;
    message.path = request.path_;
    message.headers = makeHeaders(request);
    message.body = request.body_;
    const auto begin = std::chrono::steady_clock::now();
    const auto result = connection.send(message);
    auto response = CallerResponse {};
    response.latency_ = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - begin);
    if (!result) {
        response.error_ = httplib::to_string(result.error());
        return response;
    }
    response.isComplete_ = true;
    response.status_ = result->status;
    response.outcome_ = result->get_header_value("X-Request-Outcome");
    response.reason_ = result->get_header_value("X-Refusal-Reason");
    response.body_ = result->body;
    return response;
}

}

auto makeTestId() -> std::string
{
    static auto next = std::atomic<int> { 0 };
    return "t" + std::to_string(getpid()) + "-" + std::to_string(++next);
}

auto Caller::send(const std::string &entryHost, CallerRequest request) -> CallerResponse
{
    request.testId_ = request.testId_.empty() ? makeTestId() : request.testId_;
    const auto startedAt = std::chrono::steady_clock::now();
    auto response = sendOnce(entryHost, request);
    const auto lock = std::lock_guard(mutex_);
    records_.push_back(CallRecord { entryHost, std::move(request), response, startedAt });
    return response;
}

auto Caller::records() const -> std::vector<CallRecord>
{
    const auto lock = std::lock_guard(mutex_);
    return records_;
}

}
