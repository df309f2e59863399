/** The state of a connection from a caller. */
#pragma once

#include "connection/httpmessage.h"
#include "connection/tcpconnection.h"

#include <absl/time/time.h>

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace lycheecleat
{

/** When the first bytes of a request were read, and how long they had been at this host by then. */
struct RequestArrival
{
    absl::Time readAt_;
    absl::Duration unreadTime_;
};

/** Counts one request in a number of unfinished ones while it exists. */
class UnfinishedRequest
{
public:
    explicit UnfinishedRequest(std::atomic<int> &count)
        : count_(&count)
    {
        *count_ += 1;
    }

    ~UnfinishedRequest()
    {
        if (count_ != nullptr) {
            *count_ -= 1;
        }
    }

    UnfinishedRequest(UnfinishedRequest &&other) noexcept
        : count_(std::exchange(other.count_, nullptr))
    {
    }

    auto operator=(UnfinishedRequest &&other) noexcept -> UnfinishedRequest &
    {
        std::swap(count_, other.count_);
        return *this;
    }

    UnfinishedRequest(const UnfinishedRequest &) = delete;
    auto operator=(const UnfinishedRequest &) -> UnfinishedRequest & = delete;

private:
    std::atomic<int> *count_;
};

/** The state of a caller's connection. */
struct CallerConnection
{
    TcpConnection connection_;
    std::string remoteAddress_;
    /** Time of the last response, or of the first byte of an incomplete request head. */
    absl::Time waitingSince_;
    bool headBegun_ = false;
    /** Arrival of the request that is being read. */
    std::optional<RequestArrival> arrival_ = std::nullopt;
    /** Bytes of empty lines that precede the next head; they count toward the size of the head. */
    std::size_t emptyLineBytes_ = 0;
    std::size_t listener_ = 0;
    /** Reads the request whose head is complete and which has no response yet; null if there is none. */
    std::unique_ptr<RequestReader> reader_ = nullptr;
    std::optional<UnfinishedRequest> unfinished_ = std::nullopt;
    /** Time of the newest bytes of that request's body. */
    absl::Time bodyProgressAt_ = absl::InfinitePast();
    /** The last response has been written; input is discarded until the caller closes the connection. */
    bool lingering_ = false;
    std::size_t discardedBytes_ = 0;
};

/** Arrival of the request whose first bytes are buffered. */
auto arrivalOf(CallerConnection &connection) -> RequestArrival;

}
