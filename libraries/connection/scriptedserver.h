/** A backend server for tests that responds with exactly the given bytes. */
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
};

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

/** Accepts connections until it is destroyed and serves each on its own thread. */
class ScriptedServer
{
public:
    using Script = std::function<ScriptedReply(const ScriptedRequest &)>;

    /** With resetsConnections, resets each connection as soon as it is accepted. */
    ScriptedServer(const std::string &ip, Script script, bool resetsConnections = false)
        : script_(std::move(script))
        , resetsConnections_(resetsConnections)
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

    auto serve(TcpConnection connection) -> void
    {
        if (resetsConnections_) {
            connection.abort();
            return;
        }
        for (auto indexOnConnection = 0; !ended_; ++indexOnConnection) {
            auto reader = RequestReader(connection);
            auto status = MessageStatus::TimedOut;
            while (!ended_ && status == MessageStatus::TimedOut) {
                status = reader.readHead(1 << 20, monotonicNow() + absl::Milliseconds(20));
            }
            if (status != MessageStatus::Complete) {
                return;
            }
            static_cast<void>(reader.readBody(1 << 24, monotonicNow() + absl::Seconds(5)));
            const auto &content = reader.request();
            const auto head = serializeHead(RequestContent { content.method_, content.target_, content.headers_, "" });
            const auto request = ScriptedRequest { head, content.body_.text(), indexOnConnection, requests_.fetch_add(1) };
            {
                const auto lock = absl::MutexLock(&mutex_);
                received_ += request.head_ + request.body_;
            }
            const auto reply = script_(request);
            waitUntil(monotonicNow() + reply.delay_);
            const auto writeStatus = connection.write(reply.bytes_, monotonicNow() + absl::Seconds(5));
            if (reply.reset_) {
                connection.abort();
            }
            if (writeStatus != TransferStatus::Done || reply.close_ || reply.reset_) {
                return;
            }
            waitUntil(monotonicNow() + reply.lateDelay_);
            static_cast<void>(connection.write(reply.lateBytes_, monotonicNow() + absl::Seconds(5)));
        }
    }

    Script script_;
    const bool resetsConnections_;
    int listener_ = -1;
    std::string address_;
    std::atomic<bool> ended_ = false;
    std::atomic<int> requests_ = 0;
    std::atomic<int> connections_ = 0;
    std::thread acceptor_;
    std::vector<std::thread> threads_;
    mutable absl::Mutex mutex_;
    std::string received_ ABSL_GUARDED_BY(mutex_);
};

}
