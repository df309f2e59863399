#include "arguments.h"

namespace lycheecleat
{

namespace
{

auto find(const Arguments &arguments, const std::string &name) -> docopt::value
{
    const auto found = arguments.values_.find(name);
    return found == arguments.values_.end() ? docopt::value {} : found->second;
}

}

auto isGiven(const Arguments &arguments, const std::string &name) -> bool
{
    const auto value = find(arguments, name);
    return value.isBool() ? value.asBool() : static_cast<bool>(value);
}

auto textOf(const Arguments &arguments, const std::string &name) -> std::string
{
    const auto value = find(arguments, name);
    return value.isString() ? value.asString() : std::string {};
}

auto listOf(const Arguments &arguments, const std::string &name) -> std::vector<std::string>
{
    const auto value = find(arguments, name);
    if (value.isString()) {
        return { value.asString() };
    }
    return value.isStringList() ? value.asStringList() : std::vector<std::string> {};
}

}
