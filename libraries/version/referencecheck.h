/** Validation across rules. */
#pragma once

#include "version/configuration.h"
#include "version/ruleindex.h"
#include "version/ruleproblem.h"

#include <vector>

namespace lycheecleat
{

/** Finds references to undeclared names, duplicate names, addresses and key digests, shadowed routes, and shifts that contradict each other. */
[[nodiscard]] auto checkReferences(const Configuration &configuration, const RuleIndex &index) -> std::vector<RuleProblem>;

}
