/** Pooled HTTP connections to backend servers, each used for one request and response at a time. */
#pragma once

#include "connection/responserest.h"
#include "connection/tcpconnection.h"
#include "core/bytebudget.h"
#include "request/httpfields.h"
#include "request/idempotencytable.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** How an exchange with a backend server ended. */
enum class ExchangeStatus {
    /** The complete response has been received. */
    Complete,
    /** No byte of the request was sent. */
    NotSent,
    /** No byte of the request was sent, since maySend_ of the call returned false. */
    Cancelled,
    /** No byte of the request was sent, since the caller had closed its connection. */
    CallerLeft,
    /** The connection was closed or reset before the first byte of a response. */
    ClosedWithoutResponse,
    /** The response is truncated, undelimited, malformed, too large or to another request. */
    Incomplete,
    /** The deadline passed before the response was complete. */
    TimedOut,
    /** No byte of a response arrived within the first-byte timeout. */
    Silent,
    /** The caller closed its connection after the request was sent and before the response was complete. */
    Abandoned,
};

/** Name of an exchange status for log lines. */
[[nodiscard]] auto exchangeStatusName(ExchangeStatus status) -> std::string_view;

/** One start of a backend server, to which connections belong; another one may have the same address later. */
struct ConnectionPeer
{
    std::string name_;
    std::int64_t incarnation_ = 0;

    auto operator==(const ConnectionPeer &other) const -> bool = default;
};

/** One request to one backend server. */
struct BackendCall
{
    /** IP address and port. */
    std::string address_;
    /** Monotonic time by which the response must be complete. */
    absl::Time deadline_;
    /** Whether the request may run more than once. Otherwise connections idle for longer than nonRepeatableIdleLimit_ are not reused. */
    bool repeatable_ = false;
    /** Longest wait for the first byte of the response on a reused connection. */
    absl::Duration firstByteTimeout_ = absl::InfiniteDuration();
    /** Whether to open a new connection instead of reusing one, since the cause that made one pooled connection unresponsive may affect them all. */
    bool needsNewConnection_ = false;
    /** Organisation sent to the backend server; empty on open routes. */
    std::string organisation_ = {};
    /**
     * Socket of the caller. The request is not sent once the caller has closed its connection, and the exchange of a repeatable request is abandoned. -1 when
     * there is none.
     */
    int callerSocket_ = -1;
    /** The intended backend server; another server that now has the address must reject the request. */
    ConnectionPeer peer_ = {};
    /** Value of the request identifier header that the response must echo; empty when none is expected. */
    std::string requestId_ = {};
    /** Whether the result may hold the first part of a response only, with the rest of it. */
    bool acceptsPart_ = false;
    /** Called once the connection is open, just before the request is written, since the server may have been marked meanwhile; may be empty. */
    std::function<bool()> maySend_ = {};
};

/**
 * Names of headers on requests to backend servers. This process sets them and removes the caller's values, except for the request identifier, which it
 * forwards.
 */
struct BackendHeaders
{
    std::string deadline_ = "X-Request-Timeout-Ms";
    std::string organisation_ = "X-Organisation";
    /** Identifies the intended backend server; empty when the protocol has no such header. */
    std::string expectedInstance_;
    /** Identifies a request and is echoed in its response; empty when the protocol does not echo it. */
    std::string requestId_;
};

/** The result of an exchange. */
struct BackendExchange
{
    ExchangeStatus status_ = ExchangeStatus::NotSent;
    /**
     * The response without hop-by-hop headers; set when the status is Complete. If the head of the response was read and its body was not, it has the
     * status and headers only; otherwise its status is 0.
     */
    HttpResponse response_;
    /** What follows the part of the body in the response; only if the call accepts a part. */
    std::optional<ResponseRest> rest_ = std::nullopt;
    /** Monotonic time just before the request was written. */
    absl::Time sentAt_ = absl::InfinitePast();
    /** The backend server closes the connection after the response; it may be about to shut down. */
    bool closing_ = false;
    bool connectionReused_ = false;
    /** The connection had been idle for longer than nonRepeatableIdleLimit_, so the server may have been closing it. */
    bool wasIdleForLong_ = false;
    /** Description of the failure for log lines. */
    std::string detail_;
};

/** Timeouts and size limits of connections to backend servers. */
struct BackendPoolSettings
{
    absl::Duration connectTimeout_ = absl::Milliseconds(500);
    /** Common servers close idle connections after 5 s; closing earlier avoids sending a request on a connection that the server is closing. */
    absl::Duration idleLimit_ = absl::Seconds(4);
    /** Idle limit for requests that may run only once: if the server closes the connection meanwhile, the outcome of the request is unknown. */
    absl::Duration nonRepeatableIdleLimit_ = absl::Seconds(1);
    std::size_t maximumIdlePerServer_ = 64;
    /** Limit of idle connections to all servers together; beyond it those that have been idle for longest are closed. */
    std::size_t maximumIdle_ = 4096;
    std::size_t maximumResponseHead_ = std::size_t { 64 } * 1024;
    std::size_t maximumResponseBody_ = std::size_t { 64 } * 1024 * 1024;
    /** Largest part of a body that is held before it is passed on, if the call accepts a part. */
    std::size_t heldResponseBody_ = std::size_t { 1024 } * 1024;
    /** Budget of response bodies, from their first byte until they have been passed on. */
    ByteBudgetPointer bodyMemory_ = std::make_shared<ByteBudget>(ByteBudgetLimits { std::size_t { 512 } * 1024 * 1024 });
    /** Time for which isAccepting() waits for the end of a connection that it has opened; a busy machine closes the sockets of an ended process within it. */
    absl::Duration acceptedOpenTime_ = absl::Milliseconds(50);
    /** Descriptor that becomes readable when the process ends; exchanges then end as at their deadlines. -1 when there is none. */
    int endDescriptor_ = -1;
    /** Accepts a response body that is delimited only by the orderly close of its connection. */
    bool acceptsUndelimited_ = false;
    BackendHeaders headers_ = {};
};

/** Pool of idle connections by backend server address. Never retries a request. Thread-safe. */
class BackendPool
{
public:
    explicit BackendPool(BackendPoolSettings settings = {});

    /** Sends a request and receives its response. After any failure the connection is closed. */
    [[nodiscard]] auto exchange(const BackendCall &call, const RequestContent &request) -> BackendExchange;

    /** Whether a backend server goes on accepting connections, even if it closes them. Blocks for up to twice the connect timeout and acceptedOpenTime_. */
    [[nodiscard]] auto isAccepting(const std::string &address) const -> bool;

    /** Closes the idle connections to a backend server. */
    auto closeIdle(const std::string &address) -> void;

    /** Closes connections that have been idle for too long, and those to peers that are not in use any more. */
    auto closeUnused(absl::Time now, absl::FunctionRef<bool(const std::string &address, const ConnectionPeer &peer)> isInUse) -> void;

    /** Number of idle connections to all backend servers. */
    [[nodiscard]] auto idleCount() const -> std::size_t;

    /** Number of idle connections to a backend server. */
    [[nodiscard]] auto idleCount(const std::string &address) const -> std::size_t;

private:
    /** An exchange whose response has not been received completely. */
    struct OpenExchange;
    struct IdleConnection
    {
        TcpConnection connection_;
        absl::Time idleSince_;
        /** Connections opened before the last closeIdle call have a lower generation and do not return to the pool. */
        std::uint64_t generation_;
    };
    struct Server
    {
        ConnectionPeer peer_;
        /** The connection that has been idle for longest is first. */
        std::vector<IdleConnection> idle_;
        std::uint64_t generation_ = 0;
        /** Monotonic time at which the generation changed. */
        absl::Time generationSince_ = absl::InfinitePast();
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
    [[nodiscard]] auto receive(const std::shared_ptr<OpenExchange> &open, const BackendCall &call, const std::string &method) -> BackendExchange;
    [[nodiscard]] auto nextPart(OpenExchange &open) -> BodyPart;
    auto keepFinished(OpenExchange &open) -> void;
    [[nodiscard]] auto generationOf(const BackendCall &call) -> std::uint64_t;
    /** The server of a call, without the connections that belong to another peer. */
    [[nodiscard]] static auto serverOf(Shard &shard, const BackendCall &call) -> Server &;
    /** Makes open connections to a server useless; returns those that are idle. */
    static auto beginGeneration(Server &server, absl::Time now) -> std::vector<IdleConnection>;
    auto closeOldestIdle() -> void;

    BackendPoolSettings settings_;
    mutable std::array<Shard, shardCount> shards_;
    std::atomic<std::size_t> idleCount_ = 0;
};

}
