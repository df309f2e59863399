/** A backend server that has registered itself. */
#pragma once

#include "version/backendserver.h"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <string>

namespace lycheecleat
{

/** A backend server as its registration describes it. */
struct DiscoveredBackend
{
    /** The name is the identifier of the registration. */
    BackendServer server_;
    std::string service_;
    /** Requests that it processes concurrently. */
    int slots_ = 1;
    /** Whether it has announced its shutdown. */
    bool isDraining_ = false;
    /** Remaining duration of its cold start at the time the registration was written. */
    absl::Duration remainingColdTime_;
    /** Identifies one start of the process; a later start under the same name has a larger value. */
    std::int64_t incarnation_ = 0;
    /** Rises with each registration that one incarnation writes. */
    std::int64_t sequence_ = 0;

    auto operator==(const DiscoveredBackend &other) const -> bool = default;
};

/** Orders the registrations that one backend server has written. */
struct RegistrationVersion
{
    std::int64_t incarnation_ = 0;
    std::int64_t sequence_ = 0;

    auto operator<=>(const RegistrationVersion &other) const -> std::strong_ordering = default;
};

[[nodiscard]] inline auto versionOf(const DiscoveredBackend &backend) -> RegistrationVersion
{
    return { backend.incarnation_, backend.sequence_ };
}

}
