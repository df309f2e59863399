#include "process/peerserver.h"

#include "core/clock.h"
#include "core/log.h"
#include "core/socketaddress.h"

#include <absl/time/clock.h>
#include <absl/time/time.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/server/TThreadedServer.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TServerSocket.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <atomic>
#include <future>
#include <thread>
#include <utility>

namespace lycheecleat
{

namespace
{

using apache::thrift::protocol::TBinaryProtocolFactory;
using apache::thrift::server::TServerEventHandler;
using apache::thrift::server::TThreadedServer;
using apache::thrift::transport::TFramedTransportFactory;
using apache::thrift::transport::TServerSocket;
using apache::thrift::transport::TTransportException;

/** A connection without a call for this long is closed. Longer than the time for which peers keep idle connections open. */
constexpr auto idleTimeout = absl::Seconds(30);

/** A connection is closed when its peer doesn't read a reply for this long. */
constexpr auto sendTimeout = absl::Seconds(5);

constexpr auto acceptFailurePause = absl::Milliseconds(50);

/** Sets the start result to "" (no error) once the server listens. */
class ListeningSignal : public TServerEventHandler
{
public:
    ListeningSignal(std::promise<std::string> &startResult, std::atomic<bool> &hasStarted)
        : startResult_(startResult)
        , hasStarted_(hasStarted)
    {
    }

    auto preServe() -> void override
    {
        hasStarted_ = true;
        startResult_.set_value("");
    }

private:
    std::promise<std::string> &startResult_;
    std::atomic<bool> &hasStarted_;
};

/** Pauses after a failure, since without a free descriptor Thrift would try to accept the same connection again and again without a pause. */
class PausingServerSocket : public TServerSocket
{
public:
    using TServerSocket::TServerSocket;

protected:
    auto acceptImpl() -> std::shared_ptr<apache::thrift::transport::TTransport> override
    {
        try {
            return TServerSocket::acceptImpl();
        } catch (const TTransportException &exception) {
            if (exception.getType() != TTransportException::INTERRUPTED) {
                absl::SleepFor(acceptFailurePause);
            }
            throw;
        }
    }
};

auto makeServerSocket(const SocketAddress &address) -> std::shared_ptr<TServerSocket>
{
    auto socket = std::make_shared<PausingServerSocket>(address.ip_, address.port_);
    socket->setRecvTimeout(static_cast<int>(absl::ToInt64Milliseconds(idleTimeout)));
    socket->setSendTimeout(static_cast<int>(absl::ToInt64Milliseconds(sendTimeout)));
    socket->setAcceptCallback([](int descriptor) {
        const auto enabled = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    });
    return socket;
}

}

struct PeerServer::State
{
    std::shared_ptr<apache::thrift::TProcessor> processor_;
    std::unique_ptr<TThreadedServer> server_;
    std::thread thread_;
    std::promise<std::string> startResult_;
    std::atomic<bool> hasStarted_ = false;

    auto serve() -> void
    {
        try {
            server_->serve();
        } catch (const std::exception &exception) {
            if (hasStarted_.exchange(true)) {
                logLine(wallNow(), LogLevel::Error, "peer_server_ended", { { "error", exception.what() } });
            } else {
                startResult_.set_value(exception.what());
            }
        }
    }
};

PeerServer::PeerServer(std::string address, std::shared_ptr<apache::thrift::TProcessor> processor)
    : address_(std::move(address))
    , state_(std::make_unique<State>())
{
    state_->processor_ = std::move(processor);
}

PeerServer::~PeerServer()
{
    stop();
}

auto PeerServer::start() -> Result<void>
{
    const auto address = parseSocketAddress(address_);
    if (!address) {
        return makeError("listen for peers", address_, "is not an IP address with a port");
    }
    state_->server_ = std::make_unique<TThreadedServer>(
        state_->processor_, makeServerSocket(*address), std::make_shared<TFramedTransportFactory>(), std::make_shared<TBinaryProtocolFactory>());
    state_->server_->setServerEventHandler(std::make_shared<ListeningSignal>(state_->startResult_, state_->hasStarted_));
    state_->thread_ = std::thread([this] {
        state_->serve();
    });
    const auto failure = state_->startResult_.get_future().get();
    if (!failure.empty()) {
        state_->thread_.join();
        return makeError("listen for peers", address_, failure);
    }
    return {};
}

auto PeerServer::stop() -> void
{
    if (!state_->thread_.joinable()) {
        return;
    }
    state_->server_->stop();
    state_->thread_.join();
}

}
