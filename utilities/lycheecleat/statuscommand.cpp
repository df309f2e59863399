#include "commands.h"

#include "store.h"

#include <fmt/format.h>

namespace lycheecleat
{

namespace
{

constexpr auto tableRowFormat = "{:<24} {:<20} {:>10} {:>8}\n";

auto toText(const HostStatus &status) -> std::string
{
    auto text = fmt::format(tableRowFormat, "host", "zone", "revision", "age");
    text += fmt::format(tableRowFormat, status.host_, status.zone_, status.revision_, "-");
    for (const auto &peer : status.peers_) {
        text += fmt::format(tableRowFormat, peer.name_, peer.zone_, peer.revision_, fmt::format("{}ms", absl::ToInt64Milliseconds(peer.age_)));
    }
    return text;
}

auto toJson(const HostStatus &status) -> nlohmann::json
{
    auto peers = nlohmann::json::array();
    for (const auto &peer : status.peers_) {
        const auto age = absl::ToInt64Milliseconds(peer.age_);
        peers.push_back({ { "name", peer.name_ }, { "zone", peer.zone_ }, { "revision", peer.revision_ }, { "age_ms", age } });
    }
    return { { "host", status.host_ }, { "zone", status.zone_ }, { "revision", status.revision_ }, { "peers", peers } };
}

}

auto runStatus(const Arguments &arguments) -> Result<Report>
{
    BOOST_LEAF_AUTO(daemons, readAdministrationEndpoints(arguments));
    auto report = Report {};
    report.json_["hosts"] = nlohmann::json::array();
    for (const auto &daemon : daemons) {
        BOOST_LEAF_AUTO(status, fetchHostStatus(daemon));
        report.text_ += toText(status);
        report.json_["hosts"].push_back(toJson(status));
    }
    return report;
}

}
