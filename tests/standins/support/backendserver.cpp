#include "support/backendserver.h"

#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <thread>
#include <tuple>

namespace standin
{

namespace
{

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr auto statusOk = 200;
constexpr auto statusInternalError = 500;
constexpr auto statusUnavailable = 503;
constexpr auto statusGatewayTimeout = 504;
constexpr auto statusNotFound = 404;
constexpr auto crashExitCode = 134;
/** Time for which a server that sends no response keeps the connection open. */
constexpr auto maximumUnresponsiveTime = milliseconds { 60000 };
constexpr auto maximumResponseBytes = std::int64_t { 64 } * 1024 * 1024;

auto makeResponse(int status, const Json &body) -> HttpResponse
{
    return jsonResponse(status, body.dump(-1, ' ', false, Json::error_handler_t::replace));
}

auto parseBody(const std::string &text) -> Json
{
    auto body = text.empty() ? Json::object() : Json::parse(text, nullptr, false);
    return body.is_object() ? body : Json::object();
}

auto parseNumber(const std::string &text) -> std::optional<std::int64_t>
{
    auto value = std::int64_t { 0 };
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc {} ? std::optional(value) : std::nullopt;
}

/** Waits until a point in time or until the peer closes the connection; returns whether the peer closed it. */
auto waitUnlessClosed(int socket, std::chrono::steady_clock::time_point end) -> bool
{
    while (true) {
        const auto left = std::chrono::ceil<milliseconds>(end - std::chrono::steady_clock::now());
        if (left.count() <= 0) {
            return isPeerClosed(socket);
        }
        auto descriptor = pollfd { socket, POLLRDHUP, 0 };
        if (poll(&descriptor, 1, static_cast<int>(left.count())) > 0) {
            return true;
        }
    }
}

}

BackendServer::BackendServer(BackendSettings settings)
    : settings_(std::move(settings))
    , server_(
          [this](const HttpRequest &request) {
              return handle(request);
          },
          settings_.maximumConnections_,
          [this](const std::string &bytes) {
              auto request = HttpRequest {};
              request.raw_ = bytes;
              endRecord(beginRecord(request, "incomplete"), "incomplete");
          })
{
    if (!settings_.executionsFile_.empty()) {
        executionsDescriptor_ = open(settings_.executionsFile_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    }
}

BackendServer::~BackendServer()
{
    server_.stop();
    if (executionsDescriptor_ >= 0) {
        close(executionsDescriptor_);
    }
}

auto BackendServer::start(const std::string &address) -> bool
{
    const auto canRecord = settings_.executionsFile_.empty() || executionsDescriptor_ >= 0;
    return canRecord && server_.start(address);
}

auto BackendServer::address() const -> const std::string &
{
    return server_.address();
}

auto BackendServer::handle(const HttpRequest &request) -> HttpResponse
{
    if (request.path_.compare(0, 9, "/control/") == 0) {
        return handleControl(request);
    }
    if (request.path_ == "/health" || request.path_ == "/load") {
        endRecord(beginRecord(request, "report"), "report");
        return request.path_ == "/health" ? healthResponse(request) : loadResponse();
    }
    return execute(request);
}

auto BackendServer::execute(const HttpRequest &request) -> HttpResponse
{
    const auto recordNumber = beginRecord(request, "running");
    if (!acquireSlot()) {
        endRecord(recordNumber, "shed");
        auto response = makeResponse(statusUnavailable, Json { { "error", "all slots are in use" }, { "backend", settings_.name_ } });
        response.headers_.emplace_back("X-Backend-Shed", "1");
        return response;
    }
    const auto fault = faultFor(request);
    recordExecution(headerValue(request, "x-test-id"));
    auto response = serve(request, fault, recordNumber);
    if (fault.mode_ == "late") {
        std::this_thread::sleep_for(milliseconds(fault.value_));
    }
    return response;
}

auto BackendServer::acquireSlot() -> bool
{
    const auto lock = std::lock_guard(mutex_);
    // A shed request counts towards the highest concurrency, because its sender exceeded the slots.
    highestConcurrency_ = std::max(highestConcurrency_, inFlight_ + 1);
    if (inFlight_ >= settings_.slots_) {
        return false;
    }
    ++inFlight_;
    return true;
}

auto BackendServer::serve(const HttpRequest &request, const BackendFault &fault, std::int64_t recordNumber) -> HttpResponse
{
    if (fault.mode_ == "crash") {
        _exit(crashExitCode);
    }
    const auto begin = Clock::now();
    const auto serviceEnd = begin + (fault.mode_ == "never" ? maximumUnresponsiveTime : serviceTime(request));
    const auto timeout = parseNumber(headerValue(request, "x-request-timeout-ms"));
    const auto deadline = timeout ? begin + milliseconds(*timeout) : Clock::time_point::max();
    const auto isCancelled = waitUnlessClosed(request.socket_, std::min(serviceEnd, deadline));
    const auto outcome = std::string { isCancelled ? "cancelled" : (deadline < serviceEnd ? "stopped" : "done") };
    endRecord(recordNumber, outcome);
    {
        const auto lock = std::lock_guard(mutex_);
        --inFlight_;
    }
    if (isCancelled || fault.mode_ == "never") {
        auto response = HttpResponse {};
        response.isDropped_ = true;
        return response;
    }
    if (outcome == "stopped") {
        return makeResponse(statusGatewayTimeout, Json { { "error", "the deadline has passed" }, { "backend", settings_.name_ } });
    }
    const auto status = fault.mode_ == "error" ? statusInternalError : statusOk;
    auto body = Json { { "backend", settings_.name_ },
                       { "id", headerValue(request, "x-test-id") },
                       { "method", request.method_ },
                       { "path", request.path_ },
                       { "body_bytes", request.body_.size() } };
    const auto fillBytes = std::clamp<std::int64_t>(parseNumber(headerValue(request, "x-test-answer-bytes")).value_or(0), 0, maximumResponseBytes);
    if (fillBytes > 0) {
        body["fill"] = std::string(static_cast<std::size_t>(fillBytes), 'f');
    }
    auto response = makeResponse(status, body);
    response.headers_.emplace_back("X-Backend", settings_.name_);
    response.omitsContentLength_ = fault.mode_ == "no-length";
    if (fault.mode_ == "cut") {
        response.truncatedBodyBytes_ = static_cast<std::size_t>(fault.value_);
    }
    const auto lock = std::lock_guard(mutex_);
    response.closesConnection_ = health_ == "closing";
    return response;
}

auto BackendServer::healthResponse(const HttpRequest &request) -> HttpResponse
{
    {
        const auto lock = std::lock_guard(mutex_);
        if (health_ != "silent") {
            return healthReport();
        }
    }
    std::ignore = waitUnlessClosed(request.socket_, Clock::now() + maximumUnresponsiveTime);
    auto response = HttpResponse {};
    response.isDropped_ = true;
    return response;
}

// The caller must hold the lock.
auto BackendServer::healthReport() const -> HttpResponse
{
    if (health_ == "lying") {
        return makeResponse(statusOk, Json { { "status", "ok" } });
    }
    if (fault_.mode_ == "error" && faultCount_ != 0) {
        return makeResponse(statusUnavailable, Json { { "status", "failing" } });
    }
    auto response = makeResponse(statusOk, Json { { "status", health_ == "draining" ? "draining" : "ok" } });
    response.closesConnection_ = health_ == "closing";
    return response;
}

auto BackendServer::loadResponse() -> HttpResponse
{
    const auto lock = std::lock_guard(mutex_);
    const auto reported = health_ == "lying" ? 0 : inFlight_;
    const auto utilisation = settings_.slots_ > 0 ? static_cast<double>(reported) / settings_.slots_ : 0.0;
    return makeResponse(statusOk, Json { { "in_flight", reported }, { "slots", settings_.slots_ }, { "utilisation", utilisation } });
}

auto BackendServer::handleControl(const HttpRequest &request) -> HttpResponse
{
    const auto name = request.path_.substr(9);
    if (name == "record") {
        return recordResponse();
    }
    if (name == "executions") {
        return executionsResponse();
    }
    if (name == "counts") {
        return countsResponse();
    }
    const auto body = parseBody(request.body_);
    const auto lock = std::lock_guard(mutex_);
    if (name == "mode") {
        fault_ = BackendFault { body.value("mode", "none"), body.value("value", std::int64_t { 0 }) };
        faultCount_ = body.value("count", std::int64_t { -1 });
        return makeResponse(statusOk, Json::object());
    }
    if (name == "health") {
        health_ = body.value("state", "ok");
        return makeResponse(statusOk, Json::object());
    }
    if (name == "cold") {
        slowStartBeganAt_ = Clock::now();
        return makeResponse(statusOk, Json::object());
    }
    return makeResponse(statusNotFound, Json { { "error", "unknown control call" } });
}

auto BackendServer::recordResponse() -> HttpResponse
{
    const auto lock = std::lock_guard(mutex_);
    const auto millisecondsOf = [this](Clock::time_point time) {
        return std::chrono::duration<double, std::milli>(time - startedAt_).count();
    };
    auto requests = Json::array();
    for (const auto &entry : record_) {
        requests.push_back(Json { { "raw", entry.raw_ },
                                  { "id", entry.testId_ },
                                  { "idempotency_key", entry.idempotencyKey_ },
                                  { "organisation", entry.organisation_ },
                                  { "start_ms", millisecondsOf(entry.start_) },
                                  { "end_ms", entry.end_ ? Json(millisecondsOf(*entry.end_)) : Json() },
                                  { "outcome", entry.outcome_ } });
    }
    return makeResponse(statusOk, Json { { "requests", requests }, { "discarded", firstRecord_ } });
}

auto BackendServer::executionsResponse() -> HttpResponse
{
    const auto lock = std::lock_guard(mutex_);
    return makeResponse(statusOk, Json(executions_));
}

auto BackendServer::countsResponse() -> HttpResponse
{
    const auto lock = std::lock_guard(mutex_);
    auto body = Json { { "in_flight", inFlight_ }, { "highest_concurrency", highestConcurrency_ }, { "slots", settings_.slots_ } };
    for (const auto *const outcome : { "done", "shed", "stopped", "cancelled", "report", "incomplete" }) {
        body[outcome] = outcomes_[outcome];
    }
    return makeResponse(statusOk, body);
}

auto BackendServer::faultFor(const HttpRequest &request) -> BackendFault
{
    if (!headerValue(request, "x-test-crash").empty()) {
        return BackendFault { "crash", 0 };
    }
    const auto mode = headerValue(request, "x-test-mode");
    if (!mode.empty()) {
        const auto equals = std::min(mode.find('='), mode.size());
        const auto value = equals < mode.size() ? parseNumber(mode.substr(equals + 1)) : std::nullopt;
        return BackendFault { mode.substr(0, equals), value.value_or(0) };
    }
    const auto lock = std::lock_guard(mutex_);
    if (faultCount_ == 0) {
        return BackendFault {};
    }
    faultCount_ = faultCount_ > 0 ? faultCount_ - 1 : faultCount_;
    return fault_;
}

auto BackendServer::serviceTime(const HttpRequest &request) -> milliseconds
{
    const auto base = milliseconds(parseNumber(headerValue(request, "x-test-service-ms")).value_or(settings_.serviceTime_.count()));
    if (settings_.slowStartDuration_.count() <= 0) {
        return base;
    }
    const auto lock = std::lock_guard(mutex_);
    const auto progress = std::chrono::duration<double>(Clock::now() - slowStartBeganAt_) / std::chrono::duration<double>(settings_.slowStartDuration_);
    const auto factor = settings_.slowStartFactor_ + (1 - settings_.slowStartFactor_) * std::min(1.0, progress);
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(base.count()) * factor));
}

auto BackendServer::beginRecord(const HttpRequest &request, const std::string &outcome) -> std::int64_t
{
    const auto lock = std::lock_guard(mutex_);
    auto entry = RecordedRequest {};
    entry.raw_ = request.raw_;
    entry.testId_ = headerValue(request, "x-test-id");
    entry.idempotencyKey_ = headerValue(request, "idempotency-key");
    entry.organisation_ = headerValue(request, "x-organisation");
    entry.start_ = Clock::now();
    entry.outcome_ = outcome;
    record_.push_back(std::move(entry));
    if (record_.size() > settings_.recordLimit_) {
        record_.pop_front();
        ++firstRecord_;
    }
    return firstRecord_ + static_cast<std::int64_t>(record_.size()) - 1;
}

auto BackendServer::endRecord(std::int64_t recordNumber, const std::string &outcome) -> void
{
    const auto lock = std::lock_guard(mutex_);
    ++outcomes_[outcome];
    // The request may have been discarded from the record meanwhile.
    if (recordNumber < firstRecord_) {
        return;
    }
    auto &entry = record_[static_cast<std::size_t>(recordNumber - firstRecord_)];
    entry.end_ = Clock::now();
    entry.outcome_ = outcome;
}

auto BackendServer::recordExecution(const std::string &testId) -> void
{
    const auto lock = std::lock_guard(mutex_);
    ++executions_[testId];
    if (executionsDescriptor_ >= 0) {
        const auto line = testId + "\n";
        [[maybe_unused]] const auto written = write(executionsDescriptor_, line.data(), line.size());
    }
}

}
