#include "process/recordfollower.h"

#include "connection/fleetpeers.h"
#include "core/clock.h"
#include "core/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

/** Longest wait of one watch. A silent store is noticed after it, and peers bring newer records before. */
constexpr auto watchWait = absl::Seconds(10);

/** Pause after changes, so that changes in quick succession need one call. */
constexpr auto batchPause = absl::Milliseconds(400);

constexpr auto firstBackoff = absl::Milliseconds(100);
constexpr auto longestBackoff = absl::Seconds(1);

/** How long newer records may still come from the store before a peer is asked. */
constexpr auto storeGrace = absl::Milliseconds(300);

constexpr auto fetchTimeout = absl::Milliseconds(800);
constexpr auto seedInterval = absl::Milliseconds(500);

/** A lease is renewed this many times within its lifetime. */
constexpr auto renewalsPerLifetime = 3;
constexpr auto registrationRetry = absl::Milliseconds(500);

auto logFailure(const char *event, const Error &error) -> void
{
    logLine(wallNow(), LogLevel::Warning, event, { { "error", describe(error) } });
}

}

RecordFollower::RecordFollower(RecordFollowerServices services)
    : services_(std::move(services))
{
}

RecordFollower::~RecordFollower()
{
    stop();
}

auto RecordFollower::start() -> void
{
    threads_.emplace_back([this] {
        watch();
    });
    threads_.emplace_back([this] {
        keepRegistered();
    });
    threads_.emplace_back([this] {
        catchUp();
    });
}

auto RecordFollower::stop() -> void
{
    if (threads_.empty()) {
        return;
    }
    stopping_.Notify();
    for (auto &thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

auto RecordFollower::hearOf(const NewerPeer &peer) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    if (!newer_ || newer_->asOf_ <= peer.asOf_) {
        newer_ = peer;
    }
}

auto RecordFollower::watch() -> void
{
    auto needsFullRead = true;
    auto backoff = firstBackoff;
    while (!stopping_.HasBeenNotified()) {
        const auto now = monotonicNow();
        const auto isAnswered = needsFullRead ? readAll(now) : watchOnce();
        services_.state_->noteStore(monotonicNow(), isAnswered);
        if (isAnswered) {
            needsFullRead = false;
            backoff = firstBackoff;
            stopping_.WaitForNotificationWithTimeout(batchPause);
            continue;
        }
        stopping_.WaitForNotificationWithTimeout(backoff);
        backoff = std::min(backoff * 2, longestBackoff);
    }
}

auto RecordFollower::readAll(absl::Time now) -> bool
{
    const auto read = attempt([&] {
        return services_.store_.readAll_();
    });
    if (const auto *error = std::get_if<Error>(&read)) {
        logFailure("store_read_failed", *error);
        return false;
    }
    services_.state_->applyFromStore(now, std::get<RecordBatch>(read));
    return true;
}

auto RecordFollower::watchOnce() -> bool
{
    const auto watched = attempt([&] {
        return services_.store_.watch_(services_.state_->asOf(), watchWait);
    });
    if (const auto *error = std::get_if<Error>(&watched)) {
        logFailure("store_watch_failed", *error);
        return false;
    }
    const auto &answer = std::get<WatchAnswer>(watched);
    if (answer.isHistoryLost_) {
        logLine(wallNow(), LogLevel::Warning, "store_history_lost", { { "revision", fmt::format("{}", services_.state_->asOf()) } });
        return readAll(monotonicNow());
    }
    services_.state_->applyFromStore(monotonicNow(), answer.batch_);
    return true;
}

auto RecordFollower::keepRegistered() -> void
{
    while (!stopping_.HasBeenNotified()) {
        auto lease = std::optional<HostLease> {};
        {
            const auto lock = absl::MutexLock(&mutex_);
            if (isLeaving_) {
                return;
            }
            lease = lease_;
        }
        auto pause = registrationRetry;
        if (!lease) {
            const auto registered = attempt([&] {
                return services_.store_.registerHost_(services_.hostName_, services_.registration_);
            });
            if (const auto *error = std::get_if<Error>(&registered)) {
                logFailure("registration_failed", *error);
            } else {
                const auto lock = absl::MutexLock(&mutex_);
                lease_ = std::get<HostLease>(registered);
                pause = lease_->lifetime_ / renewalsPerLifetime;
            }
        } else {
            const auto renewed = attempt([&] {
                return services_.store_.renewHost_(*lease);
            });
            const auto *isLive = std::get_if<bool>(&renewed);
            if (isLive == nullptr) {
                logFailure("lease_renewal_failed", std::get<Error>(renewed));
            } else if (*isLive) {
                pause = lease->lifetime_ / renewalsPerLifetime;
            } else {
                const auto lock = absl::MutexLock(&mutex_);
                lease_.reset();
                continue;
            }
        }
        stopping_.WaitForNotificationWithTimeout(pause);
    }
}

auto RecordFollower::deregister() -> void
{
    auto lease = std::optional<HostLease> {};
    {
        const auto lock = absl::MutexLock(&mutex_);
        isLeaving_ = true;
        lease = lease_;
    }
    if (!lease) {
        return;
    }
    const auto removed = attempt([&] {
        return services_.store_.removeHost_(*lease);
    });
    if (const auto *error = std::get_if<Error>(&removed)) {
        logFailure("deregistration_failed", *error);
    }
}

auto RecordFollower::catchUp() -> void
{
    while (!stopping_.WaitForNotificationWithTimeout(storeGrace)) {
        auto newer = std::optional<NewerPeer> {};
        {
            const auto lock = absl::MutexLock(&mutex_);
            newer = newer_;
        }
        if (services_.state_->asOf() == 0) {
            if (!newer || !fetchFrom(newer->peerAddress_)) {
                fetchFromSeeds();
            }
            continue;
        }
        // Heard of before the last pause, and the store has not brought it since.
        if (newer && newer->asOf_ > services_.state_->asOf()) {
            static_cast<void>(fetchFrom(newer->peerAddress_));
        }
        const auto lock = absl::MutexLock(&mutex_);
        newer_.reset();
    }
}

auto RecordFollower::fetchFrom(const std::string &peerAddress) -> bool
{
    const auto fetched = attempt([&] {
        return fetchRecords(peerAddress, services_.state_->asOf(), fetchTimeout);
    });
    if (const auto *error = std::get_if<Error>(&fetched)) {
        logFailure("peer_fetch_failed", *error);
        return false;
    }
    services_.state_->applyFromPeer(monotonicNow(), std::get<RecordBatch>(fetched), peerAddress);
    return true;
}

auto RecordFollower::fetchFromSeeds() -> void
{
    for (const auto &seed : services_.seeds_) {
        if (services_.state_->asOf() > 0 || fetchFrom(seed)) {
            return;
        }
    }
    stopping_.WaitForNotificationWithTimeout(seedInterval);
}

}
