#include "commands.h"

#include "version/rulefolder.h"

#include <fmt/format.h>

namespace lycheecleat
{

namespace
{

auto toJson(const std::vector<RuleProblem> &problems) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto &problem : problems) {
        list.push_back({ { "file", problem.file_ }, { "line", problem.line_ }, { "field", problem.field_ }, { "message", problem.message_ } });
    }
    return list;
}

}

auto runCheck(const Arguments &arguments) -> Result<Report>
{
    const auto folder = textOf(arguments, "DIR");
    BOOST_LEAF_AUTO(files, readRuleFolder(folder));
    const auto problems = checkRules(files).problems_;
    auto report = Report {};
    report.json_ = { { "files", files.size() }, { "problems", toJson(problems) } };
    for (const auto &problem : problems) {
        report.text_ += describe(problem) + "\n";
    }
    report.text_ += fmt::format("{} files, {} problems\n", files.size(), problems.size());
    report.code_ = problems.empty() ? ExitCode::Success : ExitCode::InvalidInput;
    return report;
}

}
