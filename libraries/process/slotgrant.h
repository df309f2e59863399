/** A request for a slot of a backend server, and the grant of one. */
#pragma once

#include "version/backendserver.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Permission to run one request on one backend server until a deadline. */
struct SlotGrant
{
    std::string pool_;
    BackendServer backend_;
    /** Monotonic time by which the backend server must have stopped the request. */
    absl::Time deadline_;
    /** Identifies the grant to the LimitEnforcer that issued it. */
    std::uint64_t id_ = 0;
};

/** Which backend servers of a pool may be chosen for a request, and for how long to wait. */
struct SlotRequest
{
    std::string pool_;
    std::string organisation_;
    /** Region of the slot. If empty, slots in this host's zone are preferred, then those in its region, then those in other regions. */
    std::string region_;
    /** Backend servers to exclude: drained, leaving, ejected, or already tried. */
    std::vector<std::string> excludedBackends_;
    /** Monotonic time by which the request must be done. */
    absl::Time deadline_;
    /** Monotonic time until which to wait for a slot. */
    absl::Time waitUntil_;
};

}
