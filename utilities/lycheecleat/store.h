/** Access to the store for commands. */
#pragma once

#include "arguments.h"
#include "connection/storeclient.h"

#include <string>

namespace lycheecleat
{

/** Settings of the store that the command line names. */
[[nodiscard]] inline auto storeSettings(const Arguments &arguments) -> StoreSettings
{
    // An operator's command may wait longer than a daemon, which follows the store all the time.
    constexpr auto timeout = absl::Seconds(2);
    return { textOf(arguments, "--store"), timeout };
}

/** A change id that no other change has; the word says which command made it. */
[[nodiscard]] auto makeChangeId(const std::string &command) -> std::string;

}
