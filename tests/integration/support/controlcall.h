/** Calls to the control endpoints of the stand-ins. */
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace integration
{

/** Gets a control path such as "/control/counts". Throws unless the response is a 200: without its control calls a test checks nothing. */
[[nodiscard]] auto readControl(const std::string &address, const std::string &path) -> nlohmann::json;

/** Posts to a control path. Throws unless the response is a 200. */
auto postControl(const std::string &address, const std::string &path, const nlohmann::json &body) -> void;

}
