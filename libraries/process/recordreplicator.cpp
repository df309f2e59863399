#include "process/recordreplicator.h"

#include "connection/fleetpeers.h"
#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

/**
 * Longest wait of one watch. It bounds the time until a store that keeps connections open without responding is detected. All hosts of the region depend on
 * those that watch, so that another one has to take over within the bound on configuration propagation.
 */
constexpr auto watchWait = absl::Milliseconds(700);

/** Pause after a store call, so that changes in quick succession are read with one call. */
constexpr auto batchPause = absl::Milliseconds(400);

constexpr auto firstBackoff = absl::Milliseconds(100);
constexpr auto longestBackoff = absl::Seconds(1);

/** Interval at which a host that does not watch the store checks whether it should. */
constexpr auto watchPoll = absl::Milliseconds(250);

/** How long a host that watches the store waits for newer records from it before it fetches them from a peer. */
constexpr auto peerFetchDelay = absl::Milliseconds(300);

/** Pause after a fetch, so that changes in quick succession are fetched from a peer with one call as well. */
constexpr auto fetchPause = absl::Milliseconds(200);

constexpr auto fetchTimeout = absl::Milliseconds(800);
constexpr auto seedInterval = absl::Milliseconds(500);

/** Number of renewals within the lifetime of a lease. */
constexpr auto renewalsPerLifetime = 3;
constexpr auto registrationRetry = absl::Milliseconds(500);

// How long a host that does not watch the store waits for the records of a new era from its peers. The delays of the hosts differ, so that they do not all
// read the store at once.
auto eraReadDelay(const std::string &hostName) -> absl::Duration
{
    constexpr auto shortest = absl::Milliseconds(800);
    constexpr auto spreadMillis = 1000;
    return shortest + absl::Milliseconds(stableHash(hostName) % spreadMillis);
}

auto logFailure(const char *event, const Error &error) -> void
{
    logLine(wallNow(), LogLevel::Warning, event, { { "error", describe(error) } });
}

}

RecordReplicator::RecordReplicator(RecordReplicatorServices services)
    : services_(std::move(services))
{
}

RecordReplicator::~RecordReplicator()
{
    stop();
}

auto RecordReplicator::start() -> void
{
    threads_.emplace_back([this] {
        runWatch();
    });
    threads_.emplace_back([this] {
        runRegistration();
    });
    threads_.emplace_back([this] {
        runPeerFetch();
    });
}

auto RecordReplicator::stop() -> void
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

auto RecordReplicator::notifyNewerPeer(const NewerPeer &peer) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    if (!newerPeer_ || newerPeer_->asOf_ <= peer.asOf_) {
        newerPeer_ = peer;
    }
}

auto RecordReplicator::runWatch() -> void
{
    auto hasRead = false;
    auto isBehindSince = absl::InfiniteFuture();
    auto backoff = firstBackoff;
    auto isWatching = false;
    while (!stopping_.HasBeenNotified()) {
        // Another host of the region may deliver the records of a new era first.
        const auto isBehind = services_.store_.latestEra_() > services_.state_->asOf().era_;
        isBehindSince = isBehind ? std::min(isBehindSince, monotonicNow()) : absl::InfiniteFuture();
        const auto needsFullRead = !hasRead || isBehind;
        const auto shouldWatch = !hasRead || services_.watchesStore_(monotonicNow()) || monotonicNow() - isBehindSince > eraReadDelay(services_.hostName_);
        if (shouldWatch != isWatching) {
            isWatching = shouldWatch;
            logLine(wallNow(), LogLevel::Info, shouldWatch ? "store_watch_begun" : "store_watch_left_to_peers", {});
        }
        if (!shouldWatch) {
            stopping_.WaitForNotificationWithTimeout(watchPoll);
            continue;
        }
        const auto reachedStoreBefore = services_.state_->reachesStore();
        const auto hasSucceeded = needsFullRead ? readAll() : watchOnce();
        const auto now = monotonicNow();
        services_.state_->updateStoreContact(now, hasSucceeded);
        if (reachedStoreBefore && !hasSucceeded) {
            services_.onStoreLost_(now);
        }
        if (hasSucceeded) {
            hasRead = true;
            backoff = firstBackoff;
            stopping_.WaitForNotificationWithTimeout(batchPause);
            continue;
        }
        stopping_.WaitForNotificationWithTimeout(backoff);
        backoff = std::min(backoff * 2, longestBackoff);
    }
}

auto RecordReplicator::applyFromStore(const RecordBatch &batch) -> void
{
    const auto now = monotonicNow();
    services_.state_->applyFromStore(now, batch);
    if (!batch.records_.empty()) {
        services_.onRecordsChanged_(now);
    }
}

auto RecordReplicator::readAll() -> bool
{
    const auto read = attempt([&] {
        return services_.store_.readAll_();
    });
    if (const auto *error = std::get_if<Error>(&read)) {
        logFailure("store_read_failed", *error);
        return false;
    }
    applyFromStore(std::get<RecordBatch>(read));
    return true;
}

auto RecordReplicator::watchOnce() -> bool
{
    const auto watched = attempt([&] {
        return services_.store_.watch_(services_.state_->asOf(), watchWait);
    });
    if (const auto *error = std::get_if<Error>(&watched)) {
        logFailure("store_watch_failed", *error);
        return false;
    }
    const auto &result = std::get<WatchResult>(watched);
    if (result.isCompacted_) {
        const auto asOf = services_.state_->asOf();
        logLine(wallNow(),
                LogLevel::Warning,
                "store_history_lost",
                { { "revision", fmt::format("{}", asOf.revision_) },
                  { "era", fmt::format("{}", asOf.era_) },
                  { "store_era", fmt::format("{}", services_.store_.latestEra_()) } });
        return readAll();
    }
    applyFromStore(result.batch_);
    return true;
}

auto RecordReplicator::runRegistration() -> void
{
    while (!stopping_.HasBeenNotified()) {
        {
            const auto lock = absl::MutexLock(&mutex_);
            if (isLeaving_) {
                return;
            }
        }
        stopping_.WaitForNotificationWithTimeout(registerOrRenew());
    }
}

// On a host that does not watch the store, only these calls show whether the store is reachable.
auto RecordReplicator::registerOrRenew() -> absl::Duration
{
    auto lease = std::optional<HostLease> {};
    {
        const auto lock = absl::MutexLock(&mutex_);
        lease = lease_;
    }
    if (!lease) {
        const auto registered = attempt([&] {
            return services_.store_.registerHost_(services_.hostName_, services_.registration_);
        });
        if (const auto *error = std::get_if<Error>(&registered)) {
            logFailure("registration_failed", *error);
            return registrationRetry;
        }
        services_.state_->updateStoreContact(monotonicNow(), true);
        const auto lock = absl::MutexLock(&mutex_);
        lease_ = std::get<HostLease>(registered);
        return lease_->lifetime_ / renewalsPerLifetime;
    }
    const auto renewed = attempt([&] {
        return services_.store_.renewLease_(*lease);
    });
    const auto *isRenewed = std::get_if<bool>(&renewed);
    services_.state_->updateStoreContact(monotonicNow(), isRenewed != nullptr);
    if (isRenewed == nullptr) {
        logFailure("lease_renewal_failed", std::get<Error>(renewed));
        return registrationRetry;
    }
    if (*isRenewed) {
        return lease->lifetime_ / renewalsPerLifetime;
    }
    logLine(wallNow(),
            LogLevel::Info,
            "lease_ended",
            { { "lease", fmt::format("{}", lease->identifier_) },
              { "era", fmt::format("{}", lease->registeredAt_.era_) },
              { "store_era", fmt::format("{}", services_.store_.latestEra_()) } });
    const auto lock = absl::MutexLock(&mutex_);
    lease_.reset();
    return absl::ZeroDuration();
}

auto RecordReplicator::deregister() -> void
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
        return services_.store_.removeHost_(services_.hostName_, *lease);
    });
    if (const auto *error = std::get_if<Error>(&removed)) {
        logFailure("deregistration_failed", *error);
    }
}

// Waits up to peerFetchDelay for a peer with newer records.
auto RecordReplicator::awaitNewerPeer() -> std::optional<NewerPeer>
{
    const auto hasNewerPeer = [this] {
        mutex_.AssertHeld();
        return newerPeer_.has_value();
    };
    const auto lock = absl::MutexLock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(&hasNewerPeer), peerFetchDelay);
    return std::exchange(newerPeer_, std::nullopt);
}

auto RecordReplicator::runPeerFetch() -> void
{
    while (!stopping_.HasBeenNotified()) {
        const auto newer = awaitNewerPeer();
        if (services_.state_->asOf().revision_ == 0) {
            if (!newer || !fetchFromPeer(newer->peerAddress_)) {
                fetchFromSeeds();
            }
            continue;
        }
        if (!newer) {
            continue;
        }
        if (services_.watchesStore_(monotonicNow()) && services_.state_->reachesStore()) {
            stopping_.WaitForNotificationWithTimeout(peerFetchDelay);
        }
        if (newer->asOf_ > services_.state_->asOf()) {
            static_cast<void>(fetchFromPeer(newer->peerAddress_));
            stopping_.WaitForNotificationWithTimeout(fetchPause);
        }
    }
}

auto RecordReplicator::fetchFromPeer(const std::string &peerAddress) -> bool
{
    const auto fetched = attempt([&] {
        return fetchRecords(peerAddress, services_.state_->asOf(), fetchTimeout);
    });
    if (const auto *error = std::get_if<Error>(&fetched)) {
        logFailure("peer_fetch_failed", *error);
        return false;
    }
    const auto now = monotonicNow();
    const auto asOfBefore = services_.state_->asOf();
    services_.state_->applyFromPeer(now, std::get<RecordBatch>(fetched), peerAddress);
    if (services_.state_->asOf() > asOfBefore) {
        services_.onRecordsChanged_(now);
    }
    return true;
}

auto RecordReplicator::fetchFromSeeds() -> void
{
    for (const auto &seed : services_.seeds_) {
        if (services_.state_->asOf().revision_ > 0 || fetchFromPeer(seed)) {
            return;
        }
    }
    stopping_.WaitForNotificationWithTimeout(seedInterval);
}

}
