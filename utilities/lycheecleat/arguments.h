/** Access to the parsed command line. */
#pragma once

#include <docopt/docopt.h>

#include <map>
#include <string>
#include <vector>

namespace lycheecleat
{

/** The parsed values by their name in the usage text, such as `DIR` or `--store`. */
struct Arguments
{
    std::map<std::string, docopt::value> values_;
};

/** Whether a command word, flag, argument or option was given; an option that has a default or may be repeated always counts as given. */
[[nodiscard]] auto isGiven(const Arguments &arguments, const std::string &name) -> bool;

/** The value of an argument or option; empty if it was not given. */
[[nodiscard]] auto textOf(const Arguments &arguments, const std::string &name) -> std::string;

/** The values of an option that may be repeated; empty if it was not given. */
[[nodiscard]] auto listOf(const Arguments &arguments, const std::string &name) -> std::vector<std::string>;

}
