// The part of CallerServer that closes connections: expired ones, idle ones when the server stops, and those that hold memory without need.
#include "core/log.h"
#include "process/callerserverstate.h"
#include "process/processdelay.h"

#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto timeoutCheckInterval = absl::Milliseconds(250);

// How long a caller has to close its end after the last response (lingering close).
constexpr auto lingerTimeout = absl::Seconds(1);

}

auto CallerServer::State::timeoutOf(const CallerConnection &connection) const -> absl::Duration
{
    if (connection.lingering_) {
        return lingerTimeout;
    }
    if (connection.reader_) {
        // Not shorter than the caller's own deadline, or it would abort uploads that are only slow.
        return settings_.bodyTimeout_;
    }
    const auto limits = currentLimits();
    return connection.headBegun_ ? limits.headTimeout_ : limits.idleTimeout_;
}

auto CallerServer::State::isExpired(const CallerConnection &connection, absl::Time now) const -> bool
{
    return now - connection.waitingSince_ > timeoutOf(connection);
}

// Closes waiting connections and returns their number.
auto CallerServer::State::closeIf(absl::FunctionRef<bool(const CallerConnection &)> condition) -> std::size_t
{
    auto closed = std::size_t { 0 };
    for (auto &shard : shards_) {
        const auto lock = absl::MutexLock(&shard.mutex_);
        closed += absl::erase_if(shard.waiting_, [&](const auto &item) {
            return condition(*item.second);
        });
    }
    openConnections_ -= closed;
    return closed;
}

// Closes the connections whose timeout has expired, and with includeIdle also every one without a request.
auto CallerServer::State::closeExpired(absl::Time now, bool includeIdle) -> void
{
    closeIf([&](const CallerConnection &connection) {
        return isExpired(connection, now) || (includeIdle && !connection.reader_ && connection.connection_.isOpenAndIdle());
    });
}

// Callers that stop within their bodies would otherwise keep the memory from the others until the timeout of bodies.
auto CallerServer::State::closeStalledBodies(absl::Time now) -> void
{
    const auto rejections = settings_.bodyMemory_ ? settings_.bodyMemory_->rejections() : 0;
    if (std::exchange(lastRejections_, rejections) == rejections) {
        return;
    }
    const auto closed = closeIf([&](const CallerConnection &connection) {
        return connection.reader_ && now - connection.bodyProgressAt_ > settings_.stalledBodyTimeout_;
    });
    if (closed > 0) {
        stalledBodies_ += static_cast<std::int64_t>(closed);
        logLine(wallNow(), LogLevel::Warning, "stalled_bodies_closed", { { "count", std::to_string(closed) } });
    }
}

auto CallerServer::State::checkTimeouts() -> void
{
    auto before = readWake();
    while (!timeoutChecksEnd_.WaitForNotificationWithTimeout(timeoutCheckInterval)) {
        const auto now = readWake();
        if (const auto delay = delayBetween(before, now, timeoutCheckInterval)) {
            logDelay(*delay);
        }
        before = now;
        closeExpired(now.at_, false);
        closeStalledBodies(now.at_);
    }
}

}
