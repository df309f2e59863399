/** Handles callers' requests, from the HTTP request to the whole response. */
#pragma once

#include "connection/peerclients.h"
#include "connection/storeclient.h"
#include "generated/peer_types.h"
#include "process/currentconfiguration.h"
#include "process/freshnesstracker.h"
#include "process/limitenforcer.h"
#include "process/requestobservation.h"
#include "request/backendhealth.h"
#include "version/backendserver.h"

#include <httplib.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Dependencies of the handler; they must outlive it. */
struct RequestServices
{
    /** Declared name of this host. */
    std::string hostName_;
    /** Random identifier of this run. */
    std::string run_;
    std::string zone_;
    /** Fleet secret for key digests and run tokens. */
    std::string secret_;
    CurrentConfiguration *configuration_ = nullptr;
    FreshnessTracker *freshness_ = nullptr;
    LimitEnforcer *limits_ = nullptr;
    PeerClients *peers_ = nullptr;
    StoreClient *store_ = nullptr;
    /** Called with the result of each request; may be empty. */
    std::function<void(const RequestObservation &)> observe_ = nullptr;
};

/** Handles requests. Thread-safe. */
class RequestHandler
{
public:
    explicit RequestHandler(RequestServices services);
    ~RequestHandler();
    RequestHandler(const RequestHandler &) = delete;
    auto operator=(const RequestHandler &) -> RequestHandler & = delete;

    /** Handles one caller's request, which arrived at a monotonic time. Always fills in a complete response with X-Request-Outcome. */
    auto handle(const httplib::Request &request, httplib::Response &response, absl::Time receivedAt) -> void;

    /** Handles a request that a peer forwarded because this host's run owns its idempotency key. */
    [[nodiscard]] auto handleForwarded(const peer::ForwardedRequest &request) -> peer::ForwardedAnswer;

    /** Largest body, in bytes, that the route of a request allows; 0 without a route. Needs the request's head only, so that a longer body need not be read. */
    [[nodiscard]] auto bodyLimit(const httplib::Request &request) const -> std::size_t;

    /** Number of requests being handled. */
    [[nodiscard]] auto inFlight() const -> int;

    /** Crash reports to send to peers, and those received from peers. */
    [[nodiscard]] auto crashReports(absl::Time now) const -> std::vector<peer::CrashReport>;
    auto addCrashReports(absl::Time now, const std::vector<peer::CrashReport> &reports) -> void;

    /** Sets the backend servers that the host list or peers report as leaving. */
    auto setLeavingBackends(std::vector<std::string> names) -> void;

    /** Backend servers whose health this host polls, by the current configuration. */
    [[nodiscard]] auto backendsInUse() -> std::vector<BackendServer>;

    /** Applies a report of a backend server's health endpoint. */
    auto reportHealth(const std::string &backend, const HealthReport &report) -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}
