/** HTTP interface for operators: status, explanations, withdrawals, changes and metrics. */
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

/** Whether a caller may administer this host. Without an operator key only callers on loopback may. */
[[nodiscard]] auto isAuthorizedOperator(const std::string &operatorKey, const std::string &authorization, const std::string &remoteAddress) -> bool;

/** How far a withdrawal has spread. */
struct WithdrawalPropagation
{
    /** Zones with a host that holds the withdrawal, sorted. */
    std::vector<std::string> confirmedZones_;
    /** All zones with a declared entry host. */
    std::vector<std::string> zones_;
    /** Whether the configuration in force shows the key as withdrawn. */
    bool inConfiguration_ = false;

    auto operator==(const WithdrawalPropagation &other) const -> bool = default;
};

/** Whether every host that may serve keyed requests will hear of the withdrawal: more than half of the zones have it, or the configuration shows it. */
[[nodiscard]] auto isAccepted(const WithdrawalPropagation &propagation) -> bool;

/** How far the withdrawal of a key digest has spread, as this host knows from the last exchanges. */
[[nodiscard]] auto withdrawalPropagation(const Configuration &configuration,
                                         const FreshnessTracker &knowledge,
                                         const std::vector<PeerView> &peers,
                                         const Key &key,
                                         const std::string &ownZone) -> WithdrawalPropagation;

/** Explains which route a request takes and what serves it, for an operator to read. */
[[nodiscard]] auto explainRoute(const Configuration &configuration,
                                FreshnessState knowledge,
                                const std::vector<std::string> &leavingBackends,
                                const std::string &host,
                                const std::string &path) -> nlohmann::json;

/** What the interface needs; all outlive it. */
struct AdministrationServerServices
{
    /** IP address and port to listen on. */
    std::string address_;
    /** Empty when only loopback callers are served. */
    std::string operatorKey_;
    std::string zone_;
    CurrentConfiguration *configuration_ = nullptr;
    FreshnessTracker *knowledge_ = nullptr;
    Membership *membership_ = nullptr;
    StoreClient *store_ = nullptr;
    /** Gives the status of the process. */
    std::function<nlohmann::json()> status_;
    /** Gives the metrics as text. */
    std::function<std::string()> metrics_;
    /** Names of the backend servers that are leaving. */
    std::function<std::vector<std::string>()> leavingBackends_;
    /** Whether callers are served. */
    std::function<bool()> ready_;
};

/** Serves operators. */
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
