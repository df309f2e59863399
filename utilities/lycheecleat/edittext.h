/** Formats edits of rule files as text and JSON. */
#pragma once

#include "version/bundle.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lycheecleat
{

/** Lists the edited files, one per line: `added`, `changed` or `removed`, and the name. */
[[nodiscard]] auto formatEditList(const std::vector<FileEdit> &edits) -> std::string;

/** The edited files as a JSON array of objects with `file` and `edit`. */
[[nodiscard]] auto editsToJson(const std::vector<FileEdit> &edits) -> nlohmann::json;

/** Shows the lines that an edit removes, then those that it adds. All lines from the first to the last difference count as removed and added. */
[[nodiscard]] auto formatEditDiff(const FileEdit &edit) -> std::string;

}
