/** A backend server that has registered itself. */
#pragma once

#include "version/backendserver.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>

namespace lycheecleat
{

/** A backend server as its registration describes it. */
struct DiscoveredBackend
{
    /** The name is the identifier of the registration. */
    BackendServer server_;
    std::string service_;
    /** Requests that it processes concurrently. */
    int slots_ = 1;
    /** Whether it has announced its shutdown. */
    bool isDraining_ = false;
    /** Remaining duration of its cold start at the time the registration was written. */
    absl::Duration remainingColdTime_;
    /** Identifies one start of the process; a restart under the same name has a different value. */
    std::int64_t incarnation_ = 0;

    auto operator==(const DiscoveredBackend &other) const -> bool = default;
};

}
