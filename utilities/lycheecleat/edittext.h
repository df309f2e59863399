/** Edits as text and JSON. */
#pragma once

#include "version/bundle.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lycheecleat
{

/** One line for each edited file. */
[[nodiscard]] auto formatEditList(const std::vector<FileEdit> &edits) -> std::string;

/** The edited files as JSON. */
[[nodiscard]] auto editsToJson(const std::vector<FileEdit> &edits) -> nlohmann::json;

/** The lines that an edit removes and adds. Lines between the first and the last difference are shown whole. */
[[nodiscard]] auto formatEditDiff(const FileEdit &edit) -> std::string;

}
