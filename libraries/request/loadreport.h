/** What a backend server says in its responses about its load. */
#pragma once

#include <optional>
#include <string>

namespace lycheecleat
{

/** Load that a backend server has reported. */
struct LoadReport
{
    int running_ = 0;
    int waiting_ = 0;
    int slots_ = 0;

    auto operator==(const LoadReport &other) const -> bool = default;
};

/**
 * Parses the requests that run, those that wait, and the slots, separated by commas. A fourth figure may follow: how long work takes at that moment, in percent
 * of the usual time. It is checked only, since it changes many times between two reports that a host gets. None if a figure is missing or out of range.
 */
[[nodiscard]] auto parseLoadReport(const std::string &value) -> std::optional<LoadReport>;

}
