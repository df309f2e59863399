/** Stand-in for a backend server: slots, load shedding, deadlines, cancellation, false health reports, injected faults and a record of received requests. */
#pragma once

#include "support/httpserver.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace standin
{

/** Settings of a backend server. */
struct BackendSettings
{
    std::string name_;
    int slots_ = 4;
    std::chrono::milliseconds serviceTime_ { 5 };
    /** Factor on the service time at a cold start; it falls linearly to 1 during the slow start. */
    double slowStartFactor_ = 1;
    std::chrono::milliseconds slowStartDuration_ { 0 };
    int maximumConnections_ = 700;
    /** Maximum number of requests in the record; the oldest are discarded. */
    std::size_t recordLimit_ = 100000;
    /** File to which the test identifier of each execution is appended before it starts, so that the count survives a crash; empty for no file. */
    std::string executionsFile_;
};

/** A fault to inject into requests. */
struct BackendFault
{
    /** One of none, crash, cut, late, no-length, never, error. */
    std::string mode_ = "none";
    /** Body bytes sent for cut; milliseconds of delay for late. */
    std::int64_t value_ = 0;
};

/**
 * Serves any path. Request headers: X-Test-Id (identifies the execution), X-Test-Service-Ms, X-Test-Answer-Bytes, X-Test-Crash, X-Test-Mode
 * ("cut=10"), X-Request-Timeout-Ms. GET /health and /load report the state. Control calls: POST /control/mode {"mode", "value", "count"},
 * /control/health {"state": ok, draining, closing, lying, silent}, /control/cold; GET /control/record, /control/executions, /control/counts.
 * In the state lying the server always reports that it is healthy and idle; in the state silent it sends no response to GET /health. Thread-safe.
 */
class BackendServer
{
public:
    explicit BackendServer(BackendSettings settings);
    ~BackendServer();
    BackendServer(const BackendServer &) = delete;
    auto operator=(const BackendServer &) -> BackendServer & = delete;

    /** Listens on "IP:PORT" (port 0: any). */
    [[nodiscard]] auto start(const std::string &address) -> bool;
    [[nodiscard]] auto address() const -> const std::string &;

private:
    using Clock = std::chrono::steady_clock;

    struct RecordedRequest
    {
        std::string raw_;
        std::string testId_;
        std::string idempotencyKey_;
        std::string organisation_;
        Clock::time_point start_;
        std::optional<Clock::time_point> end_;
        /** One of running, done, shed, stopped, cancelled, report, incomplete. */
        std::string outcome_;
    };

    auto handle(const HttpRequest &request) -> HttpResponse;
    auto handleControl(const HttpRequest &request) -> HttpResponse;
    auto execute(const HttpRequest &request) -> HttpResponse;
    auto serve(const HttpRequest &request, const BackendFault &fault, std::int64_t recordNumber) -> HttpResponse;
    auto acquireSlot() -> bool;
    auto healthResponse(const HttpRequest &request) -> HttpResponse;
    [[nodiscard]] auto healthReport() const -> HttpResponse;
    auto loadResponse() -> HttpResponse;
    auto recordResponse() -> HttpResponse;
    auto executionsResponse() -> HttpResponse;
    auto countsResponse() -> HttpResponse;
    auto faultFor(const HttpRequest &request) -> BackendFault;
    auto serviceTime(const HttpRequest &request) -> std::chrono::milliseconds;
    auto beginRecord(const HttpRequest &request, const std::string &outcome) -> std::int64_t;
    auto endRecord(std::int64_t recordNumber, const std::string &outcome) -> void;
    auto recordExecution(const std::string &testId) -> void;

    const BackendSettings settings_;
    std::mutex mutex_;
    Clock::time_point startedAt_ = Clock::now();
    Clock::time_point slowStartBeganAt_ = startedAt_;
    std::string health_ = "ok";
    BackendFault fault_;
    /** Number of further requests to which the fault applies; negative for all. */
    std::int64_t faultCount_ = 0;
    int inFlight_ = 0;
    int highestConcurrency_ = 0;
    std::map<std::string, std::int64_t> outcomes_;
    std::map<std::string, std::int64_t> executions_;
    std::deque<RecordedRequest> record_;
    /** Number of the oldest request in the record; equals the number of discarded requests. */
    std::int64_t firstRecord_ = 0;
    int executionsDescriptor_ = -1;
    HttpServer server_;
};

}
