/** The parsed command line. */
#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Values by the name they have in the usage text. */
struct Arguments
{
    std::map<std::string, docopt::value> values_;
};

/** Whether a command word or flag was given. */
[[nodiscard]] auto isGiven(const Arguments &arguments, const std::string &name) -> bool;

/** The value of an argument or option; empty when it was not given. */
[[nodiscard]] auto textOf(const Arguments &arguments, const std::string &name) -> std::string;

/** The values of an option that may be repeated. */
[[nodiscard]] auto listOf(const Arguments &arguments, const std::string &name) -> std::vector<std::string>;

}
