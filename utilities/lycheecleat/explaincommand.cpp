#include "commands.h"

#include "connection/configurationstore.h"
#include "store.h"
#include "version/explanation.h"
#include "version/rulefolder.h"

#include <fmt/format.h>

namespace lycheecleat
{

namespace
{

auto readFiles(const Arguments &arguments) -> Result<RuleFiles>
{
    if (isGiven(arguments, "--folder")) {
        return readRuleFolder(textOf(arguments, "--folder"));
    }
    BOOST_LEAF_AUTO(stored, readStoredFiles(arguments));
    return stored.files_;
}

auto toJson(const Explanation &explanation) -> nlohmann::json
{
    if (!explanation.route_) {
        return { { "matched", false } };
    }
    const auto &route = *explanation.route_;
    auto zones = nlohmann::json::array();
    for (const auto &zone : explanation.zones_) {
        zones.push_back({ { "region", zone.region_ }, { "zone", zone.zone_ }, { "in_use", zone.inUse_ }, { "drained", zone.drained_ } });
    }
    return { { "matched", true },
             { "route", route.name_ },
             { "file", route.file_ },
             { "pool", route.pool_ },
             { "access", route.access_ == Access::Open ? "open" : "keyed" },
             { "needs_idempotency_key", explanation.needsIdempotencyKey_ },
             { "zones", zones } };
}

constexpr auto tableRowFormat = "{:<24} {:<16} {:>8} {:>8} {:>6} {:>10} {:>10}\n";

auto hostExplanationText(const nlohmann::json &json) -> std::string
{
    const auto refusal = json.at("refusal").get<std::string>();
    auto text = fmt::format("route {}, service {}, version {}, revision {}, last store response {} ms ago\n",
                            json.at("route").get<std::string>(),
                            json.at("service").get<std::string>(),
                            json.at("version").dump(),
                            json.at("revision").dump(),
                            json.at("store_age_ms").dump());
    if (!refusal.empty()) {
        return text + fmt::format("refused: {}\n", refusal);
    }
    text += fmt::format(tableRowFormat, "backend, in order", "zone", "weight", "ejected", "full", "wait ms", "in flight");
    for (const auto &backend : json.at("backends")) {
        text += fmt::format(tableRowFormat,
                            backend.at("name").get<std::string>(),
                            backend.at("zone").get<std::string>(),
                            fmt::format("{:.4f}", backend.at("weight").get<double>()),
                            backend.at("ejected").dump(),
                            backend.at("full").dump(),
                            backend.at("expected_wait_ms").dump(),
                            backend.at("in_flight").dump());
    }
    return text;
}

// In a deployment whose hosts are discovered, the rule files contain neither the backend servers nor their health, so the explanation comes from a daemon.
auto explainByHost(const Arguments &arguments) -> Result<Report>
{
    BOOST_LEAF_AUTO(daemons, readAdministrationEndpoints(arguments));
    const auto &daemon = daemons.front();
    const auto request =
        ExplanationRequest { textOf(arguments, "--host"), textOf(arguments, "--path"), textOf(arguments, "--object"), textOf(arguments, "--organisation") };
    BOOST_LEAF_AUTO(body, fetchExplanation(daemon, request));
    try {
        const auto json = nlohmann::json::parse(body);
        return Report { ExitCode::Success, hostExplanationText(json), json };
    } catch (const nlohmann::json::exception &exception) {
        return makeError("parse explanation", daemon.address_, exception.what());
    }
}

}

auto runExplain(const Arguments &arguments) -> Result<Report>
{
    if (!listOf(arguments, "--admin").empty()) {
        return explainByHost(arguments);
    }
    BOOST_LEAF_AUTO(files, readFiles(arguments));
    const auto checked = checkRules(files);
    if (!checked.problems_.empty()) {
        return makeError(checkStep, "", describe(checked.problems_.front()) + "; run check for all problems");
    }
    const auto path = textOf(arguments, "--path");
    const auto explanation = explainRequest(checked.configuration_, textOf(arguments, "--host"), path.substr(0, path.find('?')), textOf(arguments, "--method"));
    return Report { ExitCode::Success, describe(explanation), toJson(explanation) };
}

}
