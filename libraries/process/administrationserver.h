/** HTTP server for operators: status, routing explanations, key withdrawals, configuration changes and metrics. */
#pragma once

#include "connection/storeclient.h"
#include "core/error.h"
#include "process/currentconfiguration.h"
#include "process/freshnesstracker.h"
#include "process/membership.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Whether a request may use the operator interface. If an operator key is set, the request must carry it; otherwise it must come from a loopback address. */
[[nodiscard]] auto isAuthorizedOperator(const std::string &operatorKey, const std::string &authorization, const std::string &remoteAddress) -> bool;

/** How far the withdrawal of a key has propagated. */
struct WithdrawalPropagation
{
    /** Zones with at least one host that holds the withdrawal, sorted. */
    std::vector<std::string> confirmedZones_;
    /** All zones with a declared entry host. */
    std::vector<std::string> zones_;
    /** Whether the current configuration contains the withdrawal. */
    bool inConfiguration_ = false;

    auto operator==(const WithdrawalPropagation &other) const -> bool = default;
};

/**
 * Whether the withdrawal is guaranteed to reach every host that may serve keyed requests: more than half of the zones hold it, or the configuration
 * contains it.
 */
[[nodiscard]] auto isAccepted(const WithdrawalPropagation &propagation) -> bool;

/** How far the withdrawal of a key has propagated, according to the latest exchange with each peer. */
[[nodiscard]] auto withdrawalPropagation(const Configuration &configuration,
                                         const FreshnessTracker &freshness,
                                         const std::vector<PeerView> &peers,
                                         const Key &key,
                                         const std::string &ownZone) -> WithdrawalPropagation;

/** Describes for operators the route that matches a host and path, and the backend servers and shifts behind it. */
[[nodiscard]] auto explainRoute(const Configuration &configuration,
                                FreshnessState freshness,
                                const std::vector<std::string> &leavingBackends,
                                const std::string &host,
                                const std::string &path) -> nlohmann::json;

/** The dependencies of the server; all must outlive it. */
struct AdministrationServerServices
{
    /** IP address and port to listen on. */
    std::string address_;
    /** Empty when only requests from loopback addresses are authorised. */
    std::string operatorKey_;
    std::string zone_;
    CurrentConfiguration *configuration_ = nullptr;
    FreshnessTracker *freshness_ = nullptr;
    Membership *membership_ = nullptr;
    StoreClient *store_ = nullptr;
    /** Returns the status of the process. */
    std::function<nlohmann::json()> status_;
    /** Returns the metrics in the Prometheus text format. */
    std::function<std::string()> metrics_;
    /** Returns the names of the backend servers that are leaving. */
    std::function<std::vector<std::string>()> leavingBackends_;
    /** Returns whether callers are served. */
    std::function<bool()> ready_;
};

/** The HTTP server for operators. */
class AdministrationServer
{
public:
    explicit AdministrationServer(AdministrationServerServices services);
    ~AdministrationServer();
    AdministrationServer(const AdministrationServer &) = delete;
    auto operator=(const AdministrationServer &) -> AdministrationServer & = delete;

    /** Listens and serves in the background. Errors: the address cannot be used. */
    [[nodiscard]] auto start() -> Result<void>;

    auto stop() -> void;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}
