/** Reads and validates an operator's rule folder. */
#pragma once

#include "core/error.h"
#include "version/configuration.h"
#include "version/rulefile.h"
#include "version/ruleproblem.h"

#include <string>
#include <vector>

namespace lycheecleat
{

/** Error::step_ of the errors of readRuleFolder. */
inline constexpr auto readFolderStep = "read rule folder";

/** A configuration, valid only if there are no problems. */
struct CheckedRules
{
    Configuration configuration_;
    std::vector<RuleProblem> problems_;
};

/** Whether a file of this name would be read from a folder: relative, with no hidden part and no "..", and ending in .yaml. */
[[nodiscard]] auto isRuleFileName(const std::string &name) -> bool;

/** Reads every *.yaml file below the folder, sorted by relative name. Errors: the folder or a file cannot be read. */
[[nodiscard]] auto readRuleFolder(const std::string &folder) -> Result<RuleFiles>;

/** Parses and validates all files and reports all problems at once, sorted by file and line. */
[[nodiscard]] auto checkRules(const RuleFiles &files) -> CheckedRules;

}
