#include "commands.h"

#include "edittext.h"
#include "store.h"
#include "version/folderstate.h"
#include "version/rulefolder.h"

namespace lycheecleat
{

auto runApply(const Arguments &arguments) -> Result<Report>
{
    const auto folder = textOf(arguments, "DIR");
    BOOST_LEAF_AUTO(files, readRuleFolder(folder));
    BOOST_LEAF_AUTO(state, readFolderState(folder));
    const auto edits = folderEdits(state, files);
    BOOST_LEAF_AUTO(report, applyAndConfirm(arguments, edits, "apply"));
    BOOST_LEAF_CHECK(writeFolderState(folder, { report.json_.at("revision").get<std::int64_t>(), files }));
    report.text_ = formatEditList(edits) + report.text_;
    report.json_["edits"] = editsToJson(edits);
    return report;
}

}
