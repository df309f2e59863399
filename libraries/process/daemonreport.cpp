#include "process/daemonreport.h"

#include "version/limitownership.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

using nlohmann::json;

/** Age in milliseconds; null when it is infinite. */
auto describeAge(absl::Duration age) -> json
{
    return age == absl::InfiniteDuration() ? json(nullptr) : json(absl::ToInt64Milliseconds(age));
}

auto describePeerStateAge(const peer::HostState &state) -> json
{
    constexpr auto microsPerMilli = 1000;
    return state.knowledgeAgeMicros < 0 ? json(nullptr) : json(state.knowledgeAgeMicros / microsPerMilli);
}

auto describePeer(const DaemonSnapshot &snapshot, const PeerView &view) -> json
{
    return json { { "name", view.host_.name_ },
                  { "zone", view.host_.zone_ },
                  { "run", view.state_.run },
                  { "revision", view.state_.revision },
                  { "digest", view.state_.digest },
                  { "age_ms", describeAge(snapshot.now_ - view.lastSeenAt_) },
                  { "live", isLive(view.lastSeenAt_, snapshot.now_, snapshot.peers_.size()) },
                  { "leaving", view.state_.leaving },
                  { "store_reachable", view.state_.storeReachable },
                  { "knowledge_age_ms", describePeerStateAge(view.state_) },
                  { "withdrawals", view.state_.withdrawals.size() } };
}

auto describeFreshness(const DaemonSnapshot &snapshot) -> json
{
    return json { { "state", freshnessStateName(snapshot.freshness_) },
                  { "age_ms", describeAge(snapshot.storeStateAge_) },
                  { "store_reachable", snapshot.storeReachable_ } };
}

/** Collects metric values. */
struct MetricValues
{
    std::vector<MetricValue> all_;

    auto gauge(const char *name, const char *help, double value, std::map<std::string, std::string> labels = {}) -> void
    {
        all_.push_back(MetricValue { name, help, MetricKind::Gauge, std::move(labels), value });
    }

    auto counter(const char *name, const char *help, double value, std::map<std::string, std::string> labels = {}) -> void
    {
        all_.push_back(MetricValue { name, help, MetricKind::Counter, std::move(labels), value });
    }
};

auto addRequests(MetricValues &values, const DaemonSnapshot &snapshot) -> void
{
    values.gauge("lycheecleat_requests_in_flight", "Requests being served", snapshot.inFlight_);
    values.gauge("lycheecleat_request_headroom", "Requests that could be served beside those in flight", std::max(0, snapshot.threads_ - snapshot.inFlight_));
    values.counter("lycheecleat_lookups_total", "Lookups answered with hosts", static_cast<double>(snapshot.lookups_));
    values.gauge("lycheecleat_leaving_seconds", "Time since this host began to leave; 0 when it isn't leaving", absl::ToDoubleSeconds(snapshot.leavingTime_));
    for (const auto &pool : snapshot.configuration_->pools_) {
        auto slots = 0;
        for (const auto &owned : slotsOwned(*snapshot.configuration_, pool, snapshot.host_)) {
            slots += owned.slots_;
        }
        values.gauge("lycheecleat_slots_owned", "Slots of backend servers that belong to this host", slots, { { "pool", pool.name_ } });
    }
}

auto addFreshness(MetricValues &values, const DaemonSnapshot &snapshot) -> void
{
    values.gauge("lycheecleat_knowledge_age_seconds", "Age of the newest known state of the store", absl::ToDoubleSeconds(snapshot.storeStateAge_));
    for (const auto state : { FreshnessState::Fresh, FreshnessState::StoreDown, FreshnessState::Isolated }) {
        const auto holds = state == snapshot.freshness_ ? 1 : 0;
        values.gauge("lycheecleat_knowledge_state", "1 for the knowledge state that holds", holds, { { "state", freshnessStateName(state) } });
    }
    values.gauge("lycheecleat_configuration_revision", "Revision in force", static_cast<double>(snapshot.configuration_->revision_));
    values.counter("lycheecleat_configurations_adopted_total", "Revisions put in force", static_cast<double>(snapshot.configurationWatcher_.activated_));
    values.counter("lycheecleat_configurations_refused_total",
                   "Times a revision was refused as older, conflicting, damaged or wrong",
                   static_cast<double>(snapshot.configurationWatcher_.rejectedHeads_));
    values.gauge("lycheecleat_withdrawals_pending", "Withdrawals that the configuration doesn't show yet", static_cast<double>(snapshot.withdrawals_.size()));
}

auto addStoreCalls(MetricValues &values, const DaemonSnapshot &snapshot) -> void
{
    constexpr auto name = "lycheecleat_store_calls_total";
    constexpr auto help = "Calls to the store that follow the configuration and the host list, by kind";
    values.counter(name, help, static_cast<double>(snapshot.configurationWatcher_.headWatches_), { { "kind", "watch_head" } });
    values.counter(name, help, static_cast<double>(snapshot.configurationWatcher_.chunkReads_), { { "kind", "read_chunk" } });
    values.counter(name, help, static_cast<double>(snapshot.configurationWatcher_.hostListReads_), { { "kind", "read_host_list" } });
    values.counter("lycheecleat_store_failures_total", "Calls to the store that failed", static_cast<double>(snapshot.configurationWatcher_.storeFailures_));
}

auto addPeers(MetricValues &values, const DaemonSnapshot &snapshot) -> void
{
    const auto live = std::count_if(snapshot.peers_.begin(), snapshot.peers_.end(), [&](const PeerView &view) {
        return isLive(view.lastSeenAt_, snapshot.now_, snapshot.peers_.size());
    });
    values.gauge("lycheecleat_peers_live", "Declared peers heard recently", static_cast<double>(live));
    values.gauge("lycheecleat_peers_declared", "Declared peers", static_cast<double>(snapshot.peers_.size()));
    for (const auto &[kind, count] : snapshot.traffic_.calls_) {
        values.counter("lycheecleat_peer_calls_total", "Calls to other hosts, by kind", static_cast<double>(count), { { "kind", kind } });
    }
    for (const auto &[kind, count] : snapshot.traffic_.failures_) {
        values.counter("lycheecleat_peer_failures_total", "Calls to other hosts that failed, by kind", static_cast<double>(count), { { "kind", kind } });
    }
    constexpr auto name = "lycheecleat_peer_bytes_total";
    constexpr auto help = "Bytes of this host's calls to other hosts";
    values.counter(name, help, static_cast<double>(snapshot.traffic_.bytesSent_), { { "direction", "sent" } });
    values.counter(name, help, static_cast<double>(snapshot.traffic_.bytesReceived_), { { "direction", "received" } });
    values.counter("lycheecleat_control_cpu_seconds_total", "Processor time of control", absl::ToDoubleSeconds(snapshot.controlPlaneTime_));
}

}

auto statusJson(const DaemonSnapshot &snapshot) -> json
{
    auto peers = json::array();
    auto silent = json::array();
    for (const auto &view : snapshot.peers_) {
        if (view.lastSeenAt_ == absl::InfinitePast()) {
            silent.push_back(view.host_.name_);
        } else {
            peers.push_back(describePeer(snapshot, view));
        }
    }
    auto withdrawals = json::array();
    for (const auto &withdrawal : snapshot.withdrawals_) {
        withdrawals.push_back(withdrawal.keyId);
    }
    return json { { "host", snapshot.host_ },
                  { "run", snapshot.run_ },
                  { "zone", snapshot.zone_ },
                  { "revision", snapshot.configuration_->revision_ },
                  { "digest", snapshot.configuration_->digest_ },
                  { "ready", snapshot.ready_ },
                  { "leaving", snapshot.leaving_ },
                  { "knowledge", describeFreshness(snapshot) },
                  { "in_flight", snapshot.inFlight_ },
                  { "pending_withdrawals", std::move(withdrawals) },
                  { "peers", std::move(peers) },
                  { "silent_peers", std::move(silent) } };
}

auto metricValuesOf(const DaemonSnapshot &snapshot) -> std::vector<MetricValue>
{
    auto values = MetricValues {};
    addRequests(values, snapshot);
    addFreshness(values, snapshot);
    addStoreCalls(values, snapshot);
    addPeers(values, snapshot);
    return values.all_;
}

}
