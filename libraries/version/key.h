/** A caller's key, of which only a keyed digest is stored. */
#pragma once

#include <string>

namespace lycheecleat
{

/** A key as declared by a rule of kind `key`. */
struct Key
{
    /** Public identifier of the key. */
    std::string name_;
    std::string organisation_;
    /** HMAC-SHA-256 of the key under the fleet secret, in hexadecimal. */
    std::string digest_;
    /** Whether the key is valid; false once it has been withdrawn. */
    bool active_ = true;

    auto operator==(const Key &other) const -> bool = default;
};

}
