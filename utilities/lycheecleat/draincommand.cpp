#include "commands.h"

#include "store.h"
#include "version/operatoredits.h"

namespace lycheecleat
{

auto runDrain(const Arguments &arguments) -> Result<Report>
{
    const auto file = drainFile(textOf(arguments, "TARGET"));
    BOOST_LEAF_AUTO(stored, readStoredFiles(arguments));
    auto edit = replacementEdit(stored.files_, file);
    if (isGiven(arguments, "--undo")) {
        BOOST_LEAF_ASSIGN(edit, removalEdit(stored.files_, file.name_));
    }
    return applyAndConfirm(arguments, { edit }, "drain");
}

}
