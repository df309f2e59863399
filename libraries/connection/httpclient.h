/** A client that calls one HTTP server over a persistent connection, with bounds on the size and time of each response. */
#pragma once

#include "connection/tcpconnection.h"
#include "request/httpfields.h"
#include "request/idempotencytable.h"

#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <string>

namespace lycheecleat
{

/** How a call ended. */
enum class HttpCallStatus {
    /** The whole response has been received. */
    Complete,
    /** No byte of the request was sent. */
    NotSent,
    /** The request may have been received, and there is no whole and valid response to it. */
    Failed,
    /** The body of the response exceeds its limit. */
    TooLarge,
};

/** Time limits of a call. */
struct HttpCallTimes
{
    /** Until a connection is established. */
    absl::Duration connect_;
    /** Until the request is written, and after that until the first byte of the response. */
    absl::Duration firstByte_;
    /** From the first byte of the response until it is complete. */
    absl::Duration response_;
};

/** Size limits of a response, in bytes. */
struct HttpCallLimits
{
    std::size_t head_ = std::size_t { 64 } * 1024;
    std::size_t body_ = std::size_t { 8 } * 1024 * 1024;
};

/** The result of a call. */
struct HttpCallResult
{
    HttpCallStatus status_ = HttpCallStatus::NotSent;
    /** Set when the status is Complete. */
    HttpResponse response_;
    /** Description of the failure for log lines. */
    std::string detail_;
};

/** Calls one server, one call at a time. Never repeats a call. Not thread-safe. */
class HttpClient
{
public:
    /** IP address and port. */
    explicit HttpClient(std::string address, HttpCallLimits limits = {});

    /** Sends a request, with a Host header and, unless its method is GET, its length. After any failure the connection is closed. */
    [[nodiscard]] auto call(RequestContent request, const HttpCallTimes &times) -> HttpCallResult;

private:
    /** The connection of the last call if it can be used again, otherwise a new one. */
    [[nodiscard]] auto takeConnection(absl::Duration connectTime) -> Result<TcpConnection>;
    /** Receives the response to a request that has been written, and keeps the connection if it can be used again. */
    [[nodiscard]] auto receive(TcpConnection connection, const std::string &method, const HttpCallTimes &times) -> HttpCallResult;

    std::string address_;
    HttpCallLimits limits_;
    std::optional<TcpConnection> idle_;
};

}
