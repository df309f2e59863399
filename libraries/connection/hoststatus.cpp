#include "connection/hoststatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace lycheecleat
{

namespace
{

using Json = nlohmann::json;

constexpr auto parseStep = "parse administration response";

auto parsePeer(const Json &json) -> PeerStatus
{
    auto peer = PeerStatus {};
    peer.name_ = json.at("name").get<std::string>();
    peer.zone_ = json.at("zone").get<std::string>();
    peer.revision_ = json.at("revision").get<std::int64_t>();
    peer.age_ = absl::Milliseconds(json.at("age_ms").get<double>());
    if (json.contains("live")) {
        peer.isLive_ = json.at("live").get<bool>();
    }
    return peer;
}

/** The newest reported state of one host. */
struct ReportedHost
{
    std::string zone_;
    std::int64_t revision_ = 0;
};

auto recordHost(std::map<std::string, ReportedHost> &hosts, const std::string &name, const ReportedHost &state) -> void
{
    auto &newestState = hosts[name];
    newestState.zone_ = state.zone_;
    // A host's revision never decreases, so the highest one reported is the newest.
    newestState.revision_ = std::max(newestState.revision_, state.revision_);
}

auto liveHosts(const std::vector<HostStatus> &statuses) -> std::map<std::string, ReportedHost>
{
    auto hosts = std::map<std::string, ReportedHost> {};
    for (const auto &status : statuses) {
        recordHost(hosts, status.host_, { status.zone_, status.revision_ });
        for (const auto &peer : status.peers_) {
            if (peer.isLive_.value_or(peer.age_ <= peerLivenessTimeout)) {
                recordHost(hosts, peer.name_, { peer.zone_, peer.revision_ });
            }
        }
    }
    return hosts;
}

auto isConfirmed(const std::map<std::string, ReportedHost> &hosts, const std::string &zone, std::int64_t revision) -> bool
{
    auto live = 0;
    for (const auto &entry : hosts) {
        if (entry.second.zone_ != zone) {
            continue;
        }
        if (entry.second.revision_ < revision) {
            return false;
        }
        ++live;
    }
    return live > 0;
}

}

auto parseHostStatus(const std::string &text) -> Result<HostStatus>
{
    try {
        const auto json = Json::parse(text);
        auto status = HostStatus {};
        status.host_ = json.at("host").get<std::string>();
        status.zone_ = json.at("zone").get<std::string>();
        status.revision_ = json.at("revision").get<std::int64_t>();
        for (const auto &peer : json.at("peers")) {
            status.peers_.push_back(parsePeer(peer));
        }
        return status;
    } catch (const Json::exception &exception) {
        return makeError(parseStep, "", exception.what());
    }
}

auto parseWithdrawalStatus(const std::string &text) -> Result<WithdrawalStatus>
{
    try {
        const auto json = Json::parse(text);
        auto status = WithdrawalStatus {};
        status.accepted_ = json.at("accepted").get<bool>();
        status.confirmedZones_ = json.at("confirmed_zones").get<std::vector<std::string>>();
        status.zones_ = json.at("zones").get<std::vector<std::string>>();
        return status;
    } catch (const Json::exception &exception) {
        return makeError(parseStep, "", exception.what());
    }
}

auto unconfirmedZones(const std::vector<std::string> &zones, const std::vector<HostStatus> &statuses, std::int64_t revision) -> std::vector<std::string>
{
    const auto hosts = liveHosts(statuses);
    auto unconfirmed = std::vector<std::string> {};
    for (const auto &zone : zones) {
        if (!isConfirmed(hosts, zone, revision)) {
            unconfirmed.push_back(zone);
        }
    }
    return unconfirmed;
}

}
