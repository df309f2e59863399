/** A declared entry host, which is also one share slot. */
#pragma once

#include <string>

namespace lycheecleat
{

/** An entry host as declared by a rule of kind `entry-host`. */
struct EntryHost
{
    std::string name_;
    std::string zone_;
    /** IP address and port for callers. */
    std::string address_;
    /** IP address and port for other daemons. */
    std::string peer_;

    auto operator==(const EntryHost &other) const -> bool = default;
};

}
