#include "process/returnqueue.h"

#include "connection/tcpconnection.h"
#include "core/clock.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

/** Each waiting request occupies a thread, and others must stay free for services whose backend servers are not paused. */
constexpr auto maximumWaiting = std::size_t { 64 };
constexpr auto maximumWaitingPerOrganisation = std::size_t { 16 };

/** Backend servers may register or return while a request waits. */
constexpr auto pollInterval = absl::Milliseconds(20);

}

auto ReturnQueue::await(const WaitingRequest &request) -> WaitResult
{
    const auto servedAt = request.servedAt_();
    if (!servedAt || *servedAt > request.deadline_) {
        return WaitResult::Unservable;
    }
    const auto id = enter(request);
    if (!id) {
        return WaitResult::Unservable;
    }
    const auto result = awaitTurn(request, *id);
    leave(request, *id, result);
    return result;
}

auto ReturnQueue::awaitTurn(const WaitingRequest &request, std::uint64_t id) const -> WaitResult
{
    while (monotonicNow() < request.deadline_) {
        // The thread may have been stopped itself, so that a backend server and the close of the caller are found at the same time.
        if (isPeerClosed(request.callerSocket_)) {
            return WaitResult::CallerLeft;
        }
        const auto servedAt = request.servedAt_();
        // Once a backend server is free, or restricted by something else than its pause, the order no longer decides.
        const auto isOrdered = servedAt.has_value() && !(request.hasFreeBackend_ && request.hasFreeBackend_());
        if ((!isOrdered || isNext(request, id)) && request.choose_()) {
            return WaitResult::Chosen;
        }
        if (!servedAt || *servedAt > request.deadline_) {
            return WaitResult::Unservable;
        }
        static_cast<void>(waitForPeerClose(request.callerSocket_, std::min(monotonicNow() + pollInterval, request.deadline_)));
    }
    return WaitResult::Unservable;
}

auto ReturnQueue::hasWaiting(std::uint64_t candidates) const -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    return queues_.contains(candidates);
}

auto ReturnQueue::isEmpty() const -> bool
{
    return waiting_ == 0;
}

auto ReturnQueue::enter(const WaitingRequest &request) -> std::optional<std::uint64_t>
{
    const auto lock = absl::MutexLock(&mutex_);
    auto ofOrganisation = std::size_t { 0 };
    for (const auto &[candidates, queue] : queues_) {
        const auto found = queue.queues_.find(request.organisation_);
        ofOrganisation += found == queue.queues_.end() ? 0 : found->second.requests_.size();
    }
    if (waiting_ >= maximumWaiting || ofOrganisation >= maximumWaitingPerOrganisation) {
        return std::nullopt;
    }
    waiting_ += 1;
    const auto id = nextId_++;
    enqueue(queues_[request.candidates_], request.organisation_, request.weight_, id);
    return id;
}

auto ReturnQueue::isNext(const WaitingRequest &request, std::uint64_t id) const -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    const auto order = serviceOrder(queues_.at(request.candidates_));
    return !order.empty() && order.front() == id;
}

auto ReturnQueue::leave(const WaitingRequest &request, std::uint64_t id, WaitResult result) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    auto &queue = queues_[request.candidates_];
    if (result == WaitResult::Chosen) {
        serve(queue, request.organisation_, id);
    } else {
        cancel(queue, request.organisation_, id);
    }
    if (serviceOrder(queue).empty()) {
        queues_.erase(request.candidates_);
    }
    waiting_ -= 1;
}

}
