/** Control calls to stand-ins. */
#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace integration
{

/** Reads a control path such as "/control/counts". Throws when there is no good answer: a test without its control has no meaning. */
[[nodiscard]] auto readControl(const std::string &address, const std::string &path) -> nlohmann::json;

/** Posts to a control path. Throws when there is no good answer. */
auto postControl(const std::string &address, const std::string &path, const nlohmann::json &body) -> void;

}
