/** The state of a connection from a caller. */
#pragma once

#include "connection/tcpconnection.h"

#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <string>

namespace lycheecleat
{

/** When the first bytes of a request were read, and how long they had been at this host by then. */
struct RequestArrival
{
    absl::Time readAt_;
    absl::Duration unreadTime_;
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
    /** The last response has been written; input is discarded until the caller closes the connection. */
    bool lingering_ = false;
    std::size_t discardedBytes_ = 0;
};

/** Arrival of the request whose first bytes are buffered. */
auto arrivalOf(CallerConnection &connection) -> RequestArrival;

}
