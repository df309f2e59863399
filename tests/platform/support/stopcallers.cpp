#include "support/stopcallers.h"

#include "connection/httpmessage.h"
#include "core/clock.h"

#include <fmt/format.h>

#include <utility>
#include <variant>

namespace platformtest
{

namespace
{

using lycheecleat::MessageStatus;
using lycheecleat::TcpConnection;
using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

/** How long a caller waits after an answer that closes its connection. */
constexpr auto reconnectDelay = Milliseconds { 20 };

constexpr auto connectTimeout = absl::Seconds(1);
constexpr auto writeTimeout = absl::Seconds(8);

/** Longest wait for a response; the longest grace of the tests and some time. */
constexpr auto readTimeout = absl::Seconds(24);

auto headOf(const std::string &id, const StopRequest &request) -> std::string
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: service.example\r\nX-Request-Id: {}\r\nX-Affinity-Key: {}\r\nX-Deadline-Ms: {}\r\nX-Credential: key-free\r\n"
                       "{}Content-Length: {}\r\n\r\n",
                       request.bodyBytes_ == 0 ? "GET" : "POST",
                       request.path_,
                       id,
                       id,
                       request.timeLimit_.count(),
                       request.work_ ? fmt::format("X-Work-Ms: {}\r\n", request.work_->count()) : "",
                       request.bodyBytes_);
}

auto connectTo(const FleetHost &host) -> std::variant<TcpConnection, lycheecleat::Error>
{
    auto connected = lycheecleat::attempt([&] {
        return TcpConnection::connect(host.callerAddress_, lycheecleat::monotonicNow() + connectTimeout);
    });
    if (auto *error = std::get_if<lycheecleat::Error>(&connected)) {
        return std::move(*error);
    }
    return std::get<TcpConnection>(std::move(connected));
}

}

StopCallers::StopCallers(const FleetHost &host, Clock::time_point signalAt)
    : host_(host)
    , signalAt_(signalAt)
{
}

StopCallers::~StopCallers()
{
    join();
}

auto StopCallers::nextId() -> std::string
{
    return fmt::format("stop-{}", ++count_);
}

auto StopCallers::sinceSignal() const -> Milliseconds
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - signalAt_);
}

auto StopCallers::sendAt(const StopRequest &request) -> std::string
{
    auto id = nextId();
    callers_.emplace_back([=, this] {
        std::this_thread::sleep_until(signalAt_ + request.after_);
        auto connected = connectTo(host_);
        if (auto *connection = std::get_if<TcpConnection>(&connected)) {
            const auto after = sinceSignal();
            write(id, request, *connection);
            std::this_thread::sleep_for(request.readDelay_);
            record(id, after, *connection);
        } else {
            recordUnanswered(id, request.after_);
        }
    });
    return id;
}

auto StopCallers::sendBehind(const StopRequest &first, const StopRequest &second) -> std::pair<std::string, std::string>
{
    const auto firstId = nextId();
    const auto secondId = nextId();
    callers_.emplace_back([=, this] {
        std::this_thread::sleep_until(signalAt_ + first.after_);
        auto connected = connectTo(host_);
        auto *connection = std::get_if<TcpConnection>(&connected);
        if (connection == nullptr) {
            recordUnanswered(firstId, first.after_);
            recordUnanswered(secondId, second.after_);
            return;
        }
        const auto firstAfter = sinceSignal();
        write(firstId, first, *connection);
        std::this_thread::sleep_until(signalAt_ + second.after_);
        const auto secondAfter = sinceSignal();
        write(secondId, second, *connection);
        if (record(firstId, firstAfter, *connection)) {
            record(secondId, secondAfter, *connection);
        } else {
            recordUnanswered(secondId, secondAfter);
        }
    });
    return { firstId, secondId };
}

auto StopCallers::sendOnKeptConnection(Milliseconds from, const std::string &path) -> void
{
    const auto caller = ++count_;
    callers_.emplace_back([=, this] {
        std::this_thread::sleep_until(signalAt_ + from);
        auto number = 0;
        auto connected = connectTo(host_);
        while (auto *connection = std::get_if<TcpConnection>(&connected)) {
            const auto id = fmt::format("kept-{}-{}", caller, ++number);
            const auto after = sinceSignal();
            auto request = StopRequest {};
            request.path_ = path;
            write(id, request, *connection);
            if (!record(id, after, *connection)) {
                std::this_thread::sleep_for(reconnectDelay);
                connected = connectTo(host_);
            }
        }
    });
}

auto StopCallers::join() -> std::vector<StopCall>
{
    for (auto &caller : callers_) {
        if (caller.joinable()) {
            caller.join();
        }
    }
    return calls_;
}

auto StopCallers::write(const std::string &id, const StopRequest &request, TcpConnection &connection) const -> void
{
    const auto deadline = lycheecleat::monotonicNow() + writeTimeout;
    static_cast<void>(connection.write(headOf(id, request), deadline));
    std::this_thread::sleep_for(request.bodyDelay_);
    static_cast<void>(connection.write(std::string(request.bodyBytes_, 'b'), deadline));
}

auto StopCallers::record(const std::string &id, Milliseconds after, TcpConnection &connection) -> bool
{
    auto response = lycheecleat::IncomingResponse {};
    const auto limits = lycheecleat::ResponseLimits { 65536, std::size_t { 64 } * 1024 * 1024 };
    const auto status = lycheecleat::readResponse(connection, "GET", limits, lycheecleat::monotonicNow() + readTimeout, response);
    const auto isAnswered = status == MessageStatus::Complete;
    const auto lock = std::lock_guard(mutex_);
    calls_.push_back({ id, after, isAnswered, response.httpResponse_.status_, sinceSignal(), response.closesConnection_ });
    return isAnswered && !response.closesConnection_;
}

auto StopCallers::recordUnanswered(const std::string &id, Milliseconds after) -> void
{
    const auto lock = std::lock_guard(mutex_);
    calls_.push_back({ id, after, false, 0, sinceSignal(), false });
}

}
