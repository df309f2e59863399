/** Chooses among the weighted destinations of a route. */
#pragma once

#include "version/trafficpolicy.h"

#include <cstdint>
#include <vector>

namespace lycheecleat
{

/** The destination of an object: objects are divided in proportion to the weights, alike on every host. Empty when there is none. */
[[nodiscard]] auto chooseDestination(const std::vector<Destination> &destinations, std::uint64_t object) -> Destination;

}
