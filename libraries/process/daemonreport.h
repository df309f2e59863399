/** What a daemon reports about itself: the status answer and the values of its metrics. */
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

/** Everything that is reported, read at one time. */
struct DaemonSnapshot
{
    std::string host_;
    std::string run_;
    std::string zone_;
    /** Monotonic time of the report. */
    absl::Time now_;
    bool ready_ = false;
    bool leaving_ = false;
    ConfigurationPointer configuration_;
    FreshnessState knowledge_ = FreshnessState::Isolated;
    absl::Duration knowledgeAge_;
    bool storeReachable_ = false;
    std::vector<peer::Withdrawal> withdrawals_;
    std::vector<PeerView> peers_;
    int inFlight_ = 0;
    /** Requests served at once at most. */
    int threads_ = 0;
    /** Time since the host began to leave; zero when it isn't leaving. */
    absl::Duration leavingTime_;
    ConfigurationWatcherCounts configurationWatcher_;
    PeerTraffic traffic_;
    absl::Duration controlPlaneTime_;
    std::int64_t lookups_ = 0;
};

/** The answer to a status request. Declared peers that have never been heard are listed apart, since nothing but their name is known. */
[[nodiscard]] auto statusOf(const DaemonSnapshot &snapshot) -> nlohmann::json;

/** The values of the metrics, those of one name next to each other. */
[[nodiscard]] auto metricValuesOf(const DaemonSnapshot &snapshot) -> std::vector<MetricValue>;

}
