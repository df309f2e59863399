/** A rule that takes a backend server, an entry host or a zone out of service. */
#pragma once

#include <string>

namespace lycheecleat
{

/** What a drain rule applies to. */
enum class DrainTarget {
    Backend,
    EntryHost,
    Zone,
};

/** A drain as declared by a rule of kind `drain`. */
struct Drain
{
    std::string name_;
    DrainTarget targetKind_ = DrainTarget::Backend;
    std::string target_;

    auto operator==(const Drain &other) const -> bool = default;
};

}
