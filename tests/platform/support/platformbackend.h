/** Stand-in for a backend server of the users' platform: registers itself in the store, runs requests and records every run. */
#pragma once

#include "support/httpserver.h"
#include "support/keyvalueserver.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace platformtest
{

/** Fault injected into a backend server's handling of requests. */
enum class PlatformBackendFault {
    None,
    /** Runs the request and closes the connection without a response. */
    ResponseLost,
    /** Runs the request and sends no response. */
    Unresponsive,
    /** Runs the request and closes the connection within the response body. */
    TruncatedBody,
    /** Runs the request and sends a body without a length that continues until the peer closes or the byte limit is reached. */
    EndlessBody,
    /** Rejects the request without running it. */
    Overloaded,
    /** Rejects every other request, and writes the last rejection on a connection once more when it runs the next request there. */
    RepeatedRejection,
    /** Runs the request and closes or resets the connection within the head or body of the response, at each byte in turn. */
    CutResponse,
};

/** What a backend server says in its responses about further requests; a header is left out if its value is empty. */
struct PlatformBackendSignals
{
    /** Value of Server-Leaving in every response. */
    std::string leaving_;
    /** Rejects every request with status 503 and this Retry-After, without running it. */
    std::string retryAfter_;
    /** Value of Server-Limit in every response. */
    std::string limit_ = {};
};

/** Arrival of a request at a backend server, and the signals in the response to it. */
struct RequestArrival
{
    std::string requestId_;
    std::string instance_;
    std::chrono::steady_clock::time_point at_;
    PlatformBackendSignals signals_;
};

/** One run of a request. */
struct RequestRun
{
    std::string instance_;
    std::string tenant_;
    /** Whether the request contained the caller's API key. */
    bool hasCredential_ = false;
    std::chrono::steady_clock::time_point startedAt_;
};

/** Records the runs on all backend servers by request identifier. Thread-safe. */
class RequestRunLog
{
public:
    auto add(const std::string &requestId, const RequestRun &run) -> void;
    [[nodiscard]] auto runs() const -> std::multimap<std::string, RequestRun>;
    auto addArrival(const RequestArrival &arrival) -> void;
    /** All arrivals in the order in which they were recorded, also of rejected requests. */
    [[nodiscard]] auto arrivals() const -> std::vector<RequestArrival>;

private:
    mutable std::mutex mutex_;
    std::vector<RequestArrival> arrivals_;
    std::multimap<std::string, RequestRun> runs_;
};

/** HTTP server with a registration in the store. Thread-safe. */
class PlatformBackend
{
public:
    /** Listens on a free port of the IP address. Throws on failure. */
    PlatformBackend(std::string instance, std::string zone, const std::string &ip, KeyValueServer &store, RequestRunLog &log);

    [[nodiscard]] auto address() const -> std::string;
    /** Sets the address used in later registrations, such as that of a proxy. */
    auto setRegisteredAddress(const std::string &address) -> void;

    /** Writes the registration with a state, "ready" or "draining". */
    auto registerAs(const std::string &state) -> void;
    /** Removes the registration. */
    auto removeRegistration() -> void;
    /** Removes the registration permanently: later calls of registerAs have no effect. */
    auto deregisterPermanently() -> void;

    auto setFault(PlatformBackendFault fault) -> void;
    auto setSignals(const PlatformBackendSignals &signals) -> void;
    /** Sets how long a request runs unless it says so itself (X-Work-Ms), and how many bytes are added to the body of its response. */
    auto setWork(std::chrono::milliseconds serviceTime, std::size_t addedBytes = 0) -> void;
    [[nodiscard]] auto instance() const -> const std::string &;

    /** Number of rejections that were written once more. */
    [[nodiscard]] auto repeatedRejectionCount() const -> int;
    /** Number of responses that were cut. */
    [[nodiscard]] auto cutResponseCount() const -> int;

private:
    auto handle(const standin::HttpRequest &request) -> standin::HttpResponse;
    auto reject(const standin::HttpRequest &request, int status, const std::string &retryAfter) -> standin::HttpResponse;
    auto run(const standin::HttpRequest &request, PlatformBackendFault fault) -> standin::HttpResponse;
    [[nodiscard]] auto rejectsNext(PlatformBackendFault fault) -> bool;
    auto repeatRejection(int socket) -> void;
    auto sendCutResponse(int socket, const std::string &id) -> void;

    const std::string instance_;
    const std::string zone_;
    KeyValueServer &store_;
    RequestRunLog &log_;
    mutable std::mutex mutex_;
    PlatformBackendFault fault_ = PlatformBackendFault::None;
    PlatformBackendSignals signals_;
    std::chrono::milliseconds serviceTime_ { 10 };
    std::size_t addedBytes_ = 0;
    int sequence_ = 0;
    bool isPermanentlyDeregistered_ = false;
    std::string registeredAddress_;
    bool hasRejectedLast_ = false;
    /** The last rejection that was sent on each connection, by socket. */
    std::map<int, std::string> rejections_;
    int repeatedRejections_ = 0;
    int cutResponses_ = 0;
    standin::HttpServer server_;
};

}
