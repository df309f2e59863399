/** A declared entry host, which is also one of the owners among which limits are split. */
#pragma once

#include <string>

namespace lycheecleat
{

/** An entry host as declared by a rule of kind `entry-host`. */
struct EntryHost
{
    std::string name_;
    std::string zone_;
    /** IP address and port on which it serves callers. */
    std::string address_;
    /** IP address and port on which it serves the daemons of other hosts. */
    std::string peer_;

    auto operator==(const EntryHost &other) const -> bool = default;
};

}
