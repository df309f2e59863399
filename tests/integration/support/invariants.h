/** Invariants of the design that hold in every test, whatever fails. */
#pragma once

#include "support/caller.h"
#include "support/deployment.h"

#include <string>
#include <vector>

namespace integration
{

/**
 * The violations found, one a line; empty when all hold:
 * a call marked to run once has at most one execution; a call answered "not-run" has none; a complete answer is the answer to its own request;
 * no backend server received the bytes of a key; no backend server had more requests at once than its slots.
 */
[[nodiscard]] auto findViolations(Deployment &deployment, const std::vector<CallRecord> &calls, const std::vector<std::string> &keys) -> std::string;

}
