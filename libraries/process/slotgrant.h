/** A slot as asked for by a request and as granted to it. */
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
    /** Monotonic time after which the backend server must have stopped the request. */
    absl::Time deadline_;
    /** Identifies the grant to the LimitEnforcer that gave it. */
    std::uint64_t id_ = 0;
};

/** Which backend servers of a pool may be chosen for a request. */
struct SlotRequest
{
    std::string pool_;
    std::string organisation_;
    /** Region to take a slot in; empty: own zone, then own region, then other regions. */
    std::string region_;
    /** Backend servers to leave out: drained, leaving, ejected, or already tried. */
    std::vector<std::string> excludedBackends_;
    /** Monotonic time by which the request must be done. */
    absl::Time deadline_;
    /** Longest wait for a slot. */
    absl::Time waitUntil_;
};

}
