/** Figures that a deployment prescribes. */
#pragma once

#include "request/windowquota.h"

#include <absl/time/time.h>

namespace lycheecleat
{

/** Bounds of a deployment, from its settings. */
struct FleetTerms
{
    QuotaSettings quota_;
    /** Requests sent again for each request of a service, over all hosts. */
    double retryShare_ = 0.1;
    /** Requests sent again in the retry window beyond that share, over all hosts. */
    double retryExtra_ = 10;
    /** Factor and addition to the requests a second that a cold backend server tolerates. */
    double coldOverage_ = 1;
    double coldSlack_ = 0;
    /** Longest lifetime of a lookup answer that callers honour. */
    absl::Duration maximumLookupLifetime_ = absl::Seconds(5);
    /** Time from the stop signal until the process is killed. */
    absl::Duration stopGrace_ = absl::Seconds(6);

    auto operator==(const FleetTerms &other) const -> bool = default;
};

}
