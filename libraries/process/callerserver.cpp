#include "process/callerserverstate.h"

#include "connection/httpmessage.h"
#include "connection/tcpconnection.h"
#include "core/clock.h"
#include "core/log.h"
#include "process/callermessages.h"
#include "process/requestmessages.h"
#include "request/refusal.h"
#include "request/runtoken.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <thread>
#include <utility>
#include <vector>

namespace lycheecleat
{

namespace
{

// Threads that refuse requests beyond the limit; each refusal takes microseconds.
constexpr auto sheddingThreads = 2;

constexpr auto initialThreads = 4;

constexpr auto wakeEventId = std::uint64_t { 0 };
/** Epoll identifiers from here on belong to the listeners, in order. */
constexpr auto firstListenerId = std::uint64_t { 1 };

/** Bytes that are read and discarded after the last response; the connection of a caller that sends more is reset. */
constexpr auto maximumDiscardedBytes = std::size_t { 4 } * 1024 * 1024;

constexpr auto bodyTooLargeDetail = "the body is larger than allowed";

}

CallerServer::State::State(CallerServerSettings settings, CallerHandlers handlers)
    : settings_(std::move(settings))
    , handlers_(std::move(handlers))
{
}

CallerServer::State::~State()
{
    for (const auto descriptor : { epoll_, wakeDescriptor_ }) {
        if (descriptor >= 0) {
            ::close(descriptor);
        }
    }
}

auto CallerServer::State::listenOn(const std::string &address) -> Result<int>
{
    BOOST_LEAF_AUTO(port, listeners_.add(address));
    const auto index = listeners_.size() - 1;
    auto event = epoll_event { EPOLLIN | EPOLLEXCLUSIVE, { .u64 = firstListenerId + index } };
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, listeners_.descriptor(index), &event) != 0) {
        return makeError("listen for callers", address, std::generic_category().message(errno));
    }
    return port;
}

auto CallerServer::State::bind() -> Result<void>
{
    epoll_ = epoll_create1(EPOLL_CLOEXEC);
    wakeDescriptor_ = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
    auto wakeEvent = epoll_event { EPOLLIN, { .u64 = wakeEventId } };
    if (epoll_ctl(epoll_, EPOLL_CTL_ADD, wakeDescriptor_, &wakeEvent) != 0) {
        return makeError("listen for callers", settings_.address_, std::generic_category().message(errno));
    }
    constexpr auto maximumListeners = firstConnectionId - firstListenerId;
    if (settings_.furtherAddresses_.size() >= maximumListeners) {
        return makeError("listen for callers", settings_.address_, "too many addresses");
    }
    BOOST_LEAF_ASSIGN(port_, listenOn(settings_.address_));
    for (const auto &address : settings_.furtherAddresses_) {
        BOOST_LEAF_CHECK(listenOn(address));
    }
    return {};
}

auto CallerServer::State::runWorker() -> void
{
    while (!stopped_) {
        auto event = epoll_event {};
        idleThreads_ += 1;
        const auto ready = epoll_wait(epoll_, &event, 1, -1);
        const auto wasLastIdleThread = idleThreads_.fetch_sub(1) == 1;
        if (ready <= 0 || event.data.u64 == wakeEventId) {
            continue;
        }
        if (wasLastIdleThread) {
            addThread();
        }
        if (event.data.u64 < firstConnectionId) {
            acceptAll(event.data.u64 - firstListenerId);
            continue;
        }
        serveConnection(event.data.u64);
    }
}

// Threads are added on demand, since each one takes memory.
auto CallerServer::State::addThread() -> void
{
    const auto lock = absl::MutexLock(&threadsMutex_);
    const auto maximum = static_cast<std::size_t>(settings_.maximumRequests_) + sheddingThreads;
    if (stopped_ || threads_.size() >= maximum) {
        return;
    }
    threads_.emplace_back([this] {
        runWorker();
    });
}

auto CallerServer::State::currentLimits() const -> CallerLimits
{
    const auto settings = CallerLimits { settings_.maximumHeadBytes_, settings_.maximumBodyBytes_, settings_.readTimeout_, settings_.idleTimeout_ };
    auto limits = handlers_.limits_ ? handlers_.limits_() : settings;
    limits.maximumHeadBytes_ = std::max(limits.maximumHeadBytes_, settings.maximumHeadBytes_);
    limits.maximumBodyBytes_ = std::max(limits.maximumBodyBytes_, settings.maximumBodyBytes_);
    return limits;
}

auto CallerServer::State::acceptAll(std::size_t listener) -> void
{
    while (auto accepted = listeners_.accept(listener)) {
        const auto socket = accepted->socket_;
        auto connection = std::make_unique<CallerConnection>(CallerConnection { TcpConnection(socket), std::move(accepted->remoteAddress_), monotonicNow() });
        if (openConnections_.load() >= settings_.maximumConnections_) {
            connectionsBeyondLimit_ += 1;
            continue;
        }
        connection->listener_ = listener;
        const auto enabled = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        openConnections_ += 1;
        waitForInput(nextId_.fetch_add(1), std::move(connection), true);
    }
}

// Stores the connection before epoll can report it, and holds the lock until it is armed, so that it cannot be closed in between.
auto CallerServer::State::waitForInput(std::uint64_t id, std::unique_ptr<CallerConnection> connection, bool isNew) -> void
{
    auto &shard = shards_[id % shardCount];
    const auto lock = absl::MutexLock(&shard.mutex_);
    const auto socket = connection->connection_.socket();
    connection->connection_.releaseBuffer();
    shard.waiting_[id] = std::move(connection);
    auto event = epoll_event { EPOLLIN | EPOLLRDHUP | EPOLLONESHOT, { .u64 = id } };
    epoll_ctl(epoll_, isNew ? EPOLL_CTL_ADD : EPOLL_CTL_MOD, socket, &event);
}

auto CallerServer::State::takeWaiting(std::uint64_t id) -> std::unique_ptr<CallerConnection>
{
    auto &shard = shards_[id % shardCount];
    const auto lock = absl::MutexLock(&shard.mutex_);
    const auto found = shard.waiting_.find(id);
    if (found == shard.waiting_.end()) {
        return nullptr;
    }
    auto connection = std::move(found->second);
    shard.waiting_.erase(found);
    return connection;
}

auto CallerServer::State::serveConnection(std::uint64_t id) -> void
{
    activeConnections_ += 1;
    auto connection = takeWaiting(id);
    auto next = connection ? ConnectionStep::Continue : ConnectionStep::Close;
    while (next == ConnectionStep::Continue) {
        next = connection->lingering_ ? discard(*connection) : serveNext(*connection);
    }
    if (next == ConnectionStep::Linger) {
        connection->lingering_ = true;
        next = ConnectionStep::Wait;
    }
    if (next == ConnectionStep::Wait) {
        waitForInput(id, std::move(connection), false);
    } else if (connection) {
        connection.reset();
        openConnections_ -= 1;
    }
    activeConnections_ -= 1;
}

auto CallerServer::State::discard(CallerConnection &connection) -> ConnectionStep
{
    auto &socket = connection.connection_;
    auto status = TransferStatus::Done;
    while (status == TransferStatus::Done && connection.discardedBytes_ <= maximumDiscardedBytes) {
        connection.discardedBytes_ += socket.buffered().size();
        socket.consume(socket.buffered().size());
        status = socket.fillAvailable();
    }
    return status == TransferStatus::TimedOut ? ConnectionStep::Wait : ConnectionStep::Close;
}

// Reads the available input and serves one request if it is complete. An incomplete one occupies no thread.
auto CallerServer::State::serveNext(CallerConnection &connection) -> ConnectionStep
{
    if (connection.reader_) {
        return endRequest(connection, serveReceivedRequest(connection));
    }
    auto &socket = connection.connection_;
    const auto maximumHeadBytes = currentLimits().maximumHeadBytes_;
    while (!skipToCompleteHead(socket, connection.emptyLineBytes_) && connection.emptyLineBytes_ + socket.buffered().size() <= maximumHeadBytes) {
        const auto begun = !socket.buffered().empty();
        if (begun && !connection.headBegun_) {
            connection.headBegun_ = true;
            connection.waitingSince_ = arrivalOf(connection).readAt_;
        }
        const auto status = socket.fillAvailable();
        if (status == TransferStatus::TimedOut) {
            return ConnectionStep::Wait;
        }
        if (status != TransferStatus::Done) {
            return begun && status == TransferStatus::Closed ? refuse(connection, Refusal::MalformedRequest, "the connection was closed within the head")
                                                             : ConnectionStep::Close;
        }
    }
    if (connection.listener_ == 0) {
        connection.unfinished_.emplace(unansweredRequests_);
    }
    return endRequest(connection, serveRequest(connection));
}

// Prepares the connection for its next request, unless the body of this one is incomplete.
auto CallerServer::State::endRequest(CallerConnection &connection, ConnectionStep next) -> ConnectionStep
{
    if (connection.reader_) {
        return next;
    }
    connection.unfinished_.reset();
    connection.headBegun_ = false;
    connection.arrival_.reset();
    connection.emptyLineBytes_ = 0;
    connection.waitingSince_ = monotonicNow();
    return next;
}

auto CallerServer::State::serveRequest(CallerConnection &connection) -> ConnectionStep
{
    const auto arrival = arrivalOf(connection);
    const auto deadline = monotonicNow() + settings_.readTimeout_;
    auto ownedReader = std::make_unique<RequestReader>(connection.connection_, settings_.bodyMemory_);
    auto &reader = *ownedReader;
    const auto headStatus = reader.readHead(currentLimits().maximumHeadBytes_, deadline);
    if (headStatus != MessageStatus::Complete) {
        return refuse(connection,
                      Refusal::MalformedRequest,
                      headStatus == MessageStatus::HeadTooLarge ? "the head is larger than allowed" : "the head is not valid HTTP/1.1");
    }
    if (handlers_.respond_) {
        connection.reader_ = std::move(ownedReader);
        connection.bodyProgressAt_ = arrival.readAt_;
        return serveReceivedRequest(connection);
    }
    const auto &content = reader.request();
    auto request = requestOf(content, connection.remoteAddress_);
    auto response = httplib::Response {};
    if (pathOfTarget(content.target_) == lookupPath && !reader.hasBody()) {
        handlers_.lookup_(request, response);
        return respond(connection, content.method_, response, reader.closesConnection());
    }
    // An earlier attempt with the same idempotency key may have run.
    const auto outcome = headerCount(content.headers_, idempotencyHeader) > 0 ? Outcome::Unknown : Outcome::NotRun;
    if (activeConnections_.load() > settings_.maximumRequests_) {
        return refuse(connection, Refusal::Overloaded, "no thread is free", outcome);
    }
    if (reader.hasBody()) {
        const auto status = reader.readBody(handlers_.bodyLimit_(request), deadline);
        if (status != MessageStatus::Complete) {
            return status == MessageStatus::BodyTooLarge ? refuse(connection, Refusal::BodyTooLarge, bodyTooLargeDetail)
                                                         : refuse(connection, Refusal::MalformedRequest, "the body is incomplete or not valid HTTP/1.1");
        }
        request.body = content.body_.text();
    }
    if (isPeerClosed(connection.connection_.socket())) {
        return refuse(connection, Refusal::CallerLeft, "the caller closed its connection before its request was handled", outcome);
    }
    handlers_.handle_(request, response, arrival.readAt_ - arrival.unreadTime_);
    return respond(connection, content.method_, response, reader.closesConnection());
}

// Serves the request whose head has been read, once its body is complete. Keeps its reader, and returns Wait, while it is not.
auto CallerServer::State::serveReceivedRequest(CallerConnection &connection) -> ConnectionStep
{
    const auto arrival = arrivalOf(connection);
    const auto bodyBytes = connection.reader_->bodyBytes();
    const auto bodyStatus = connection.reader_->hasBody()
        ? connection.reader_->readAvailableBody(currentLimits().maximumBodyBytes_, arrival.readAt_ + settings_.bodyTimeout_)
        : MessageStatus::Complete;
    if (bodyStatus == MessageStatus::TimedOut) {
        connection.waitingSince_ = arrival.readAt_;
        connection.bodyProgressAt_ = connection.reader_->bodyBytes() > bodyBytes ? monotonicNow() : connection.bodyProgressAt_;
        return ConnectionStep::Wait;
    }
    const auto reader = std::move(connection.reader_);
    if (bodyStatus == MessageStatus::BodyTooLarge) {
        return refuse(connection, Refusal::BodyTooLarge, bodyTooLargeDetail);
    }
    if (bodyStatus != MessageStatus::Complete && bodyStatus != MessageStatus::NoRoom) {
        return ConnectionStep::Close;
    }
    const auto receivedAt = arrival.readAt_ - arrival.unreadTime_;
    const auto request = ReceivedRequest { reader->request(), receivedAt, connection.connection_.socket(), connection.listener_, arrival.unreadTime_ };
    if (bodyStatus == MessageStatus::NoRoom) {
        bodiesWithoutRoom_ += 1;
        auto refused = handlers_.refuse_(request, Refusal::NoMemory);
        refused.closes_ = true;
        return write(connection, reader->request().method_, std::move(refused));
    }
    const auto isOverloaded = connection.listener_ == 0 && activeConnections_.load() > settings_.maximumRequests_;
    auto response = isOverloaded ? handlers_.refuse_(request, Refusal::Overloaded) : handlers_.respond_(request);
    if (response.isAbandoned_) {
        return ConnectionStep::Close;
    }
    response.closes_ = response.closes_ || reader->closesConnection();
    return write(connection, reader->request().method_, std::move(response));
}

auto CallerServer::State::respond(CallerConnection &connection, const std::string &method, const httplib::Response &response, bool close) -> ConnectionStep
{
    return write(connection, method, { toHttpResponse(response), close });
}

auto CallerServer::State::write(CallerConnection &connection, const std::string &method, CallerResponse response) -> ConnectionStep
{
    const auto closes = response.closes_ || draining_;
    auto outgoing = formatResponse(std::move(response.httpResponse_), method, closes, std::move(response.rest_));
    const auto written = writeResponse(connection.connection_, std::move(outgoing), settings_.writeTimeout_);
    if (written != TransferStatus::Done) {
        return ConnectionStep::Close;
    }
    if (!closes) {
        return ConnectionStep::Continue;
    }
    connection.connection_.finishWriting();
    return ConnectionStep::Linger;
}

// Closes the connection, since the rest of the request has not been read.
auto CallerServer::State::refuse(CallerConnection &connection, Refusal refusal, std::string_view detail, Outcome outcome) -> ConnectionStep
{
    logLine(wallNow(),
            LogLevel::Info,
            "request_rejected",
            { { "reason", std::string(describeRefusal(refusal).name_) },
              { "status", std::to_string(describeRefusal(refusal).status_) },
              { "caller", connection.remoteAddress_ },
              { "listener", std::to_string(connection.listener_) },
              { "detail", std::string(detail) } });
    auto response = httplib::Response {};
    setRefusal(response, refusal, outcome, "");
    return respond(connection, "GET", response, true);
}

CallerServer::CallerServer(CallerServerSettings settings, CallerHandlers handlers)
    : state_(std::make_unique<State>(std::move(settings), std::move(handlers)))
{
}

CallerServer::~CallerServer()
{
    stop();
}

auto CallerServer::start() -> Result<void>
{
    BOOST_LEAF_CHECK(state_->bind());
    for (auto index = 0; index < initialThreads; ++index) {
        state_->addThread();
    }
    state_->timeoutThread_ = std::thread([state = state_.get()] {
        state->checkTimeouts();
    });
    return {};
}

auto CallerServer::port() const -> int
{
    return state_->port_;
}

auto CallerServer::unansweredRequests() const -> int
{
    return state_->unansweredRequests_;
}

auto CallerServer::counts() const -> CallerServerCounts
{
    return { state_->bodiesWithoutRoom_, state_->stalledBodies_, state_->connectionsBeyondLimit_, state_->listeners_.closedForDescriptors() };
}

auto CallerServer::stop() -> void
{
    if (!state_->timeoutThread_.joinable() || state_->draining_.exchange(true)) {
        return;
    }
    // Connections in the backlog were already accepted by the kernel, so they are served.
    for (auto index = std::size_t { 0 }; index < state_->listeners_.size(); ++index) {
        epoll_ctl(state_->epoll_, EPOLL_CTL_DEL, state_->listeners_.descriptor(index), nullptr);
        state_->acceptAll(index);
        state_->listeners_.shutDown(index);
    }
    const auto graceEnds = monotonicNow() + state_->settings_.stopGrace_;
    while (state_->openConnections_ > 0 && monotonicNow() < graceEnds) {
        absl::SleepFor(absl::Milliseconds(5));
    }
    while (state_->openConnections_ > 0) {
        state_->closeExpired(monotonicNow(), true);
        absl::SleepFor(absl::Milliseconds(5));
    }
    state_->stopped_ = true;
    const auto one = std::uint64_t { 1 };
    static_cast<void>(::write(state_->wakeDescriptor_, &one, sizeof(one)));
    auto threads = std::vector<std::thread> {};
    {
        const auto lock = absl::MutexLock(&state_->threadsMutex_);
        threads.swap(state_->threads_);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    state_->timeoutChecksEnd_.Notify();
    state_->timeoutThread_.join();
}

}
