#include "commands.h"

#include "connection/configurationstore.h"
#include "store.h"
#include "version/folderstate.h"
#include "version/rulefolder.h"

#include <fmt/format.h>

namespace lycheecleat
{

namespace
{

auto reportApplied(std::int64_t revision, const std::vector<FileEdit> &edits) -> Report
{
    auto report = Report {};
    auto names = nlohmann::json::array();
    for (const auto &edit : edits) {
        const auto *verb = !edit.before_ ? "added" : edit.after_ ? "changed" : "removed";
        report.text_ += fmt::format("{} {}\n", verb, edit.name_);
        names.push_back({ { "file", edit.name_ }, { "edit", verb } });
    }
    report.text_ += fmt::format("revision {}\n", revision);
    report.json_ = { { "revision", revision }, { "edits", names } };
    return report;
}

}

auto runApply(const Arguments &arguments) -> Result<Report>
{
    const auto folder = textOf(arguments, "DIR");
    BOOST_LEAF_AUTO(files, readRuleFolder(folder));
    BOOST_LEAF_AUTO(state, readFolderState(folder));
    const auto edits = folderEdits(state, files);
    auto store = StoreClient(storeSettings(arguments));
    BOOST_LEAF_AUTO(revision, applyEdits(store, edits, makeChangeId("apply")));
    BOOST_LEAF_CHECK(writeFolderState(folder, { revision, files }));
    return reportApplied(revision, edits);
}

}
