#include "commands.h"

#include "connection/configurationstore.h"
#include "store.h"
#include "version/explanation.h"
#include "version/rulefolder.h"

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

}

auto runExplain(const Arguments &arguments) -> Result<Report>
{
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
