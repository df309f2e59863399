/** Stand-in for a backend server of the users' platform: registers itself, runs requests in slots, and keeps count of what it ran. */
#pragma once

#include "support/httpserver.h"
#include "support/keyvalueserver.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace platformtest
{

/** How a backend server answers the requests that it runs. */
enum class PlatformBackendFault {
    None,
    /** Runs the request and closes the connection without an answer. */
    ResponseLost,
    /** Runs the request and stays silent. */
    Unresponsive,
    /** Ends its answer within the body. */
    TruncatedBody,
    /** Sends a body without a length and without end. */
    EndlessBody,
    /** Rejects the request without running it. */
    Overloaded,
};

/** One run of a request. */
struct RequestRun
{
    std::string instance_;
    std::string tenant_;
    /** Whether the caller's key came with the request. */
    bool hasCredential_ = false;
    std::chrono::steady_clock::time_point startedAt_;
};

/** Runs of all backend servers by request identifier. Thread-safe. */
class RequestRunLog
{
public:
    auto add(const std::string &request, const RequestRun &run) -> void;
    [[nodiscard]] auto runs() const -> std::multimap<std::string, RequestRun>;

private:
    mutable std::mutex mutex_;
    std::multimap<std::string, RequestRun> runs_;
};

/** The backend server. Thread-safe. */
class PlatformBackend
{
public:
    /** Listens on the IP address. Throws when it cannot. */
    PlatformBackend(std::string instance, std::string zone, const std::string &ip, KeyValueServer &store, RequestRunLog &log);

    [[nodiscard]] auto address() const -> std::string;
    /** Registers under another address than its own, such as a proxy's. */
    auto setRegisteredAddress(const std::string &address) -> void;

    /** Writes its registration with a state, "ready" or "draining". */
    auto registerAs(const std::string &state) -> void;
    /** Removes its registration. */
    auto removeRegistration() -> void;
    /** Removes its registration for good: later registrations are left out. */
    auto deregisterPermanently() -> void;

    auto setFault(PlatformBackendFault fault) -> void;
    [[nodiscard]] auto instance() const -> const std::string &;

private:
    auto handle(const standin::HttpRequest &request) -> standin::HttpResponse;
    auto run(const standin::HttpRequest &request, PlatformBackendFault fault) -> standin::HttpResponse;

    const std::string instance_;
    const std::string zone_;
    KeyValueServer &store_;
    RequestRunLog &log_;
    std::mutex mutex_;
    PlatformBackendFault fault_ = PlatformBackendFault::None;
    int sequence_ = 0;
    bool isPermanentlyDeregistered_ = false;
    std::string registeredAddress_;
    standin::HttpServer server_;
};

}
