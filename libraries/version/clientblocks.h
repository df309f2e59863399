/** Client address blocks that are nearest to one region. */
#pragma once

#include <string>
#include <vector>

namespace lycheecleat
{

/** Client blocks as declared by a rule of kind `client-blocks`. */
struct ClientBlocks
{
    std::string name_;
    std::string region_;
    /** Address blocks in CIDR notation. */
    std::vector<std::string> blocks_;

    auto operator==(const ClientBlocks &other) const -> bool = default;
};

}
