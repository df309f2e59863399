/** Finds the route of a request. */
#pragma once

#include "version/configuration.h"

#include <string>
#include <string_view>

namespace lycheecleat
{

/** Whether a path lies under a prefix of whole segments. */
[[nodiscard]] auto matchesPath(std::string_view prefix, std::string_view path) -> bool;

/** The first route in file order that matches; null when none does. The host may carry a port and any letter case; the path carries no query. */
[[nodiscard]] auto findRoute(const Configuration &configuration, std::string_view host, std::string_view path) -> const Route *;

}
