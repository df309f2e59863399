/** A pool of interchangeable backend servers. */
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
    /** Maximum concurrent requests on each backend server. */
    int slots_ = 1;
    std::vector<BackendServer> backends_;
    /** Duration over which traffic to a backend server ramps up after it was added or undrained. */
    absl::Duration slowStart_ = absl::ZeroDuration();

    auto operator==(const Pool &other) const -> bool = default;
};

}
