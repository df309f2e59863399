/** Requests that wait until one of their backend servers returns from a pause. */
#pragma once

#include "request/fairqueue.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace lycheecleat
{

/** A request that waits. */
struct WaitingRequest
{
    /** Identifies the set of backend servers that may serve the request; requests with the same set are served in fair order. */
    std::uint64_t candidates_ = 0;
    std::string organisation_;
    double weight_ = 1;
    absl::Time deadline_;
    /** The caller's socket; -1 when its disconnect is not detected. */
    int callerSocket_ = -1;
    /** Tries to choose a backend server. */
    std::function<bool()> choose_;
    /** Earliest time at which one of the backend servers may have served the request; none when waiting is of no use. */
    std::function<std::optional<absl::Time>()> servedAt_;
    /** Whether one of the backend servers has no restriction at all, by the latest call of servedAt_; the order then no longer decides. May be empty. */
    std::function<bool()> hasFreeBackend_ = nullptr;
};

/** How a wait ended. */
enum class WaitResult {
    Chosen,
    /** The request can't be served before its deadline, or too many requests wait already. */
    Unservable,
    CallerLeft,
};

/** Waiting requests in fair order among organisations. Thread-safe. */
class ReturnQueue
{
public:
    /** Waits until a backend server is chosen for the request. Returns at once if it can't be served before its deadline. */
    [[nodiscard]] auto await(const WaitingRequest &request) -> WaitResult;

    /** Whether requests with this set of backend servers wait, behind which a new one must wait too. */
    [[nodiscard]] auto hasWaiting(std::uint64_t candidates) const -> bool;

    /** Whether no request waits at all. */
    [[nodiscard]] auto isEmpty() const -> bool;

private:
    [[nodiscard]] auto enter(const WaitingRequest &request) -> std::optional<std::uint64_t>;
    [[nodiscard]] auto isNext(const WaitingRequest &request, std::uint64_t id) const -> bool;
    auto leave(const WaitingRequest &request, std::uint64_t id, WaitResult result) -> void;
    [[nodiscard]] auto awaitTurn(const WaitingRequest &request, std::uint64_t id) const -> WaitResult;

    mutable absl::Mutex mutex_;
    absl::flat_hash_map<std::uint64_t, FairQueue> queues_ ABSL_GUARDED_BY(mutex_);
    std::uint64_t nextId_ ABSL_GUARDED_BY(mutex_) = 1;
    std::atomic<std::size_t> waiting_ = 0;
};

}
