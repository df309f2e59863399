/** HTTP/1.1 server for callers: reads requests, passes each one to a handler and writes the response. */
#pragma once

#include "connection/responserest.h"
#include "core/bytebudget.h"
#include "core/error.h"
#include "request/httpfields.h"
#include "request/idempotencytable.h"
#include "request/refusal.h"
#include "version/trafficpolicy.h"

#include <absl/time/time.h>
#include <httplib.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Path of lookup requests; every other path goes to the request handler. */
inline constexpr auto lookupPath = "/.well-known/lycheecleat/lookup";

/** Address, limits and timeouts of the server. */
struct CallerServerSettings
{
    /** IP address and port; port 0 selects a free one. */
    std::string address_;
    /** Further addresses; ReceivedRequest::listener_ says on which one a request arrived. */
    std::vector<std::string> furtherAddresses_ = {};
    /**
     * Largest number of requests served concurrently. Further requests are refused as not run, or with an unknown outcome if they have an idempotency key
     * and CallerHandlers::respond_ is not set.
     */
    int maximumRequests_ = 256;
    /** Largest number of open connections; further ones are closed when they are accepted. */
    std::size_t maximumConnections_ = 20'000;
    std::size_t maximumHeadBytes_ = std::size_t { 32 } * 1024;
    /** Longest time from the first byte of a request to the end of its head, and from there to the end of its body. */
    absl::Duration readTimeout_ = absl::Seconds(5);
    /** Longest time from the start of a request to the end of its body, if CallerHandlers::respond_ is set. */
    absl::Duration bodyTimeout_ = absl::Seconds(30);
    /** Largest size of a body, if CallerHandlers::respond_ is set. */
    std::size_t maximumBodyBytes_ = std::size_t { 64 } * 1024 * 1024;
    /** Budget of request bodies if CallerHandlers::respond_ is set; no limit when null. */
    ByteBudgetPointer bodyMemory_ = nullptr;
    /** While the budget has no room for some body, those of which no byte has arrived for this long are given up. */
    absl::Duration stalledBodyTimeout_ = absl::Seconds(2);
    absl::Duration writeTimeout_ = absl::Seconds(10);
    absl::Duration idleTimeout_ = absl::Seconds(60);
    /** How long idle connections stay open after stop was called, so that a request that is already on the network is served. */
    absl::Duration stopGrace_ = absl::Milliseconds(500);
};

/** A request with its whole body, as the caller sent it. */
struct ReceivedRequest
{
    const RequestContent &content_;
    /** Monotonic time at which the request arrived at this host, from which its caller's time counts. */
    absl::Time receivedAt_;
    /** The caller's socket, so that a disconnect can be detected while the request runs. */
    int socket_ = -1;
    /** Index of the listening address: 0 for address_, then furtherAddresses_ in order. */
    std::size_t listener_ = 0;
    /** How long the request had been at this host before it was read; zero when the system does not tell. */
    absl::Duration unreadTime_ = absl::ZeroDuration();
};

/** A response for a caller. */
struct CallerResponse
{
    HttpResponse httpResponse_;
    /** Closes the connection after the response. */
    bool closes_ = false;
    /** Closes the connection without a response, since the caller has disconnected. */
    bool isAbandoned_ = false;
    /** What follows the part of the body in the response. */
    std::optional<ResponseRest> rest_ = std::nullopt;
};

/** What a server has turned away. */
struct CallerServerCounts
{
    /** Requests that were refused because their bodies had no room. */
    std::int64_t bodiesWithoutRoom_ = 0;
    /** Connections that were closed because no byte of a body had arrived for long, while another one had no room. */
    std::int64_t stalledBodies_ = 0;
    /** Connections that were closed when they were accepted, since there were too many. */
    std::int64_t connectionsBeyondLimit_ = 0;
    /** Connections that were closed when they were accepted, since the process had no descriptor left. */
    std::int64_t connectionsWithoutDescriptor_ = 0;
};

/** The functions that the server calls, concurrently and from any of its threads. */
struct CallerHandlers
{
    /** Also gets the monotonic time at which the request arrived at this host. */
    std::function<void(const httplib::Request &, httplib::Response &, absl::Time)> handle_;
    std::function<void(const httplib::Request &, httplib::Response &)> lookup_;
    /** Largest body in bytes for a request, of which the head is given. */
    std::function<std::size_t(const httplib::Request &)> bodyLimit_;
    /** If set, responds to every request in place of the functions above. */
    std::function<CallerResponse(const ReceivedRequest &)> respond_ = nullptr;
    /** Refuses a request, as not run, that the server can't serve: one on address_ beyond maximumRequests_, or one without room for its body, which
     * is then missing. Must be set if respond_ is. */
    std::function<CallerResponse(const ReceivedRequest &, Refusal)> refuse_ = nullptr;
    /**
     * If set, gives the limits and timeouts in force: the timeouts replace readTimeout_ and idleTimeout_ for connections that wait for a request, and sizes
     * above maximumHeadBytes_ and maximumBodyBytes_ replace these.
     */
    std::function<CallerLimits()> limits_ = nullptr;
};

/**
 * An HTTP/1.1 server. Idle connections wait in one epoll set; a connection occupies a thread only from a complete request to the end of the
 * response (from a complete head, if CallerHandlers::respond_ is not set). Header values and bodies reach the handlers exactly as they were sent.
 */
class CallerServer
{
public:
    CallerServer(CallerServerSettings settings, CallerHandlers handlers);
    ~CallerServer();
    CallerServer(const CallerServer &) = delete;
    auto operator=(const CallerServer &) -> CallerServer & = delete;

    /** Binds all addresses and starts to serve. Errors: an address is malformed or cannot be bound. */
    [[nodiscard]] auto start() -> Result<void>;

    /** The port of address_, valid after start. */
    [[nodiscard]] auto port() const -> int;

    /** Number of requests on address_ whose head has been read and whose response has not been written yet. */
    [[nodiscard]] auto unansweredRequests() const -> int;

    /** Counts of what was turned away for lack of memory or descriptors. */
    [[nodiscard]] auto counts() const -> CallerServerCounts;

    /** Stops accepting connections, finishes every request in flight, closes all connections and returns. Responses carry Connection: close. */
    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}
