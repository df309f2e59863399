/** Safety invariants that must hold in every test, under any fault. */
#pragma once

#include "support/caller.h"
#include "support/deployment.h"

#include <string>
#include <vector>

namespace integration
{

/**
 * Returns the violations, one per line; empty if all invariants hold: a request marked as running at most once has at most one execution; a request
 * whose responses all have the outcome "not-run" has none; a complete response belongs to its own request; no backend server received a key;
 * no backend server had more concurrent requests than slots. Backend servers that do not run are skipped.
 */
[[nodiscard]] auto findViolations(Deployment &deployment, const std::vector<CallRecord> &calls, const std::vector<std::string> &keys) -> std::string;

}
