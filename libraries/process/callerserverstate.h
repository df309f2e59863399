/** The state of CallerServer; included by its source files only. */
#pragma once

#include "core/clock.h"
#include "process/callerconnection.h"
#include "process/callerserver.h"
#include "process/listeningsockets.h"
#include "request/refusal.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/functional/function_ref.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace lycheecleat
{

/** What to do with a connection next. */
enum class ConnectionStep {
    /** Wait for input. */
    Wait,
    /** Another request may be buffered already. */
    Continue,
    /** Wait until the caller closes the connection, so that the last response isn't lost to a reset. */
    Linger,
    Close,
};

/** Connections, threads and counts of a server. */
struct CallerServer::State
{
    static constexpr auto shardCount = std::size_t { 16 };
    /** Epoll identifiers below belong to the wake event and the listeners. */
    static constexpr auto firstConnectionId = std::uint64_t { 16 };

    struct Shard
    {
        absl::Mutex mutex_;
        absl::flat_hash_map<std::uint64_t, std::unique_ptr<CallerConnection>> waiting_ ABSL_GUARDED_BY(mutex_);
    };

    State(CallerServerSettings settings, CallerHandlers handlers);
    ~State();

    auto bind() -> Result<void>;
    auto listenOn(const std::string &address) -> Result<int>;
    auto runWorker() -> void;
    auto checkTimeouts() -> void;
    auto acceptAll(std::size_t listener) -> void;
    auto serveReceivedRequest(CallerConnection &connection) -> ConnectionStep;
    auto endRequest(CallerConnection &connection, ConnectionStep next) -> ConnectionStep;
    auto write(CallerConnection &connection, const std::string &method, CallerResponse response) -> ConnectionStep;
    auto addThread() -> void;
    auto currentLimits() const -> CallerLimits;
    auto waitForInput(std::uint64_t id, std::unique_ptr<CallerConnection> connection, bool isNew) -> void;
    auto takeWaiting(std::uint64_t id) -> std::unique_ptr<CallerConnection>;
    auto serveConnection(std::uint64_t id) -> void;
    auto serveNext(CallerConnection &connection) -> ConnectionStep;
    auto discard(CallerConnection &connection) -> ConnectionStep;
    auto serveRequest(CallerConnection &connection) -> ConnectionStep;
    auto respond(CallerConnection &connection, const std::string &method, const httplib::Response &response, bool close) -> ConnectionStep;
    auto refuse(CallerConnection &connection, Refusal refusal, std::string_view detail, Outcome outcome = Outcome::NotRun) -> ConnectionStep;
    auto timeoutOf(const CallerConnection &connection) const -> absl::Duration;
    auto isExpired(const CallerConnection &connection, absl::Time now) const -> bool;
    auto closeIf(absl::FunctionRef<bool(const CallerConnection &)> condition) -> std::size_t;
    auto closeExpired(absl::Time now, bool includeIdle) -> void;
    auto closeStalledBodies(absl::Time now) -> void;

    CallerServerSettings settings_;
    CallerHandlers handlers_;
    ListeningSockets listeners_;
    int epoll_ = -1;
    int wakeDescriptor_ = -1;
    int port_ = 0;
    std::array<Shard, shardCount> shards_;
    std::atomic<std::uint64_t> nextId_ = firstConnectionId;
    std::atomic<std::size_t> openConnections_ = 0;
    std::atomic<int> activeConnections_ = 0;
    std::atomic<int> unansweredRequests_ = 0;
    std::atomic<std::int64_t> bodiesWithoutRoom_ = 0;
    std::atomic<std::int64_t> stalledBodies_ = 0;
    std::atomic<std::int64_t> connectionsBeyondLimit_ = 0;
    /** Rejections of the budget at the last check for stalled bodies. */
    std::int64_t lastRejections_ = 0;
    std::atomic<bool> draining_ = false;
    std::atomic<bool> stopped_ = false;
    absl::Notification timeoutChecksEnd_;
    /** Threads that wait in epoll_wait. */
    std::atomic<int> idleThreads_ = 0;
    absl::Mutex threadsMutex_;
    std::vector<std::thread> threads_ ABSL_GUARDED_BY(threadsMutex_);
    std::thread timeoutThread_;
};

}
