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

/** Steps that are not listed here are calls to the store or to a host. */
auto exitCodeFor(const Error &error) -> ExitCode
{
    constexpr auto inputErrorSteps =
        std::array<std::string_view, 8> { checkStep, packStep, readFolderStep, folderStateStep, requestStep, editStep, "read secret", "read file" };
    if (error.step_ == mergeStep || error.step_ == replaceHeadStep) {
        return ExitCode::Conflict;
    }
    const auto isInputError = std::find(inputErrorSteps.begin(), inputErrorSteps.end(), error.step_) != inputErrorSteps.end();
    return isInputError ? ExitCode::InvalidInput : ExitCode::Unreachable;
}

}

auto makeErrorReport(const Error &error) -> Report
{
    const auto json = nlohmann::json { { "error", { { "step", error.step_ }, { "peer", error.peer_ }, { "message", error.message_ } } } };
    return { exitCodeFor(error), describe(error) + "\n", json };
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
