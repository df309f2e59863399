#include "connection/backendpool.h"

#include "connection/httpmessage.h"
#include "core/clock.h"
#include "core/digest.h"

#include <absl/time/clock.h>

#include <algorithm>
#include <limits>
#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

/** Responses to other requests that are skipped on a connection before the exchange fails. */
constexpr auto maximumMismatchedResponses = 3;

/** Size of the parts in which the rest of a response is passed on. */
constexpr auto passedPartSize = std::size_t { 32 } * 1024;

/** A server without connections is forgotten after this time; requests that began before have ended by then. */
constexpr auto generationMemory = absl::Minutes(10);

/** Pause before a part is read again for which there was no memory. */
constexpr auto noRoomPause = absl::Milliseconds(5);

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

auto headOfOutgoing(const BackendHeaders &names, const RequestContent &request, const BackendCall &call, absl::Duration remaining) -> std::string
{
    auto outgoing = RequestContent { request.method_, request.target_, {}, {} };
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
    if (!names.expectedInstance_.empty() && !call.peer_.name_.empty()) {
        headers.push_back({ names.expectedInstance_, call.peer_.name_ });
    }
    return serializeHead(outgoing);
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
    case MessageStatus::NoRoom:
        return failure(ExchangeStatus::Incomplete, "no memory for the response");
    case MessageStatus::Undelimited:
        return failure(ExchangeStatus::Incomplete, "undelimited response");
    case MessageStatus::Abandoned:
        return failure(ExchangeStatus::Abandoned, "the caller closed its connection");
    case MessageStatus::Malformed:
    case MessageStatus::Partial:
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

// The head of a response as it is passed on.
auto forwardedHead(const IncomingResponse &response) -> HttpResponse
{
    auto forwarded = HttpResponse { response.httpResponse_.status_, withoutHopByHopHeaders(response.httpResponse_.headers_), {} };
    // Content-Length is set again when the body is forwarded. In a response without a body it is the length that a GET would return.
    if (!response.isBodyless_) {
        std::erase_if(forwarded.headers_, [](const HeaderField &header) {
            return equalIgnoringCase(header.name_, "content-length");
        });
    }
    return forwarded;
}

// Reads a response that is not passed on.
auto discardBody(ResponseReader &reader, absl::Time deadline) -> MessageStatus
{
    auto status = MessageStatus::Partial;
    while (status == MessageStatus::Partial) {
        status = reader.readBody(passedPartSize, deadline);
        static_cast<void>(reader.takeBody());
    }
    return status;
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
{
}

struct BackendPool::OpenExchange
{
    OpenExchange(IdleConnection connection, const BackendCall &call, const BackendPoolSettings &settings)
        : idle_(std::move(connection))
        , address_(call.address_)
        , deadline_(call.deadline_)
        , reader_(idle_.connection_, { settings.maximumResponseHead_, settings.maximumResponseBody_, settings.acceptsUndelimited_, settings.bodyMemory_ })
    {
    }

    // A reset lets the backend server detect that it can stop processing the request.
    ~OpenExchange()
    {
        if (!isFinished_) {
            idle_.connection_.abort();
        }
    }

    OpenExchange(const OpenExchange &) = delete;
    auto operator=(const OpenExchange &) -> OpenExchange & = delete;

    IdleConnection idle_;
    std::string address_;
    absl::Time deadline_;
    ResponseReader reader_;
    /** Whether the connection can be used again after the response. */
    bool isReusable_ = false;
    /** The response is complete. */
    bool isFinished_ = false;
};

auto BackendPool::exchange(const BackendCall &call, const RequestContent &request) -> BackendExchange
{
    auto idle = call.needsNewConnection_ ? std::nullopt : takeIdle(call);
    const auto reused = idle.has_value();
    const auto idleTime = reused ? monotonicNow() - idle->idleSince_ : absl::ZeroDuration();
    if (!idle) {
        const auto generation = generationOf(call);
        auto connected = attempt([&] {
            return TcpConnection::connect(call.address_, std::min(call.deadline_, monotonicNow() + settings_.connectTimeout_), call.callerSocket_);
        });
        if (const auto *error = std::get_if<Error>(&connected)) {
            return failure(isPeerClosed(call.callerSocket_) ? ExchangeStatus::CallerLeft : ExchangeStatus::NotSent, describe(*error));
        }
        idle = IdleConnection { std::get<TcpConnection>(std::move(connected)), absl::InfinitePast(), generation };
    }
    const auto bytesWrittenBefore = idle->connection_.bytesWritten();
    const auto remaining = call.deadline_ - monotonicNow();
    if (remaining <= absl::ZeroDuration()) {
        return failure(ExchangeStatus::NotSent, "the deadline passed before sending");
    }
    auto head = headOfOutgoing(settings_.headers_, request, call, remaining);
    if (auto unsent = reasonNotToSend(call)) {
        idle->idleSince_ = reused ? idle->idleSince_ : monotonicNow();
        keepIdle(call.address_, std::move(*idle));
        return std::move(*unsent);
    }
    const auto sentAt = monotonicNow();
    const auto open = std::make_shared<OpenExchange>(std::move(*idle), call, settings_);
    auto &connection = open->idle_.connection_;
    connection.watchCaller(call.repeatable_ ? call.callerSocket_ : -1);
    connection.watchEnd(settings_.endDescriptor_);
    const auto writeStatus = writeMessage(connection, std::move(head), request.body_, call.deadline_);
    if (connection.bytesWritten() == bytesWrittenBefore) {
        return failure(ExchangeStatus::NotSent, "no byte could be written to the connection");
    }
    open->isReusable_ = writeStatus == TransferStatus::Done;
    // A server may respond before it has read the whole request, so a failed write does not end the exchange.
    const auto firstByteDeadline = reused ? monotonicNow() + call.firstByteTimeout_ : absl::InfiniteFuture();
    auto firstByteFailure = awaitFirstByte(connection, firstByteDeadline, call.deadline_);
    auto result = firstByteFailure ? std::move(*firstByteFailure) : receive(open, call, request.method_);
    result.sentAt_ = sentAt;
    result.connectionReused_ = reused;
    result.wasIdleForLong_ = idleTime > settings_.nonRepeatableIdleLimit_;
    return result;
}

// Reads the response, or its head and first part.
auto BackendPool::receive(const std::shared_ptr<OpenExchange> &open, const BackendCall &call, const std::string &method) -> BackendExchange
{
    auto &reader = open->reader_;
    for (auto mismatched = 0;; ++mismatched) {
        const auto status = reader.readHead(method, call.deadline_);
        if (status != MessageStatus::Complete) {
            return withHeadOf(failureOf(status), settings_, call, reader.response());
        }
        if (!isMismatched(settings_, call, reader.response())) {
            break;
        }
        const auto discarded = discardBody(reader, call.deadline_);
        if (discarded != MessageStatus::Complete) {
            return failureOf(discarded);
        }
        if (reader.response().closesConnection_ || mismatched == maximumMismatchedResponses) {
            return failure(ExchangeStatus::Incomplete, "response to another request");
        }
    }
    const auto &response = reader.response();
    open->isReusable_ = open->isReusable_ && !response.closesConnection_;
    const auto held = call.acceptsPart_ ? settings_.heldResponseBody_ : std::numeric_limits<std::size_t>::max();
    const auto status = reader.readBody(held, call.deadline_);
    const auto isPart = status == MessageStatus::Partial || (status == MessageStatus::NoRoom && call.acceptsPart_);
    if (status != MessageStatus::Complete && !isPart) {
        return withHeadOf(failureOf(status), settings_, call, response);
    }
    auto exchange = BackendExchange {};
    exchange.status_ = ExchangeStatus::Complete;
    exchange.closing_ = response.closesConnection_;
    exchange.response_ = forwardedHead(response);
    exchange.response_.body_ = reader.takeBody();
    if (isPart) {
        exchange.rest_ = ResponseRest { reader.statedLength(), [this, open] {
                                           return nextPart(*open);
                                       } };
    } else {
        keepFinished(*open);
    }
    return exchange;
}

auto BackendPool::nextPart(OpenExchange &open) -> BodyPart
{
    auto status = open.reader_.readBody(passedPartSize, open.deadline_);
    while (status == MessageStatus::NoRoom && monotonicNow() < open.deadline_) {
        absl::SleepFor(noRoomPause);
        status = open.reader_.readBody(passedPartSize, open.deadline_);
    }
    auto body = open.reader_.takeBody();
    switch (status) {
    case MessageStatus::Partial:
        return { std::move(body), BodyPartEnd::More };
    case MessageStatus::Complete:
        keepFinished(open);
        return { std::move(body), BodyPartEnd::Complete };
    default:
        return { {}, BodyPartEnd::Cut };
    }
}

auto BackendPool::keepFinished(OpenExchange &open) -> void
{
    open.isFinished_ = true;
    if (open.isReusable_ && open.idle_.connection_.isOpenAndIdle()) {
        open.idle_.idleSince_ = monotonicNow();
        open.idle_.connection_.watchCaller(-1);
        keepIdle(open.address_, std::move(open.idle_));
    }
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

auto BackendPool::beginGeneration(Server &server, absl::Time now) -> std::vector<IdleConnection>
{
    server.generation_ += 1;
    server.generationSince_ = now;
    return std::exchange(server.idle_, {});
}

auto BackendPool::closeIdle(const std::string &address) -> void
{
    auto closed = std::vector<IdleConnection> {};
    auto &shard = shardOf(address);
    const auto lock = absl::MutexLock(&shard.mutex_);
    closed = beginGeneration(shard.servers_[address], monotonicNow());
    idleCount_ -= closed.size();
}

auto BackendPool::closeUnused(absl::Time now, absl::FunctionRef<bool(const std::string &address, const ConnectionPeer &peer)> isInUse) -> void
{
    for (auto &shard : shards_) {
        const auto lock = absl::MutexLock(&shard.mutex_);
        for (auto &[address, server] : shard.servers_) {
            if (!isInUse(address, server.peer_)) {
                idleCount_ -= beginGeneration(server, now).size();
            }
            idleCount_ -= std::erase_if(server.idle_, [&](const IdleConnection &connection) {
                return now - connection.idleSince_ > settings_.idleLimit_;
            });
        }
        absl::erase_if(shard.servers_, [&](const auto &item) {
            return item.second.idle_.empty() && now - item.second.generationSince_ > generationMemory;
        });
    }
}

// Closes an eighth more than necessary, so that not each further connection has to look for the oldest.
auto BackendPool::closeOldestIdle() -> void
{
    auto times = std::vector<absl::Time> {};
    for (auto &shard : shards_) {
        const auto lock = absl::MutexLock(&shard.mutex_);
        for (const auto &[address, server] : shard.servers_) {
            for (const auto &connection : server.idle_) {
                times.push_back(connection.idleSince_);
            }
        }
    }
    const auto kept = settings_.maximumIdle_ - settings_.maximumIdle_ / 8;
    if (times.size() <= kept) {
        return;
    }
    const auto limit = times.begin() + static_cast<std::ptrdiff_t>(times.size() - kept);
    std::nth_element(times.begin(), limit, times.end());
    for (auto &shard : shards_) {
        const auto lock = absl::MutexLock(&shard.mutex_);
        for (auto &[address, server] : shard.servers_) {
            idleCount_ -= std::erase_if(server.idle_, [&](const IdleConnection &connection) {
                return connection.idleSince_ < *limit;
            });
        }
    }
}

auto BackendPool::idleCount() const -> std::size_t
{
    return idleCount_;
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

auto BackendPool::serverOf(Shard &shard, const BackendCall &call) -> Server &
{
    shard.mutex_.AssertHeld();
    auto &server = shard.servers_[call.address_];
    if (server.peer_ != call.peer_) {
        server.peer_ = call.peer_;
        server.generation_ += 1;
        server.generationSince_ = monotonicNow();
    }
    return server;
}

auto BackendPool::takeIdle(const BackendCall &call) -> std::optional<IdleConnection>
{
    const auto now = monotonicNow();
    const auto idleLimit = call.repeatable_ ? settings_.idleLimit_ : settings_.nonRepeatableIdleLimit_;
    auto &shard = shardOf(call.address_);
    const auto lock = absl::MutexLock(&shard.mutex_);
    auto &server = serverOf(shard, call);
    auto &idle = server.idle_;
    idleCount_ -= std::erase_if(idle, [&](const IdleConnection &connection) {
        return now - connection.idleSince_ > settings_.idleLimit_ || connection.generation_ != server.generation_;
    });
    // The most recently used connection is last and the least likely to be closed by the server.
    while (!idle.empty() && now - idle.back().idleSince_ <= idleLimit) {
        auto candidate = std::move(idle.back());
        idle.pop_back();
        idleCount_ -= 1;
        if (candidate.connection_.isOpenAndIdle()) {
            return candidate;
        }
    }
    return std::nullopt;
}

auto BackendPool::keepIdle(const std::string &address, IdleConnection connection) -> void
{
    {
        auto &shard = shardOf(address);
        const auto lock = absl::MutexLock(&shard.mutex_);
        auto &server = shard.servers_[address];
        if (connection.generation_ != server.generation_ || server.idle_.size() >= settings_.maximumIdlePerServer_) {
            return;
        }
        connection.connection_.releaseBuffer();
        server.idle_.push_back(std::move(connection));
        idleCount_ += 1;
    }
    if (idleCount_.load() > settings_.maximumIdle_) {
        closeOldestIdle();
    }
}

auto BackendPool::generationOf(const BackendCall &call) -> std::uint64_t
{
    auto &shard = shardOf(call.address_);
    const auto lock = absl::MutexLock(&shard.mutex_);
    return serverOf(shard, call).generation_;
}

}
