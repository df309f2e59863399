/** Index of the locations at which rules are declared. */
#pragma once

#include "version/fieldreader.h"
#include "version/ruleproblem.h"

#include <map>
#include <string>
#include <utility>

namespace lycheecleat
{

/** Sources by kind and name. */
using RuleIndex = std::map<std::pair<std::string, std::string>, RuleSource>;

/** Creates a problem located at a field of a declared rule. The line is 1 if the rule lacks the field. */
[[nodiscard]] inline auto
problemAt(const RuleIndex &index, const std::string &kind, const std::string &name, const std::string &field, const std::string &message) -> RuleProblem
{
    const auto source = index.find({ kind, name });
    if (source == index.end()) {
        return { "", 0, field, message };
    }
    const auto line = source->second.lines_.find(field);
    return { source->second.file_, line == source->second.lines_.end() ? 1 : line->second, field, message };
}

}
