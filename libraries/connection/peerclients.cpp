#include "connection/peerclients.h"

#include "core/clock.h"
#include "core/socketaddress.h"
#include "generated/Peer.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <thrift/TOutput.h>
#include <thrift/protocol/TBinaryProtocol.h>
#include <thrift/transport/TBufferTransports.h>
#include <thrift/transport/TSocket.h>

#include <algorithm>
#include <atomic>
#include <optional>
#include <utility>
#include <vector>

namespace lycheecleat
{

namespace
{

using apache::thrift::protocol::TBinaryProtocol;
using apache::thrift::transport::TFramedTransport;
using apache::thrift::transport::TSocket;

/** Idle connections per peer. State exchanges and loans rarely need more at the same time. */
constexpr auto maximumIdleConnections = std::size_t { 8 };

/** Idle time after which a connection is closed. Peers have a longer limit, so that a call isn't sent on a connection that the peer is closing. */
constexpr auto maximumIdleTime = absl::Seconds(10);

/** Bytes transferred on all connections. */
struct ByteCounts
{
    std::atomic<std::int64_t> sent_ = 0;
    std::atomic<std::int64_t> received_ = 0;
};

/** A socket that counts the bytes that it transfers. */
class CountingSocket : public TSocket
{
public:
    CountingSocket(const SocketAddress &address, ByteCounts &counts)
        : TSocket(address.ip_, address.port_)
        , counts_(counts)
    {
    }

    auto read(uint8_t *buffer, uint32_t length) -> uint32_t override
    {
        const auto received = TSocket::read(buffer, length);
        counts_.received_ += received;
        return received;
    }

    auto write(const uint8_t *buffer, uint32_t length) -> void override
    {
        counts_.sent_ += length;
        TSocket::write(buffer, length);
    }

private:
    ByteCounts &counts_;
};

/** A framed Thrift connection. */
struct Connection
{
    std::shared_ptr<TSocket> socket_;
    std::unique_ptr<peer::PeerClient> client_;
    absl::Time idleSince_ = absl::InfinitePast();
};

auto disableThriftOutput() -> void
{
    // By default Thrift prints connection failures. Here they are returned as errors and logged by the caller.
    static const auto once = [] {
        apache::thrift::GlobalOutput.setOutputFunction([](const char *) {});
        return true;
    }();
    static_cast<void>(once);
}

auto toMilliseconds(absl::Duration timeout) -> int
{
    return static_cast<int>(std::max<std::int64_t>(1, absl::ToInt64Milliseconds(timeout)));
}

auto setTimeouts(TSocket &socket, absl::Duration timeout) -> void
{
    const auto milliseconds = toMilliseconds(timeout);
    socket.setConnTimeout(milliseconds);
    socket.setSendTimeout(milliseconds);
    socket.setRecvTimeout(milliseconds);
}

auto openConnection(const SocketAddress &address, absl::Duration timeout, ByteCounts &counts) -> Connection
{
    auto connection = Connection {};
    connection.socket_ = std::make_shared<CountingSocket>(address, counts);
    connection.socket_->setNoDelay(true);
    setTimeouts(*connection.socket_, timeout);
    const auto framed = std::make_shared<TFramedTransport>(connection.socket_);
    connection.client_ = std::make_unique<peer::PeerClient>(std::make_shared<TBinaryProtocol>(framed));
    framed->open();
    return connection;
}

}

/** Idle connections by peer address. */
struct PeerClients::ConnectionPool
{
    auto acquireIdle(const std::string &address, absl::Time now) -> std::optional<Connection>
    {
        const auto lock = absl::MutexLock(&mutex_);
        auto &idle = idle_[address];
        while (!idle.empty()) {
            auto connection = std::move(idle.back());
            idle.pop_back();
            if (now - connection.idleSince_ <= maximumIdleTime) {
                return connection;
            }
        }
        return std::nullopt;
    }

    auto release(const std::string &address, Connection connection, absl::Time now) -> void
    {
        connection.idleSince_ = now;
        const auto lock = absl::MutexLock(&mutex_);
        auto &idle = idle_[address];
        if (idle.size() < maximumIdleConnections) {
            idle.push_back(std::move(connection));
        }
    }

    /** Runs one call on a pooled or new connection, which returns to the pool only after success. */
    template<typename Reply, typename Call>
    auto callPeer(const char *kind, const char *step, const std::string &address, absl::Duration timeout, Call call) -> Result<Reply>
    {
        count(calls_, kind);
        disableThriftOutput();
        const auto parsed = parseSocketAddress(address);
        if (!parsed) {
            count(failures_, kind);
            return makeError(step, address, "is not an IP address with a port");
        }
        try {
            auto pooled = acquireIdle(address, monotonicNow());
            auto connection = pooled ? std::move(*pooled) : openConnection(*parsed, timeout, bytes_);
            setTimeouts(*connection.socket_, timeout);
            auto reply = Reply {};
            call(*connection.client_, reply);
            release(address, std::move(connection), monotonicNow());
            return reply;
        } catch (const std::exception &exception) {
            count(failures_, kind);
            return makeError(step, address, exception.what());
        }
    }

    auto count(std::map<std::string, std::int64_t> &counts, const char *kind) -> void
    {
        const auto lock = absl::MutexLock(&countMutex_);
        ++counts[kind];
    }

    auto traffic() -> PeerTraffic
    {
        const auto lock = absl::MutexLock(&countMutex_);
        return PeerTraffic { calls_, failures_, bytes_.sent_, bytes_.received_ };
    }

    ByteCounts bytes_;
    absl::Mutex countMutex_;
    std::map<std::string, std::int64_t> calls_;
    std::map<std::string, std::int64_t> failures_;
    absl::Mutex mutex_;
    absl::flat_hash_map<std::string, std::vector<Connection>> idle_ ABSL_GUARDED_BY(mutex_);
};

PeerClients::PeerClients()
    : connections_(std::make_unique<ConnectionPool>())
{
}

PeerClients::~PeerClients() = default;

auto PeerClients::traffic() const -> PeerTraffic
{
    return connections_->traffic();
}

auto PeerClients::exchange(const std::string &address, const peer::HostState &state, absl::Duration timeout) -> Result<peer::HostState>
{
    return connections_->callPeer<peer::HostState>(
        "exchange", "exchange state with peer", address, timeout, [&](peer::PeerClient &client, peer::HostState &reply) {
            client.exchange(reply, state);
        });
}

auto PeerClients::fetchBundle(const std::string &address, std::int64_t revision, absl::Duration timeout) -> Result<peer::ConfigurationBundle>
{
    const auto call = [&](peer::PeerClient &client, peer::ConfigurationBundle &reply) {
        client.fetchBundle(reply, revision);
    };
    return connections_->callPeer<peer::ConfigurationBundle>("fetch_bundle", "fetch configuration from peer", address, timeout, call);
}

auto PeerClients::borrowRate(const std::string &address,
                             const std::string &borrower,
                             std::int64_t revision,
                             const std::string &limit,
                             double rate,
                             double burst,
                             absl::Duration timeout) -> Result<peer::RateLoan>
{
    return connections_->callPeer<peer::RateLoan>(
        "borrow_rate", "borrow rate from peer", address, timeout, [&](peer::PeerClient &client, peer::RateLoan &reply) {
            client.borrowRate(reply, borrower, revision, limit, rate, burst);
        });
}

auto PeerClients::borrowSlots(const std::string &address,
                              const std::string &borrower,
                              std::int64_t revision,
                              const std::string &pool,
                              int count,
                              absl::Duration timeout) -> Result<peer::SlotLoan>
{
    return connections_->callPeer<peer::SlotLoan>(
        "borrow_slots", "borrow slots from peer", address, timeout, [&](peer::PeerClient &client, peer::SlotLoan &reply) {
            client.borrowSlots(reply, borrower, revision, pool, count);
        });
}

auto PeerClients::returnSlots(const std::string &address,
                              const std::string &borrower,
                              const std::string &pool,
                              std::int64_t loan,
                              const std::map<std::string, int> &remainingSlots,
                              absl::Duration timeout) -> Result<bool>
{
    return connections_->callPeer<bool>("return_slots", "return slots to peer", address, timeout, [&](peer::PeerClient &client, bool &reply) {
        client.returnSlots(borrower, pool, loan, remainingSlots);
        reply = true;
    });
}

auto PeerClients::forward(const std::string &address, const peer::ForwardedRequest &request, absl::Duration timeout) -> Result<peer::ForwardedAnswer>
{
    const auto call = [&](peer::PeerClient &client, peer::ForwardedAnswer &reply) {
        client.forward(reply, request);
    };
    return connections_->callPeer<peer::ForwardedAnswer>("forward", "forward request to peer", address, timeout, call);
}

}
