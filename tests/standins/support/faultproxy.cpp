#include "support/faultproxy.h"

#include "support/sockets.h"

#include <nlohmann/json.hpp>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <deque>
#include <map>
#include <optional>

namespace standin
{

namespace
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr auto statusOk = 200;
constexpr auto statusBadRequest = 400;
constexpr auto statusNotFound = 404;
constexpr auto maximumControlConnections = 64;
constexpr auto noTimeout = -1;
constexpr auto acceptPollMilliseconds = 20;
/** Maximum bytes buffered in one direction before reading pauses. */
constexpr auto maximumPendingBytes = std::size_t { 1 } << 20;

/** Forwarding state of one direction of a connection. */
struct Direction
{
    int from_ = -1;
    int to_ = -1;
    struct DelayedBytes
    {
        Clock::time_point dueAt_;
        std::string bytes_;
    };
    std::deque<DelayedBytes> pending_;
    std::size_t pendingBytes_ = 0;
    bool isEndReceived_ = false;
    bool isEndForwarded_ = false;
};

/** Closes a connection with a TCP reset. */
auto resetAndClose(int socket) -> void
{
    const auto lingering = linger { 1, 0 };
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &lingering, sizeof(lingering));
    close(socket);
}

/** Receives available bytes without blocking; false on a connection error. */
auto receiveBytes(Direction &direction, const LinkFaults &faults, bool isDiscarding) -> bool
{
    auto chunk = std::array<char, 65536> {};
    const auto count = recv(direction.from_, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (count < 0) {
        return errno == EAGAIN || errno == EINTR;
    }
    if (count == 0) {
        direction.isEndReceived_ = true;
        return true;
    }
    if (!isDiscarding) {
        direction.pending_.push_back({ Clock::now() + faults.delay_, std::string(chunk.data(), static_cast<std::size_t>(count)) });
        direction.pendingBytes_ += static_cast<std::size_t>(count);
    }
    return true;
}

/** Sends the bytes whose delay has passed, without blocking; false on a connection error. */
auto sendDueBytes(Direction &direction) -> bool
{
    while (!direction.pending_.empty() && direction.pending_.front().dueAt_ <= Clock::now()) {
        auto &bytes = direction.pending_.front().bytes_;
        const auto count = send(direction.to_, bytes.data(), bytes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0) {
            return errno == EAGAIN || errno == EINTR;
        }
        direction.pendingBytes_ -= static_cast<std::size_t>(count);
        bytes.erase(0, static_cast<std::size_t>(count));
        if (bytes.empty()) {
            direction.pending_.pop_front();
        }
    }
    if (direction.isEndReceived_ && direction.pending_.empty() && !direction.isEndForwarded_) {
        direction.isEndForwarded_ = true;
        shutdown(direction.to_, SHUT_WR);
    }
    return true;
}

/** Whether bytes are due but not sent because the socket's send buffer is full. */
auto isBlocked(const Direction &direction) -> bool
{
    return !direction.pending_.empty() && direction.pending_.front().dueAt_ <= Clock::now();
}

/** Milliseconds until the next bytes are due; -1 when none are delayed. */
auto millisecondsUntilDue(const Direction &direction) -> int
{
    if (direction.pending_.empty() || isBlocked(direction)) {
        return -1;
    }
    return static_cast<int>(std::chrono::ceil<milliseconds>(direction.pending_.front().dueAt_ - Clock::now()).count());
}

/** Poll events for a socket from which one direction reads and to which the other writes. */
auto eventsOf(const Direction &reading, const Direction &writing) -> short
{
    const auto canRead = !reading.isEndReceived_ && reading.pendingBytes_ < maximumPendingBytes;
    return static_cast<short>((canRead ? POLLIN : 0) | (isBlocked(writing) ? POLLOUT : 0));
}

auto isReadable(const pollfd &descriptor) -> bool
{
    return (descriptor.revents & (POLLIN | POLLHUP | POLLERR)) != 0;
}

/** The shorter of two poll timeouts, where -1 means no timeout. */
auto shorterTimeout(int left, int right) -> int
{
    return left < 0 ? right : (right < 0 ? left : std::min(left, right));
}

/** State of a proxied connection. */
enum class RelayState {
    Open,
    /** The ends of both directions have been forwarded. */
    Ended,
    /** Both sockets must be closed with a reset. */
    Reset,
};

/** Forwards bytes between a client and the target. */
class ConnectionRelay
{
public:
    ConnectionRelay(int client, int wakeDescriptor, std::string target)
        : wakeDescriptor_(wakeDescriptor)
        , targetAddress_(std::move(target))
    {
        toTarget_.from_ = client;
        toClient_.to_ = client;
    }

    /** Waits for the next event and handles it. */
    auto step(const LinkFaults &faults) -> RelayState
    {
        auto signalled = std::uint64_t { 0 };
        [[maybe_unused]] const auto drained = read(wakeDescriptor_, &signalled, sizeof(signalled));
        if (faults.isFrozen_) {
            auto descriptor = pollfd { wakeDescriptor_, POLLIN, 0 };
            poll(&descriptor, 1, noTimeout);
            return RelayState::Open;
        }
        if (!connectTarget() || !sendDueBytes(toTarget_) || !sendDueBytes(toClient_)) {
            return RelayState::Reset;
        }
        if (toTarget_.isEndForwarded_ && toClient_.isEndForwarded_) {
            return RelayState::Ended;
        }
        return waitAndRead(faults) ? RelayState::Open : RelayState::Reset;
    }

    /** Closes both sockets. */
    auto close(RelayState state) -> void
    {
        for (const auto socket : { toTarget_.from_, toTarget_.to_ }) {
            if (socket < 0) {
                continue;
            }
            if (state == RelayState::Reset) {
                resetAndClose(socket);
            } else {
                ::close(socket);
            }
        }
    }

private:
    /** Connects to the target on first use, because a frozen link must not connect to it. */
    auto connectTarget() -> bool
    {
        if (toTarget_.to_ < 0) {
            toTarget_.to_ = connectTo(targetAddress_);
            toClient_.from_ = toTarget_.to_;
        }
        return toTarget_.to_ >= 0;
    }

    auto waitAndRead(const LinkFaults &faults) -> bool
    {
        auto descriptors = std::array<pollfd, 3> { pollfd { wakeDescriptor_, POLLIN, 0 },
                                                   pollfd { toTarget_.from_, eventsOf(toTarget_, toClient_), 0 },
                                                   pollfd { toTarget_.to_, eventsOf(toClient_, toTarget_), 0 } };
        // Excludes sockets without requested events, since poll would report the hang-up of a closed one on every call.
        for (auto &descriptor : descriptors) {
            descriptor.fd = descriptor.events == 0 ? -1 : descriptor.fd;
        }
        poll(descriptors.data(), descriptors.size(), shorterTimeout(millisecondsUntilDue(toTarget_), millisecondsUntilDue(toClient_)));
        // Faults may have changed during the wait and must apply before anything is read.
        if (descriptors[0].revents != 0) {
            return true;
        }
        if (isReadable(descriptors[1]) && !receiveBytes(toTarget_, faults, false)) {
            return false;
        }
        return !isReadable(descriptors[2]) || receiveBytes(toClient_, faults, faults.dropsResponses_);
    }

    int wakeDescriptor_;
    std::string targetAddress_;
    Direction toTarget_;
    Direction toClient_;
};

/** The combination of two sets of faults; their delays are added. */
auto combineFaults(const LinkFaults &left, const LinkFaults &right) -> LinkFaults
{
    return LinkFaults {
        left.isCut_ || right.isCut_, left.isFrozen_ || right.isFrozen_, left.dropsResponses_ || right.dropsResponses_, left.delay_ + right.delay_
    };
}

auto contains(const std::vector<std::string> &names, const std::string &name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

auto matches(const std::string &pattern, const std::string &name) -> bool
{
    if (!pattern.empty() && pattern.back() == '*') {
        return name.compare(0, pattern.size() - 1, pattern, 0, pattern.size() - 1) == 0;
    }
    return pattern == name;
}

}

struct FaultProxy::Connection
{
    int client_ = -1;
    /** Event descriptor that is signalled when the link's faults change. */
    int wakeDescriptor_ = -1;
    bool isSilenced_ = false;
    /** Name of the process that opened the connection; empty when the process has no name. */
    std::string source_;
};

struct FaultProxy::Link
{
    ProxyLink settings_;
    /** Faults of all connections. */
    LinkFaults faults_;
    /** Additional faults by source, for the connections of that process. */
    std::map<std::string, LinkFaults> sourceFaults_;
    int listener_ = -1;
    std::thread acceptor_;
    std::list<std::unique_ptr<Connection>> connections_;
};

FaultProxy::FaultProxy(std::vector<ProxyLink> links)
    : control_(
        [this](const HttpRequest &request) {
            return handleControl(request);
        },
        maximumControlConnections)
{
    for (auto &settings : links) {
        auto link = std::make_unique<Link>();
        link->settings_ = std::move(settings);
        links_.push_back(std::move(link));
    }
}

FaultProxy::~FaultProxy()
{
    control_.stop();
    {
        const auto lock = std::lock_guard(mutex_);
        isStopping_ = true;
    }
    updateLinks({ "*" }, [](Link &) {});
    for (auto &link : links_) {
        if (link->acceptor_.joinable()) {
            link->acceptor_.join();
        }
    }
    auto lock = std::unique_lock(mutex_);
    changed_.wait(lock, [this] {
        return std::all_of(links_.begin(), links_.end(), [](const auto &link) {
            return link->connections_.empty();
        });
    });
}

auto FaultProxy::start(const std::string &controlAddress) -> bool
{
    for (auto &link : links_) {
        link->listener_ = listenOn(link->settings_.listen_);
        if (link->listener_ < 0) {
            return false;
        }
        link->acceptor_ = std::thread([this, &link] {
            acceptLoop(*link);
        });
    }
    return control_.start(controlAddress);
}

auto FaultProxy::controlAddress() const -> const std::string &
{
    return control_.address();
}

// Listens again if the link is not cut and has no listener.
auto FaultProxy::reopenListener(Link &link) -> void
{
    if (!link.faults_.isCut_ && link.listener_ < 0) {
        link.listener_ = listenOn(link.settings_.listen_);
    }
}

auto FaultProxy::acceptLoop(Link &link) -> void
{
    while (true) {
        auto listener = -1;
        {
            const auto lock = std::lock_guard(mutex_);
            if (isStopping_) {
                break;
            }
            if (link.faults_.isCut_ && link.listener_ >= 0) {
                close(link.listener_);
                link.listener_ = -1;
            }
            reopenListener(link);
            listener = link.listener_;
        }
        auto descriptor = pollfd { listener, POLLIN, 0 };
        if (poll(&descriptor, 1, acceptPollMilliseconds) <= 0) {
            continue;
        }
        const auto client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) {
            continue;
        }
        auto connection = std::make_unique<Connection>();
        connection->client_ = client;
        connection->wakeDescriptor_ = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
        auto *const accepted = connection.get();
        const auto lock = std::lock_guard(mutex_);
        link.connections_.push_back(std::move(connection));
        std::thread([this, &link, accepted, sources = sources_] {
            // The lookup reads the descriptors of every named process, so it runs without the lock.
            const auto owner = owningProcess(accepted->client_, sources);
            {
                const auto sourceLock = std::lock_guard(mutex_);
                accepted->source_ = owner;
            }
            relayConnection(link, *accepted);
        }).detach();
    }
    if (link.listener_ >= 0) {
        close(link.listener_);
    }
}

auto FaultProxy::relayConnection(Link &link, Connection &connection) -> void
{
    auto connectionRelay = ConnectionRelay(connection.client_, connection.wakeDescriptor_, link.settings_.target_);
    auto state = RelayState::Open;
    while (state == RelayState::Open) {
        const auto faults = faultsOf(link, connection);
        state = faults ? connectionRelay.step(*faults) : RelayState::Reset;
    }
    connectionRelay.close(state);
    const auto lock = std::lock_guard(mutex_);
    close(connection.wakeDescriptor_);
    link.connections_.remove_if([&](const auto &other) {
        return other.get() == &connection;
    });
    // Notify under the lock: the proxy may be destroyed as soon as the lock is released.
    changed_.notify_all();
}

auto FaultProxy::faultsOf(const Link &link, const Connection &connection) -> std::optional<LinkFaults>
{
    const auto lock = std::lock_guard(mutex_);
    const auto sourceFaults = link.sourceFaults_.find(connection.source_);
    auto faults = sourceFaults == link.sourceFaults_.end() ? link.faults_ : combineFaults(link.faults_, sourceFaults->second);
    if (isStopping_ || faults.isCut_) {
        return std::nullopt;
    }
    faults.isFrozen_ = faults.isFrozen_ || connection.isSilenced_;
    return faults;
}

auto FaultProxy::updateLinks(const std::vector<std::string> &patterns, const std::function<void(Link &)> &change) -> int
{
    const auto lock = std::lock_guard(mutex_);
    auto changed = 0;
    for (auto &link : links_) {
        const auto isSelected = std::any_of(patterns.begin(), patterns.end(), [&](const auto &pattern) {
            return matches(pattern, link->settings_.name_);
        });
        if (!isSelected) {
            continue;
        }
        ++changed;
        change(*link);
        // Does not wait for the accept loop, so that connections succeed as soon as the control call returns.
        reopenListener(*link);
        for (auto &connection : link->connections_) {
            const auto one = std::uint64_t { 1 };
            [[maybe_unused]] const auto written = write(connection->wakeDescriptor_, &one, sizeof(one));
        }
    }
    return changed;
}

auto FaultProxy::changeFaults(const Selection &selection, const std::function<void(LinkFaults &)> &change) -> int
{
    return updateLinks(selection.links_, [&](Link &link) {
        if (selection.sources_.empty()) {
            change(link.faults_);
        }
        for (const auto &source : selection.sources_) {
            change(link.sourceFaults_[source]);
        }
    });
}

auto FaultProxy::silenceConnections(const Selection &selection) -> int
{
    return updateLinks(selection.links_, [&](Link &link) {
        for (auto &connection : link.connections_) {
            if (selection.sources_.empty() || contains(selection.sources_, connection->source_)) {
                connection->isSilenced_ = true;
            }
        }
    });
}

auto FaultProxy::setSources(const HttpRequest &request) -> HttpResponse
{
    const auto body = Json::parse(request.body_, nullptr, false);
    if (!body.is_object()) {
        return jsonResponse(statusBadRequest, R"({"error":"the body is not a JSON object"})");
    }
    const auto lock = std::lock_guard(mutex_);
    sources_ = body.get<NamedProcesses>();
    return jsonResponse(statusOk, "{}");
}

auto FaultProxy::handleControl(const HttpRequest &request) -> HttpResponse
{
    if (request.path_ == "/control/links") {
        return linksResponse();
    }
    if (request.path_ == "/control/sources") {
        return setSources(request);
    }
    const auto body = Json::parse(request.body_, nullptr, false);
    if (!body.is_object() || !body.contains("links")) {
        return jsonResponse(statusBadRequest, R"({"error":"the body is not a JSON object with links"})");
    }
    const auto selection = Selection { body.at("links").get<std::vector<std::string>>(), body.value("sources", std::vector<std::string> {}) };
    const auto on = body.value("on", true);
    const auto delay = milliseconds(body.value("ms", std::int64_t { 0 }));
    const auto changes = std::map<std::string, std::function<void(LinkFaults &)>> {
        { "/control/cut",
          [on](LinkFaults &faults) {
              faults.isCut_ = on;
          } },
        { "/control/freeze",
          [on](LinkFaults &faults) {
              faults.isFrozen_ = on;
          } },
        { "/control/drop-replies",
          [on](LinkFaults &faults) {
              faults.dropsResponses_ = on;
          } },
        { "/control/delay",
          [delay](LinkFaults &faults) {
              faults.delay_ = delay;
          } },
    };
    const auto change = changes.find(request.path_);
    if (change == changes.end() && request.path_ != "/control/silence") {
        return jsonResponse(statusNotFound, R"({"error":"unknown control call"})");
    }
    const auto changed = change == changes.end() ? silenceConnections(selection) : changeFaults(selection, change->second);
    // A call that matches no link fails, so that a misspelt name does not leave a test without its fault.
    return jsonResponse(changed > 0 ? statusOk : statusNotFound, Json { { "links", changed } }.dump());
}

auto FaultProxy::linksResponse() -> HttpResponse
{
    const auto lock = std::lock_guard(mutex_);
    auto body = Json::object();
    for (const auto &link : links_) {
        body[link->settings_.name_] = Json { { "listen", link->settings_.listen_ },        { "target", link->settings_.target_ },
                                             { "connections", link->connections_.size() }, { "cut", link->faults_.isCut_ },
                                             { "frozen", link->faults_.isFrozen_ },        { "replies_dropped", link->faults_.dropsResponses_ },
                                             { "delay_ms", link->faults_.delay_.count() } };
    }
    return jsonResponse(statusOk, body.dump());
}

}
