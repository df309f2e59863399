/** Builds the status document and the metric values from a snapshot of the daemon. */
#pragma once

#include "connection/peerclients.h"
#include "process/configurationwatcher.h"
#include "process/freshnesstracker.h"
#include "process/membership.h"
#include "process/metrics.h"
#include "version/configuration.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheecleat
{

/** The state of a daemon that status and metrics report. */
struct DaemonSnapshot
{
    std::string host_;
    std::string run_;
    std::string zone_;
    /** Monotonic time of the snapshot. */
    absl::Time now_;
    bool ready_ = false;
    bool leaving_ = false;
    ConfigurationPointer configuration_;
    FreshnessState freshness_ = FreshnessState::Isolated;
    absl::Duration storeStateAge_;
    bool storeReachable_ = false;
    std::vector<peer::Withdrawal> withdrawals_;
    std::vector<PeerView> peers_;
    int inFlight_ = 0;
    /** Largest number of requests served concurrently. */
    int threads_ = 0;
    /** Time since the host began to leave; zero when it isn't leaving. */
    absl::Duration leavingTime_;
    ConfigurationWatcherCounts configurationWatcher_;
    PeerTraffic traffic_;
    /** Processor time of the control plane. */
    absl::Duration controlPlaneTime_;
    /** Lookups whose response listed hosts. */
    std::int64_t lookups_ = 0;
};

/** The response body of a status request. Declared peers from which no state has been received are listed separately, by name only. */
[[nodiscard]] auto statusJson(const DaemonSnapshot &snapshot) -> nlohmann::json;

/** The values of the metrics, grouped by name. */
[[nodiscard]] auto metricValuesOf(const DaemonSnapshot &snapshot) -> std::vector<MetricValue>;

}
