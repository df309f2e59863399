/** Checks that concern more than one rule. */
#pragma once

#include "version/configuration.h"
#include "version/ruleindex.h"
#include "version/ruleproblem.h"

#include <vector>

namespace lycheecleat
{

/** Finds references to nothing, addresses and names used twice, hidden routes, and shifts that can't hold. */
[[nodiscard]] auto checkReferences(const Configuration &configuration, const RuleIndex &index) -> std::vector<RuleProblem>;

}
