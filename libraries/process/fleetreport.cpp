#include "process/fleetreport.h"

#include "request/httpfields.h"

namespace lycheecleat
{

namespace
{

using Json = nlohmann::json;

auto millisOrNull(const std::optional<absl::Duration> &duration) -> Json
{
    return duration ? Json(absl::ToInt64Milliseconds(*duration)) : Json();
}

auto backendJson(const RoutingCandidate &backend) -> Json
{
    const auto &state = backend.state_;
    return { { "name", backend.name_ },
             { "zone", backend.zone_ },
             { "weight", backend.weight_ },
             { "ejected", state.isEjected_ },
             { "full", state.isFull_ },
             { "expected_wait_ms", absl::ToInt64Milliseconds(state.wait_) },
             { "in_flight", state.inFlight_ },
             { "load_age_ms", millisOrNull(state.loadAge_) },
             { "limit", state.limit_ ? Json(*state.limit_) : Json() },
             { "restriction", restrictionName(state.admission_.restriction_) } };
}

}

auto jsonText(const nlohmann::json &json) -> std::string
{
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

auto statusJson(const FleetDaemonSnapshot &snapshot) -> nlohmann::json
{
    auto peers = Json::array();
    for (const auto &peer : snapshot.peers_) {
        peers.push_back({ { "name", peer.identity_->name },
                          { "zone", peer.identity_->zone },
                          { "revision", peer.recordsAsOf_.revision_ },
                          { "age_ms", absl::ToInt64Milliseconds(snapshot.now_ - peer.lastHeartbeatAt_) },
                          { "live", true },
                          { "reaches_store", peer.reachesStore_ } });
    }
    return { { "host", snapshot.host_ },         { "zone", snapshot.zone_ },
             { "ready", snapshot.isReady_ },     { "version", snapshot.version_ },
             { "revision", snapshot.revision_ }, { "store_age_ms", millisOrNull(snapshot.storeAge_) },
             { "peers", std::move(peers) },      { "watches_store", snapshot.watchesStore_ } };
}

auto explanationJson(const RoutingExplanation &explanation) -> nlohmann::json
{
    auto backends = Json::array();
    for (const auto &backend : explanation.backends_) {
        backends.push_back(backendJson(backend));
    }
    return { { "refusal", explanation.refusal_ }, { "route", explanation.route_ },       { "service", explanation.service_ },
             { "version", explanation.version_ }, { "revision", explanation.revision_ }, { "store_age_ms", millisOrNull(explanation.storeAge_) },
             { "backends", std::move(backends) } };
}

auto parseExplainRequest(std::string_view target) -> std::optional<ExplainRequest>
{
    auto request = ExplainRequest {
        queryParameter(target, "host"),
        queryParameter(target, "path"),
        queryParameter(target, "object"),
        queryParameter(target, "organisation"),
    };
    if (request.host_.empty() || request.path_.empty()) {
        return std::nullopt;
    }
    return request;
}

}
