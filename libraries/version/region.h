/** A region and its availability zones. */
#pragma once

#include <string>
#include <vector>

namespace lycheecleat
{

/** A region as declared by a rule of kind `region`. */
struct Region
{
    std::string name_;
    std::vector<std::string> zones_;

    auto operator==(const Region &other) const -> bool = default;
};

}
