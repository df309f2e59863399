/** Settings that concern the platform and the exchange of knowledge. */
#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace lycheecleat
{

/** How old a host's knowledge of the store may be before it refuses keyed requests. */
inline constexpr auto defaultFreshnessBound = absl::Seconds(4);

/** How long a rate or slot loan lasts for the borrower. */
inline constexpr auto defaultLoanDuration = absl::Seconds(2);

/** The platform as declared by a rule of kind `platform`. */
struct Platform
{
    /** Availability zones that hold the store. */
    std::vector<std::string> storeZones_;
    absl::Duration freshness_ = defaultFreshnessBound;
    absl::Duration loan_ = defaultLoanDuration;

    auto operator==(const Platform &other) const -> bool = default;
};

}
