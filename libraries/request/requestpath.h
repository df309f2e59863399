/** Extraction of the path by which a request is routed. */
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/**
 * The percent-decoded path of a request target. None when a backend server could interpret the path as a different one (dot segments, empty segments,
 * encoded slashes, backslashes, control characters): such a request could reach a path that requires a key through an open route.
 */
[[nodiscard]] auto routingPath(std::string_view target) -> std::optional<std::string>;

/**
 * The paths, other than the path itself, as which a backend server or a proxy before it could interpret a path: percent-decoded up to three times, with
 * dot segments resolved, and with empty segments, backslashes, path parameters and control characters treated in each usual way. Empty for a path that
 * has one interpretation only.
 */
[[nodiscard]] auto alternativePaths(std::string_view path) -> std::vector<std::string>;

}
