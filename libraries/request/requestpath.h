/** The path by which a request is routed. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheecleat
{

/**
 * The decoded path of a target. None when a backend server could read the path as another one (dot segments, empty segments, encoded or
 * backward slashes, control characters): such a request could reach a keyed path through an open route.
 */
[[nodiscard]] auto routingPath(std::string_view target) -> std::optional<std::string>;

}
