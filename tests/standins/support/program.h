/** Command-line parsing and signal handling of the stand-in programs. */
#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>

namespace standin
{

/** Command-line options by name. */
using Options = std::map<std::string, docopt::value>;

/** Parses the command line with a docopt usage text; prints the help or the error and exits the process if help was requested or the arguments are invalid. */
[[nodiscard]] auto parseOptions(const char *usage, int argumentCount, char **arguments) -> Options;

/** Value of a numeric option; exits the process with an error message when it is not a number. */
[[nodiscard]] auto numberOption(const Options &options, const std::string &name) -> double;

/** Blocks SIGTERM and SIGINT for this thread and the threads that it starts, and ignores SIGPIPE. Must be called before any thread starts. */
auto blockTerminationSignals() -> void;

/** Prints the line "ready" and waits for SIGTERM or SIGINT. */
auto waitForTermination() -> void;

}
