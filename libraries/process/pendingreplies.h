/** Matches replies that arrive in datagrams with the threads that wait for them. */
#pragma once

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/synchronization/notification.h>
#include <absl/time/time.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <utility>

namespace lycheecleat
{

/** The requests of a host that wait for their replies. Thread-safe. */
template<typename Reply>
class PendingReplies
{
    struct Entry
    {
        absl::Notification isReceived_;
        Reply reply_;
    };

public:
    /** A request that waits for its reply. */
    struct Ticket
    {
        /** Identifies the request at this host. */
        std::int64_t number_;
        std::shared_ptr<Entry> entry_;
    };

    /** Registers a request before it is sent. */
    [[nodiscard]] auto begin() -> Ticket
    {
        const auto lock = absl::MutexLock(&mutex_);
        const auto number = nextNumber_++;
        const auto entry = std::make_shared<Entry>();
        entries_[number] = entry;
        return { number, entry };
    }

    /** Waits for the reply; none if it is not received within the timeout. */
    [[nodiscard]] auto await(const Ticket &ticket, absl::Duration timeout) -> std::optional<Reply>
    {
        const auto isReceived = ticket.entry_->isReceived_.WaitForNotificationWithTimeout(timeout);
        const auto lock = absl::MutexLock(&mutex_);
        entries_.erase(ticket.number_);
        return isReceived ? std::optional(ticket.entry_->reply_) : std::nullopt;
    }

    /** Passes a reply to the thread that waits for it. One that comes too late, or twice, belongs to no request. */
    auto receive(std::int64_t number, Reply reply) -> void
    {
        const auto lock = absl::MutexLock(&mutex_);
        const auto found = entries_.find(number);
        if (found == entries_.end() || found->second->isReceived_.HasBeenNotified()) {
            return;
        }
        found->second->reply_ = std::move(reply);
        found->second->isReceived_.Notify();
    }

private:
    absl::Mutex mutex_;
    std::int64_t nextNumber_ ABSL_GUARDED_BY(mutex_) = 1;
    absl::flat_hash_map<std::int64_t, std::shared_ptr<Entry>> entries_ ABSL_GUARDED_BY(mutex_);
};

}
