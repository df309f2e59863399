/** Settings of the store, of the freshness bound and of loans. */
#pragma once

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace lycheecleat
{

/** Maximum age of a host's view of the store. With an older view, the host refuses keyed requests on routes without Isolation::Serve. */
inline constexpr auto defaultFreshnessBound = absl::Seconds(4);

/** Duration for which the borrower may use a rate or slot loan. */
inline constexpr auto defaultLoanDuration = absl::Seconds(2);

/** The platform as declared by a rule of kind `platform`. */
struct Platform
{
    /** Availability zones in which the store runs. */
    std::vector<std::string> storeZones_;
    absl::Duration freshness_ = defaultFreshnessBound;
    absl::Duration loan_ = defaultLoanDuration;

    auto operator==(const Platform &other) const -> bool = default;
};

}
