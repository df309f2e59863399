#include "commands.h"

#include "edittext.h"
#include "store.h"
#include "version/folderstate.h"
#include "version/rulefolder.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <filesystem>
#include <system_error>

namespace lycheecleat
{

namespace
{

auto createFolder(const std::string &folder) -> Result<void>
{
    auto error = std::error_code {};
    std::filesystem::create_directories(folder, error);
    if (error) {
        return makeError(folderStateStep, folder, error.message());
    }
    return {};
}

}

auto runPull(const Arguments &arguments) -> Result<Report>
{
    const auto folder = textOf(arguments, "DIR");
    BOOST_LEAF_AUTO(stored, readStoredFiles(arguments));
    BOOST_LEAF_CHECK(createFolder(folder));
    BOOST_LEAF_AUTO(files, readRuleFolder(folder));
    BOOST_LEAF_AUTO(state, readFolderState(folder));
    const auto plan = planPull(state, files, stored.files_);
    if (!plan.conflicts_.empty()) {
        constexpr auto message = "edited in the folder and in the store since the last pull; nothing was written: {}";
        return makeError(mergeStep, folder, fmt::format(message, fmt::join(plan.conflicts_, ", ")));
    }
    BOOST_LEAF_CHECK(writeFolder(folder, plan.edits_));
    BOOST_LEAF_CHECK(writeFolderState(folder, { stored.revision_, stored.files_ }));
    const auto text = formatEditList(plan.edits_) + fmt::format("revision {}\n", stored.revision_);
    return Report { ExitCode::Success, text, { { "revision", stored.revision_ }, { "edits", editsToJson(plan.edits_) } } };
}

}
