/** The listening sockets of a server. */
#pragma once

#include "core/error.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** A connection that was accepted. */
struct AcceptedSocket
{
    /** Non-blocking; the receiver closes it. */
    int socket_ = -1;
    /** IP address of the peer. */
    std::string remoteAddress_;
};

/**
 * Listening sockets, whose connections are accepted also when the process has no descriptor left: a connection that can't be served is closed at once. It would
 * otherwise stay in the queue, and the listening socket readable, so that threads would wake up for it again and again. Thread-safe after add.
 */
class ListeningSockets
{
public:
    ListeningSockets();
    ~ListeningSockets();
    ListeningSockets(const ListeningSockets &) = delete;
    auto operator=(const ListeningSockets &) -> ListeningSockets & = delete;

    /** Listens on an address (port 0 selects a free one) and returns the port. Errors: the address is malformed or can't be bound. */
    [[nodiscard]] auto add(const std::string &address) -> Result<int>;

    [[nodiscard]] auto size() const -> std::size_t;
    [[nodiscard]] auto descriptor(std::size_t index) const -> int;

    /** The next connection; none if none waits. */
    [[nodiscard]] auto accept(std::size_t index) -> std::optional<AcceptedSocket>;

    /** Accepts no more connections. The descriptor stays open, since its number could be used again while threads still accept from it. */
    auto shutDown(std::size_t index) -> void;

    /** Number of connections that were closed because the process had no descriptor left. */
    [[nodiscard]] auto closedForDescriptors() const -> std::int64_t;

private:
    [[nodiscard]] auto closeNext(int listener) -> bool;

    std::vector<int> listeners_;
    absl::Mutex mutex_;
    /** Given up for a moment to accept and close a connection when no other descriptor is left. */
    int spareDescriptor_ ABSL_GUARDED_BY(mutex_);
    std::atomic<std::int64_t> closedForDescriptors_ = 0;
};

}
