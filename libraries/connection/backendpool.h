/** Connections to backend servers, and the exchange of one request for one whole response over them. */
#pragma once

#include "connection/bytebudget.h"
#include "connection/tcpconnection.h"
#include "request/httpfields.h"
#include "request/idempotencytable.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** What is known after an exchange with a backend server. */
enum class ExchangeStatus {
    /** The whole response has been received. */
    Complete,
    /** No byte of the request has left this host. */
    NotSent,
    /** The connection ended before the first byte of a response. */
    ClosedWithoutResponse,
    /** The response is cut, undelimited, malformed or too large. */
    Incomplete,
    /** The deadline passed. */
    TimedOut,
    /** No byte of a response came within the first-byte limit. */
    Silent,
    /** The caller left before the response was whole. */
    Abandoned,
};

/** Name of an exchange status for log lines. */
[[nodiscard]] auto exchangeStatusName(ExchangeStatus status) -> std::string_view;

/** One request to one backend server. */
struct BackendCall
{
    /** IP address and port. */
    std::string address_;
    /** Monotonic time by which the response must be whole. */
    absl::Time deadline_;
    /** Whether the request may run more than once. Otherwise connections that have been idle for long are not used. */
    bool repeatable_ = false;
    /** Longest wait for the first byte of the response on a connection that was used before. */
    absl::Duration firstByteTimeout_ = absl::InfiniteDuration();
    /** Leaves pooled connections out: what made one of them unresponsive may have done the same to all. */
    bool needsNewConnection_ = false;
    /** Organisation that the backend server is told; empty on open routes. */
    std::string organisation_ = {};
    /** Socket of the caller; the exchange ends once it is closed. -1 when the response is wanted in any case. */
    int callerSocket_ = -1;
    /** Identifier of the backend server for which the request is meant; another one at the address must reject it. */
    std::string expectedInstance_ = {};
    /** Value of the request identifier header that the response must echo; empty when none is expected. */
    std::string requestId_ = {};
};

/** Headers that this process sets on requests to backend servers. A caller's value is removed. */
struct BackendHeaders
{
    std::string deadline_ = "X-Request-Timeout-Ms";
    std::string organisation_ = "X-Organisation";
    /** Names the backend server for which a request is meant; empty when the protocol has none. */
    std::string expectedInstance_;
    /** Identifies a request, and is echoed in its response; empty when the protocol does not echo it. */
    std::string requestId_;
};

/** The result of an exchange. */
struct BackendExchange
{
    ExchangeStatus status_ = ExchangeStatus::NotSent;
    /** The response without hop-by-hop headers, when it is whole. */
    HttpResponse answer_;
    /** The backend server closes the connection; it may be about to leave. */
    bool closing_ = false;
    bool connectionReused_ = false;
    /** The connection had been idle so long that the server may have been about to close it. */
    bool wasIdleForLong_ = false;
    /** What went wrong, for log lines. */
    std::string detail_;
};

/** How connections to backend servers are kept. */
struct BackendPoolSettings
{
    absl::Duration connectTimeout_ = absl::Milliseconds(500);
    /** Common servers close idle connections after 5 s; closing first avoids sending on a connection that is being closed. */
    absl::Duration idleLimit_ = absl::Seconds(4);
    /** Idle limit for requests that may run only once, whose loss on a closing connection would have an unknown outcome. */
    absl::Duration nonRepeatableIdleLimit_ = absl::Seconds(1);
    std::size_t maximumIdlePerServer_ = 64;
    std::size_t maximumResponseHead_ = std::size_t { 64 } * 1024;
    std::size_t maximumResponseBody_ = std::size_t { 64 } * 1024 * 1024;
    /** Bytes of all response bodies that are being read at once. */
    std::size_t responseMemory_ = std::size_t { 512 } * 1024 * 1024;
    /** Takes a response body that ends with its connection as whole. */
    bool acceptsUndelimited_ = false;
    BackendHeaders headers_ = {};
};

/** Keeps idle connections by backend server address. Never sends a request twice. Thread-safe. */
class BackendPool
{
public:
    explicit BackendPool(BackendPoolSettings settings = {});

    /** Sends a request and receives its response. After any failure the connection is closed. */
    [[nodiscard]] auto exchange(const BackendCall &call, const RequestContent &request) -> BackendExchange;

    /** Whether a backend server takes a new connection, which is closed at once. */
    [[nodiscard]] auto isAccepting(const std::string &address) const -> bool;

    /** Closes the idle connections to a backend server. */
    auto closeIdle(const std::string &address) -> void;

    /** Number of idle connections to a backend server. */
    [[nodiscard]] auto idleCount(const std::string &address) const -> std::size_t;

private:
    struct IdleConnection
    {
        TcpConnection connection_;
        absl::Time idleSince_;
        /** Connections opened before the last closeIdle call have a lower generation and are not kept. */
        std::uint64_t generation_;
    };
    struct Server
    {
        std::vector<IdleConnection> idle_;
        std::uint64_t generation_ = 0;
    };
    struct Shard
    {
        mutable absl::Mutex mutex_;
        absl::flat_hash_map<std::string, Server> servers_ ABSL_GUARDED_BY(mutex_);
    };
    static constexpr auto shardCount = std::size_t { 16 };

    [[nodiscard]] auto shardOf(const std::string &address) const -> Shard &;
    [[nodiscard]] auto takeIdle(const BackendCall &call) -> std::optional<IdleConnection>;
    auto keepIdle(const std::string &address, IdleConnection connection) -> void;
    [[nodiscard]] auto generationOf(const std::string &address) -> std::uint64_t;

    BackendPoolSettings settings_;
    ByteBudget responseMemory_;
    mutable std::array<Shard, shardCount> shards_;
};

}
