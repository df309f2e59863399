/** One file of an operator's rule folder, as text. */
#pragma once

#include <string>
#include <vector>

namespace lycheecleat
{

/** A rule file. */
struct RuleFile
{
    /** Path relative to the folder, with forward slashes. */
    std::string name_;
    std::string content_;

    auto operator==(const RuleFile &other) const -> bool = default;
};

/** Rule files sorted by name. */
using RuleFiles = std::vector<RuleFile>;

}
