/** Helpers for idempotency keys and executions, shared by several integration tests. */
#pragma once

#include "support/caller.h"
#include "support/deployment.h"

#include <chrono>
#include <string>

namespace integration
{

/** Looks up the idempotency key prefix (run token) that a host issues. Throws if the lookup fails. */
[[nodiscard]] auto lookUpKeyPrefix(Caller &caller, const TestHost &host) -> std::string;

/** Name of the host that executes requests whose idempotency keys have the given prefix. */
[[nodiscard]] auto hostOfKeyPrefix(const std::string &prefix) -> std::string;

/** Waits until a backend server has started to execute the request with an X-Test-Id; false after the time limit. */
[[nodiscard]] auto waitForExecution(const Deployment &deployment, const std::string &testId, std::chrono::milliseconds limit = std::chrono::seconds(5)) -> bool;

/** Number of executions so far of the request with an X-Test-Id. */
[[nodiscard]] auto executionsOf(const Deployment &deployment, const std::string &testId) -> int;

}
