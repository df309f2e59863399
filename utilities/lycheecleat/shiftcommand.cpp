#include "commands.h"

#include "core/clock.h"
#include "store.h"
#include "version/operatoredits.h"

namespace lycheecleat
{

namespace
{

auto shiftStart(const Arguments &arguments) -> std::string
{
    const auto start = textOf(arguments, "--start");
    return start.empty() ? absl::FormatTime(absl::RFC3339_sec, wallNow(), absl::UTCTimeZone()) : start;
}

auto makeShiftRequest(const Arguments &arguments) -> ShiftRequest
{
    return { textOf(arguments, "NAME"),    textOf(arguments, "--pool"), textOf(arguments, "--from"), textOf(arguments, "--to"),
             textOf(arguments, "--share"), textOf(arguments, "--cap"),  shiftStart(arguments),       textOf(arguments, "--over") };
}

}

auto runShift(const Arguments &arguments) -> Result<Report>
{
    const auto request = makeShiftRequest(arguments);
    BOOST_LEAF_AUTO(stored, readStoredFiles(arguments));
    auto edit = FileEdit {};
    if (isGiven(arguments, "--undo")) {
        BOOST_LEAF_ASSIGN(edit, removalEdit(stored.files_, shiftFileName(request.name_)));
    } else {
        edit = replacementEdit(stored.files_, shiftFile(request));
    }
    return applyAndConfirm(arguments, { edit }, "shift");
}

}
