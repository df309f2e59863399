#include "connection/backendpool.h"

#include "connection/httpmessage.h"
#include "core/clock.h"
#include "core/digest.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

/** Responses to other requests that are skipped on a connection before the exchange fails. */
constexpr auto maximumMismatchedResponses = 3;

constexpr auto firstFinalStatus = 200;
constexpr auto lastStatus = 599;

auto methodExpectsBody(const std::string &method) -> bool
{
    return method == "POST" || method == "PUT" || method == "PATCH";
}

// Whether only this process sets a header. Backend servers trust these headers, so values from the caller are not forwarded.
auto isReservedHeader(const BackendHeaders &names, const std::string &name) -> bool
{
    return equalIgnoringCase(name, "content-length") || equalIgnoringCase(name, "expect") || equalIgnoringCase(name, names.deadline_)
        || equalIgnoringCase(name, names.organisation_) || (!names.expectedInstance_.empty() && equalIgnoringCase(name, names.expectedInstance_));
}

auto serializeOutgoing(const BackendHeaders &names, const RequestContent &request, const BackendCall &call, absl::Duration remaining) -> std::string
{
    auto outgoing = RequestContent { request.method_, request.target_, {}, request.body_ };
    auto &headers = outgoing.headers_;
    for (auto &header : withoutHopByHopHeaders(request.headers_)) {
        if (!isReservedHeader(names, header.name_)) {
            headers.push_back(std::move(header));
        }
    }
    if (!request.body_.empty() || methodExpectsBody(request.method_)) {
        headers.push_back({ "Content-Length", std::to_string(request.body_.size()) });
    }
    headers.push_back({ names.deadline_, std::to_string(std::max<std::int64_t>(1, absl::ToInt64Milliseconds(remaining))) });
    if (!call.organisation_.empty()) {
        headers.push_back({ names.organisation_, call.organisation_ });
    }
    if (!names.expectedInstance_.empty() && !call.expectedInstance_.empty()) {
        headers.push_back({ names.expectedInstance_, call.expectedInstance_ });
    }
    return serializeRequest(outgoing);
}

auto failure(ExchangeStatus status, std::string detail) -> BackendExchange
{
    auto result = BackendExchange {};
    result.status_ = status;
    result.detail_ = std::move(detail);
    return result;
}

auto failureOf(MessageStatus status) -> BackendExchange
{
    switch (status) {
    case MessageStatus::Closed:
        return failure(ExchangeStatus::ClosedWithoutResponse, "connection closed without a response");
    case MessageStatus::TimedOut:
        return failure(ExchangeStatus::TimedOut, "the response was not complete before the deadline");
    case MessageStatus::Truncated:
        return failure(ExchangeStatus::Incomplete, "connection closed within the response");
    case MessageStatus::Failed:
        return failure(ExchangeStatus::Incomplete, "connection reset within the response");
    case MessageStatus::HeadTooLarge:
    case MessageStatus::BodyTooLarge:
        return failure(ExchangeStatus::Incomplete, "response too large");
    case MessageStatus::Undelimited:
        return failure(ExchangeStatus::Incomplete, "undelimited response");
    case MessageStatus::Abandoned:
        return failure(ExchangeStatus::Abandoned, "the caller closed its connection");
    case MessageStatus::Malformed:
    case MessageStatus::Complete:
        return failure(ExchangeStatus::Incomplete, "malformed response");
    }
    return failure(ExchangeStatus::Incomplete, "malformed response");
}

// Waits for the first byte of the response; returns the failed exchange if none arrives.
auto awaitFirstByte(TcpConnection &connection, absl::Time firstByteDeadline, absl::Time deadline) -> std::optional<BackendExchange>
{
    const auto status = connection.fill(std::min(firstByteDeadline, deadline));
    switch (status) {
    case TransferStatus::Done:
        return std::nullopt;
    case TransferStatus::Closed:
        return failure(ExchangeStatus::ClosedWithoutResponse, "connection closed without a response");
    case TransferStatus::Failed:
        return failure(ExchangeStatus::ClosedWithoutResponse, "connection reset without a response");
    case TransferStatus::Abandoned:
        return failure(ExchangeStatus::Abandoned, "the caller closed its connection");
    case TransferStatus::TimedOut:
        break;
    }
    if (firstByteDeadline < deadline) {
        return failure(ExchangeStatus::Silent, "no first byte of a response in time on a reused connection");
    }
    return failure(ExchangeStatus::TimedOut, "no response in time");
}

// Asked just before the first byte is written, since the request may have waited for long, unread, for a connection or for an earlier attempt.
auto reasonNotToSend(const BackendCall &call) -> std::optional<BackendExchange>
{
    if (isPeerClosed(call.callerSocket_)) {
        return failure(ExchangeStatus::CallerLeft, "the caller closed its connection before sending");
    }
    if (call.maySend_ && !call.maySend_()) {
        return failure(ExchangeStatus::Cancelled, "it may no longer be sent");
    }
    return std::nullopt;
}

struct ReceivedResponse
{
    BackendExchange exchange_;
    bool reusable_ = false;
};

// A backend server may send a second response to an earlier request, which must not be mistaken for the response to this one. A response with several
// identifiers could be to either request.
auto isMismatched(const BackendPoolSettings &settings, const BackendCall &call, const IncomingResponse &response) -> bool
{
    if (settings.headers_.requestId_.empty() || call.requestId_.empty()) {
        return false;
    }
    const auto &headers = response.httpResponse_.headers_;
    const auto &name = settings.headers_.requestId_;
    return headerCount(headers, name) != 1 || headerValue(headers, name) != call.requestId_;
}

// What a server says in a complete head holds even if the body is cut off.
auto withHeadOf(BackendExchange exchange, const BackendPoolSettings &settings, const BackendCall &call, const IncomingResponse &response) -> BackendExchange
{
    const auto &httpResponse = response.httpResponse_;
    if (httpResponse.status_ >= firstFinalStatus && httpResponse.status_ <= lastStatus && !isMismatched(settings, call, response)) {
        exchange.response_.status_ = httpResponse.status_;
        exchange.response_.headers_ = withoutHopByHopHeaders(httpResponse.headers_);
    }
    return exchange;
}

auto receive(TcpConnection &connection, const BackendPoolSettings &settings, ByteBudget &memory, const BackendCall &call, const std::string &method)
    -> ReceivedResponse
{
    const auto limits = ResponseLimits { settings.maximumResponseHead_, settings.maximumResponseBody_, settings.acceptsUndelimited_, &memory };
    auto response = IncomingResponse {};
    for (auto mismatched = 0; mismatched <= maximumMismatchedResponses; ++mismatched) {
        const auto status = readResponse(connection, method, limits, call.deadline_, response);
        if (status != MessageStatus::Complete) {
            return { withHeadOf(failureOf(status), settings, call, response) };
        }
        if (!isMismatched(settings, call, response)) {
            break;
        }
        if (response.closesConnection_ || mismatched == maximumMismatchedResponses) {
            return { failure(ExchangeStatus::Incomplete, "response to another request") };
        }
    }
    auto received = ReceivedResponse {};
    received.exchange_.status_ = ExchangeStatus::Complete;
    received.exchange_.closing_ = response.closesConnection_;
    received.reusable_ = !response.closesConnection_;
    auto &httpResponse = received.exchange_.response_;
    httpResponse = std::move(response.httpResponse_);
    httpResponse.headers_ = withoutHopByHopHeaders(httpResponse.headers_);
    // Content-Length is set again when the body is forwarded. In a response without a body it is the length that a GET would return.
    if (!response.isBodyless_) {
        std::erase_if(httpResponse.headers_, [](const HeaderField &header) {
            return equalIgnoringCase(header.name_, "content-length");
        });
    }
    return received;
}

}

auto exchangeStatusName(ExchangeStatus status) -> std::string_view
{
    switch (status) {
    case ExchangeStatus::Complete:
        return "whole";
    case ExchangeStatus::NotSent:
        return "not-sent";
    case ExchangeStatus::Cancelled:
        return "cancelled";
    case ExchangeStatus::CallerLeft:
        return "caller-left";
    case ExchangeStatus::ClosedWithoutResponse:
        return "ended";
    case ExchangeStatus::Incomplete:
        return "incomplete";
    case ExchangeStatus::TimedOut:
        return "timed-out";
    case ExchangeStatus::Silent:
        return "silent";
    case ExchangeStatus::Abandoned:
        return "abandoned";
    }
    return "incomplete";
}

BackendPool::BackendPool(BackendPoolSettings settings)
    : settings_(std::move(settings))
    , responseMemory_(settings_.responseMemory_)
{
}

auto BackendPool::exchange(const BackendCall &call, const RequestContent &request) -> BackendExchange
{
    auto idle = call.needsNewConnection_ ? std::nullopt : takeIdle(call);
    const auto reused = idle.has_value();
    const auto idleTime = reused ? monotonicNow() - idle->idleSince_ : absl::ZeroDuration();
    if (!idle) {
        const auto generation = generationOf(call.address_);
        auto connected = attempt([&] {
            return TcpConnection::connect(call.address_, std::min(call.deadline_, monotonicNow() + settings_.connectTimeout_), call.callerSocket_);
        });
        if (const auto *error = std::get_if<Error>(&connected)) {
            return failure(isPeerClosed(call.callerSocket_) ? ExchangeStatus::CallerLeft : ExchangeStatus::NotSent, describe(*error));
        }
        idle = IdleConnection { std::get<TcpConnection>(std::move(connected)), absl::InfinitePast(), generation };
    }
    auto &connection = idle->connection_;
    const auto bytesWrittenBefore = connection.bytesWritten();
    const auto remaining = call.deadline_ - monotonicNow();
    if (remaining <= absl::ZeroDuration()) {
        return failure(ExchangeStatus::NotSent, "the deadline passed before sending");
    }
    const auto message = serializeOutgoing(settings_.headers_, request, call, remaining);
    if (auto unsent = reasonNotToSend(call)) {
        idle->idleSince_ = reused ? idle->idleSince_ : monotonicNow();
        keepIdle(call.address_, std::move(*idle));
        return std::move(*unsent);
    }
    const auto sentAt = monotonicNow();
    connection.watchCaller(call.repeatable_ ? call.callerSocket_ : -1);
    connection.watchEnd(settings_.endDescriptor_);
    const auto writeStatus = connection.write(message, call.deadline_);
    if (connection.bytesWritten() == bytesWrittenBefore) {
        return failure(ExchangeStatus::NotSent, "no byte could be written to the connection");
    }
    auto received = ReceivedResponse {};
    // A server may respond before it has read the whole request, so a failed write does not end the exchange.
    const auto firstByteDeadline = reused ? monotonicNow() + call.firstByteTimeout_ : absl::InfiniteFuture();
    const auto firstByteFailure = awaitFirstByte(connection, firstByteDeadline, call.deadline_);
    if (firstByteFailure) {
        received.exchange_ = *firstByteFailure;
    } else {
        received = receive(connection, settings_, responseMemory_, call, request.method_);
    }
    received.exchange_.sentAt_ = sentAt;
    received.exchange_.connectionReused_ = reused;
    received.exchange_.wasIdleForLong_ = idleTime > settings_.nonRepeatableIdleLimit_;
    if (received.exchange_.status_ != ExchangeStatus::Complete) {
        // A reset lets the backend server detect that it can stop processing the request.
        connection.abort();
        return std::move(received.exchange_);
    }
    if (received.reusable_ && writeStatus == TransferStatus::Done && connection.isOpenAndIdle()) {
        idle->idleSince_ = monotonicNow();
        connection.watchCaller(-1);
        keepIdle(call.address_, std::move(*idle));
    }
    return std::move(received.exchange_);
}

auto BackendPool::isAccepting(const std::string &address) const -> bool
{
    auto connected = attempt([&] {
        return TcpConnection::connect(address, monotonicNow() + settings_.connectTimeout_);
    });
    // When a process ends, the kernel may close its connections before its listening socket, which accepts connections until it is closed and then resets
    // them, though not one that is established just then. A running server that resets a connection, for example beyond its limit of connections, still
    // accepts the next one.
    if (auto *connection = std::get_if<TcpConnection>(&connected)) {
        static_cast<void>(connection->fill(monotonicNow() + settings_.acceptedOpenTime_));
    }
    return TcpConnection::isListening(address, monotonicNow() + settings_.connectTimeout_);
}

auto BackendPool::closeIdle(const std::string &address) -> void
{
    auto closed = std::vector<IdleConnection> {};
    auto &shard = shardOf(address);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &server = shard.servers_[address];
    server.generation_ += 1;
    closed.swap(server.idle_);
}

auto BackendPool::idleCount(const std::string &address) const -> std::size_t
{
    auto &shard = shardOf(address);
    const auto lock = absl::MutexLock(&shard.mutex_);
    const auto found = shard.servers_.find(address);
    return found == shard.servers_.end() ? 0 : found->second.idle_.size();
}

auto BackendPool::shardOf(const std::string &address) const -> Shard &
{
    return shards_[stableHash(address) % shardCount];
}

auto BackendPool::takeIdle(const BackendCall &call) -> std::optional<IdleConnection>
{
    const auto now = monotonicNow();
    const auto idleLimit = call.repeatable_ ? settings_.idleLimit_ : settings_.nonRepeatableIdleLimit_;
    auto &shard = shardOf(call.address_);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &idle = shard.servers_[call.address_].idle_;
    std::erase_if(idle, [&](const IdleConnection &connection) {
        return now - connection.idleSince_ > settings_.idleLimit_;
    });
    // The most recently used connection is last and the least likely to be closed by the server.
    while (!idle.empty() && now - idle.back().idleSince_ <= idleLimit) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        if (candidate.connection_.isOpenAndIdle()) {
            return candidate;
        }
    }
    return std::nullopt;
}

auto BackendPool::keepIdle(const std::string &address, IdleConnection connection) -> void
{
    auto &shard = shardOf(address);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &server = shard.servers_[address];
    if (connection.generation_ == server.generation_ && server.idle_.size() < settings_.maximumIdlePerServer_) {
        server.idle_.push_back(std::move(connection));
    }
}

auto BackendPool::generationOf(const std::string &address) -> std::uint64_t
{
    auto &shard = shardOf(address);
    const auto lock = absl::MutexLock(&shard.mutex_);
    return shard.servers_[address].generation_;
}

}
