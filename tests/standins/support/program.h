/** Start and end of a stand-in program. */
#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace standin
{

/** Command-line options by name. */
using Options = std::map<std::string, docopt::value>;

/** Parses the command line by its docopt text; prints help or the fault and ends the process when there is nothing to run. */
[[nodiscard]] auto parseOptions(const char *usage, int argumentCount, char **arguments) -> Options;

/** An option that is a number. */
[[nodiscard]] auto numberOption(const Options &options, const std::string &name) -> double;

/** Blocks the end signals for this thread and those it starts. Call it before any thread starts. */
auto blockTerminationSignals() -> void;

/** Prints the line "ready" and waits for SIGTERM or SIGINT. */
auto waitForTermination() -> void;

}
