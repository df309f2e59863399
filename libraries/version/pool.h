/** A pool of backend servers that serve the same requests. */
#pragma once

#include "version/backendserver.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace lycheecleat
{

/** A pool as declared by a rule of kind `pool`. */
struct Pool
{
    std::string name_;
    /** Concurrent requests that each backend server takes. */
    int slots_ = 1;
    std::vector<BackendServer> backends_;
    /** Time over which a backend server that is new or back from a drain is brought to full use. */
    absl::Duration slowStart_ = absl::ZeroDuration();

    auto operator==(const Pool &other) const -> bool = default;
};

}
