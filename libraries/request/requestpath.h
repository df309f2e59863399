/** Extraction of the path by which a request is routed. */
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lycheecleat
{

/**
 * The percent-decoded path of a request target. None when a backend server could interpret the path as a different one (dot segments, empty segments,
 * encoded slashes, backslashes, control characters): such a request could reach a path that requires a key through an open route.
 */
[[nodiscard]] auto routingPath(std::string_view target) -> std::optional<std::string>;

}
