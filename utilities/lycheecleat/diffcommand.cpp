#include "commands.h"

#include "edittext.h"
#include "store.h"
#include "version/folderstate.h"
#include "version/rulefolder.h"

#include <fmt/format.h>

namespace lycheecleat
{

namespace
{

/** Adds the conflicts between the edits and the files that are in the store now. Apply would reject edits with conflicts. */
auto addConflicts(Report report, const std::vector<FileEdit> &edits, const RuleFiles &stored) -> Report
{
    const auto outcome = attempt([&]() {
        return mergeEdits(stored, edits);
    });
    if (const auto *error = std::get_if<Error>(&outcome)) {
        report.code_ = ExitCode::Conflict;
        report.text_ += "conflicts:\n" + error->message_ + "\n";
        report.json_["conflicts"] = error->message_;
    }
    return report;
}

}

auto runDiff(const Arguments &arguments) -> Result<Report>
{
    const auto folder = textOf(arguments, "DIR");
    BOOST_LEAF_AUTO(files, readRuleFolder(folder));
    BOOST_LEAF_AUTO(state, readFolderState(folder));
    const auto edits = folderEdits(state, files);
    auto report = Report { ExitCode::Success, {}, { { "base_revision", state.revision_ }, { "edits", editsToJson(edits) } } };
    for (const auto &edit : edits) {
        report.text_ += formatEditDiff(edit);
    }
    report.text_ += fmt::format("{} files differ from revision {}\n", edits.size(), state.revision_);
    if (!isGiven(arguments, "--store")) {
        return report;
    }
    BOOST_LEAF_AUTO(stored, readStoredFiles(arguments));
    report.json_["stored_revision"] = stored.revision_;
    report.text_ += fmt::format("the store holds revision {}\n", stored.revision_);
    return addConflicts(std::move(report), edits, stored.files_);
}

}
