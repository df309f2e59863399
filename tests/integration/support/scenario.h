/** Steps that several integration tests share. */
#pragma once

#include "support/caller.h"
#include "support/deployment.h"

#include <chrono>
#include <string>

namespace integration
{

/** The prefix of idempotency keys that a lookup at a host hands out. Throws when the lookup fails. */
[[nodiscard]] auto lookUpKeyPrefix(Caller &caller, const TestHost &host) -> std::string;

/** Name of the host that runs the keys with a prefix. */
[[nodiscard]] auto hostOfKeyPrefix(const std::string &prefix) -> std::string;

/** Waits until a backend server has begun to execute an identifier; false after the time. */
[[nodiscard]] auto waitForExecution(const Deployment &deployment, const std::string &testId, std::chrono::milliseconds limit = std::chrono::seconds(5)) -> bool;

/** Executions of one identifier so far. */
[[nodiscard]] auto executionsOf(const Deployment &deployment, const std::string &testId) -> int;

}
