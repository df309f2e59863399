/** A backend server. */
#pragma once

#include <string>

namespace lycheecleat
{

/** A backend server as listed by a rule of kind `pool`. */
struct BackendServer
{
    std::string name_;
    std::string zone_;
    /** IP address and port. */
    std::string address_;

    auto operator==(const BackendServer &other) const -> bool = default;
};

}
