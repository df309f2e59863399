/** Checks whether a traffic policy is consistent. */
#pragma once

#include "version/trafficpolicy.h"

#include <optional>
#include <string>

namespace lycheecleat
{

/**
 * Describes the first fault of a policy that cannot be served as a whole: a route to a service that the policy does not declare, without an attempt, without
 * a destination that has a weight, or at the place of another route; or a key that two organisations hold. Absent if there is none.
 */
[[nodiscard]] auto findPolicyFault(const TrafficPolicy &policy) -> std::optional<std::string>;

}
