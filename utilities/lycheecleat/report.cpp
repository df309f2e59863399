#include "report.h"

#include "connection/configurationstore.h"
#include "version/bundle.h"
#include "version/folderstate.h"
#include "version/operatoredits.h"
#include "version/rulefolder.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>

namespace lycheecleat
{

namespace
{

/** Every other step is a call to the store or to a host. */
auto codeOf(const Error &error) -> ExitCode
{
    constexpr auto wrongSteps =
        std::array<std::string_view, 8> { checkStep, packStep, readFolderStep, folderStateStep, requestStep, editStep, "read secret", "read file" };
    if (error.step_ == mergeStep || error.step_ == replaceHeadStep) {
        return ExitCode::Conflict;
    }
    const auto isWrong = std::find(wrongSteps.begin(), wrongSteps.end(), error.step_) != wrongSteps.end();
    return isWrong ? ExitCode::Wrong : ExitCode::Unreachable;
}

}

auto reportError(const Error &error) -> Report
{
    const auto json = nlohmann::json { { "error", { { "step", error.step_ }, { "peer", error.peer_ }, { "message", error.message_ } } } };
    return { codeOf(error), describe(error) + "\n", json };
}

auto printReport(const Report &report, bool asJson) -> void
{
    if (asJson) {
        auto json = report.json_;
        json["exit_code"] = static_cast<int>(report.code_);
        fmt::print("{}\n", json.dump(2, ' ', false, nlohmann::json::error_handler_t::replace));
        return;
    }
    fmt::print(report.code_ == ExitCode::Success ? stdout : stderr, "{}", report.text_);
}

auto printProgress(const std::string &line) -> void
{
    fmt::print(stderr, "{}\n", line);
}

}
