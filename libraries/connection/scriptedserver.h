/** A server for tests that responds with exactly the given bytes. */
#pragma once

#include "connection/httpmessage.h"
#include "connection/tcpconnection.h"
#include "core/clock.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/clock.h>
#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace lycheecleat
{

/** The response of a scripted server to one request. */
struct ScriptedReply
{
    std::string bytes_;
    absl::Duration delay_ = absl::ZeroDuration();
    /** Closes the connection after the bytes. */
    bool close_ = false;
    /** Resets the connection after the bytes. */
    bool reset_ = false;
    /** Sent without a further request, this long after the other bytes. */
    std::string lateBytes_ = {};
    absl::Duration lateDelay_ = absl::ZeroDuration();
    /** Time between the bytes and the close or reset. */
    absl::Duration endDelay_ = absl::ZeroDuration();
    /** Shuts down the sending side right after the bytes, so that a reset follows an orderly end. */
    bool finishesWriting_ = false;
    /** Sent repeatedly after the bytes, until the peer closes the connection or the server has sent maximumRepeatedBytes. */
    std::string repeated_ = {};
};

/** A reply that sends bytes, waits, and resets the connection. */
[[nodiscard]] inline auto resetReply(const std::string &bytes, absl::Duration delay) -> ScriptedReply
{
    auto reply = ScriptedReply { bytes };
    reply.reset_ = true;
    reply.endDelay_ = delay;
    return reply;
}

/** A reply that sends bytes without end after a prefix. */
[[nodiscard]] inline auto endlessReply(const std::string &prefix, const std::string &repeated) -> ScriptedReply
{
    auto reply = ScriptedReply { prefix };
    reply.repeated_ = repeated;
    return reply;
}

/** One request as it arrived. */
struct ScriptedRequest
{
    std::string head_;
    std::string body_;
    /** Index of the request on its connection, from 0. */
    int indexOnConnection_ = 0;
    /** Index of the request on the server, from 0. */
    int indexOnServer_ = 0;
};

/** What a scripted server does with a connection that it has accepted. */
enum class ScriptedMode {
    /** Responds to each request once it is complete. */
    AfterRequest,
    /** Responds to the first request once its head is complete, and reads nothing after that. */
    AfterHead,
    /** Responds to each request once its head is complete, and then reads its body. */
    BeforeBody,
    /** Sends one reply at once and waits for no request. */
    AtOnce,
    /** Resets the connection at once. */
    Reset,
};

/** Accepts connections until it is destroyed and serves each on its own thread. */
class ScriptedServer
{
public:
    using Script = std::function<ScriptedReply(const ScriptedRequest &)>;

    /** Limit of repeated bytes on one connection, so that a test ends even if its client has no limit. */
    static constexpr auto maximumRepeatedBytes = std::size_t { 256 } * 1024 * 1024;

    ScriptedServer(const std::string &ip, Script script, ScriptedMode mode = ScriptedMode::AfterRequest)
        : script_(std::move(script))
        , mode_(mode)
    {
        auto address = sockaddr_in {};
        address.sin_family = AF_INET;
        inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        bind(listener_, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        listen(listener_, 64);
        auto size = socklen_t { sizeof(address) };
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &size);
        address_ = ip + ":" + std::to_string(ntohs(address.sin_port));
        acceptor_ = std::thread([this] {
            accept();
        });
    }

    ~ScriptedServer()
    {
        ended_ = true;
        shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        for (auto &thread : threads_) {
            thread.join();
        }
        ::close(listener_);
    }

    ScriptedServer(const ScriptedServer &) = delete;
    auto operator=(const ScriptedServer &) -> ScriptedServer & = delete;

    [[nodiscard]] auto address() const -> const std::string &
    {
        return address_;
    }

    /** Requests received so far. */
    [[nodiscard]] auto requestCount() const -> int
    {
        return requests_;
    }

    /** Connections accepted so far. */
    [[nodiscard]] auto connectionCount() const -> int
    {
        return connections_;
    }

    /** Bytes that the peers' systems have accepted so far on connections with repeated bytes. */
    [[nodiscard]] auto sentBytes() const -> std::size_t
    {
        return sentBytes_;
    }

    /** Every byte received so far. */
    [[nodiscard]] auto receivedBytes() const -> std::string
    {
        const auto lock = absl::MutexLock(&mutex_);
        return received_;
    }

private:
    auto accept() -> void
    {
        while (!ended_) {
            const auto socket = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
            if (socket < 0) {
                return;
            }
            connections_ += 1;
            threads_.emplace_back([this, socket] {
                serve(TcpConnection(socket));
            });
        }
    }

    auto waitUntil(absl::Time time) const -> void
    {
        while (!ended_ && monotonicNow() < time) {
            absl::SleepFor(absl::Milliseconds(2));
        }
    }

    auto readBody(RequestReader &reader) const -> std::string
    {
        auto status = MessageStatus::TimedOut;
        for (auto tries = 0; !ended_ && status == MessageStatus::TimedOut && tries < maximumBodyWaits; ++tries) {
            status = reader.readBody(std::size_t { 1 } << 26, monotonicNow() + pollTime);
        }
        return reader.request().body_.text();
    }

    auto sendRepeatedly(TcpConnection &connection, const std::string &repeated) -> void
    {
        auto block = std::string {};
        while (block.size() < std::size_t { 64 } * 1024) {
            block += repeated;
        }
        auto status = TransferStatus::Done;
        for (auto sent = std::size_t { 0 }; !ended_ && status == TransferStatus::Done && sent < maximumRepeatedBytes; sent += block.size()) {
            status = connection.write(block, monotonicNow() + writeTime);
            sentBytes_ += block.size();
        }
    }

    /** Returns whether the connection stays open. */
    auto send(TcpConnection &connection, const ScriptedReply &reply) -> bool
    {
        waitUntil(monotonicNow() + reply.delay_);
        const auto status = connection.write(reply.bytes_, monotonicNow() + writeTime);
        if (status == TransferStatus::Done && !reply.repeated_.empty()) {
            sendRepeatedly(connection, reply.repeated_);
            return false;
        }
        if (reply.finishesWriting_) {
            connection.finishWriting();
        }
        waitUntil(monotonicNow() + reply.endDelay_);
        if (reply.reset_) {
            connection.abort();
        }
        return status == TransferStatus::Done && !reply.close_ && !reply.reset_;
    }

    auto serve(TcpConnection connection) -> void
    {
        if (mode_ == ScriptedMode::Reset) {
            connection.abort();
            return;
        }
        if (mode_ == ScriptedMode::AtOnce) {
            static_cast<void>(send(connection, script_(ScriptedRequest {})));
            return;
        }
        for (auto indexOnConnection = 0; !ended_; ++indexOnConnection) {
            auto reader = RequestReader(connection);
            auto status = MessageStatus::TimedOut;
            while (!ended_ && status == MessageStatus::TimedOut) {
                status = reader.readHead(1 << 20, monotonicNow() + pollTime);
            }
            if (status != MessageStatus::Complete) {
                return;
            }
            const auto &content = reader.request();
            const auto head = serializeHead(RequestContent { content.method_, content.target_, content.headers_, "" });
            const auto body = mode_ == ScriptedMode::AfterRequest ? readBody(reader) : "";
            const auto request = ScriptedRequest { head, body, indexOnConnection, requests_.fetch_add(1) };
            {
                const auto lock = absl::MutexLock(&mutex_);
                received_ += request.head_ + request.body_;
            }
            const auto reply = script_(request);
            if (!send(connection, reply)) {
                return;
            }
            if (mode_ == ScriptedMode::BeforeBody) {
                static_cast<void>(readBody(reader));
            }
            if (mode_ == ScriptedMode::AfterHead) {
                waitUntil(absl::InfiniteFuture());
            }
            waitUntil(monotonicNow() + reply.lateDelay_);
            static_cast<void>(connection.write(reply.lateBytes_, monotonicNow() + writeTime));
        }
    }

    static constexpr auto pollTime = absl::Milliseconds(20);
    static constexpr auto writeTime = absl::Seconds(5);
    /** Longest wait for a request body, in units of pollTime. */
    static constexpr auto maximumBodyWaits = 250;

    Script script_;
    const ScriptedMode mode_;
    int listener_ = -1;
    std::string address_;
    std::atomic<bool> ended_ = false;
    std::atomic<int> requests_ = 0;
    std::atomic<int> connections_ = 0;
    std::atomic<std::size_t> sentBytes_ = 0;
    std::thread acceptor_;
    std::vector<std::thread> threads_;
    mutable absl::Mutex mutex_;
    std::string received_ ABSL_GUARDED_BY(mutex_);
};

}
