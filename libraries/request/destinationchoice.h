/** Traffic split of a route over its weighted destinations. */
#pragma once

#include "version/trafficpolicy.h"

#include <cstdint>
#include <vector>

namespace lycheecleat
{

/**
 * The destination for the object with the given hash. Objects are distributed in proportion to the weights, equally on every host. An empty
 * destination when the route has none.
 */
[[nodiscard]] auto chooseDestination(const std::vector<Destination> &destinations, std::uint64_t object) -> Destination;

}
