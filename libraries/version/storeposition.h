/** A point in the history of the platform's store. */
#pragma once

#include <compare>
#include <cstdint>

namespace lycheecleat
{

/**
 * Position up to which records are known. The store begins a new era each time it is restored from an older copy; its revisions then go back and are
 * issued again, so that they are comparable only within an era. Any position of a later era is the newer one.
 */
struct StorePosition
{
    /** 0 if the store does not report eras. */
    std::int64_t era_ = 0;
    /** 0 if no records are known. */
    std::int64_t revision_ = 0;

    auto operator<=>(const StorePosition &other) const -> std::strong_ordering = default;
};

}
