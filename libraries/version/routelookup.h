/** Route lookup by host and path. */
#pragma once

#include "version/configuration.h"

#include <string>
#include <string_view>

namespace lycheecleat
{

/** Whether a path has the prefix, compared by whole path segments. */
[[nodiscard]] auto matchesPath(std::string_view prefix, std::string_view path) -> bool;

/** The first route in file order that matches; null if none does. The host may have a port and any letter case; the path has no query. */
[[nodiscard]] auto findRoute(const Configuration &configuration, std::string_view host, std::string_view path) -> const Route *;

}
