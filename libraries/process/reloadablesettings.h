/** Figures that a deployment prescribes. */
#pragma once

#include "request/windowquota.h"

#include <absl/time/time.h>

namespace lycheecleat
{

/** Bounds of a deployment, from its settings. */
struct ReloadableSettings
{
    QuotaSettings quota_;
    /** Requests sent again for each request of a service, over all hosts. */
    double retryBudgetRatio_ = 0.1;
    /** Requests sent again in the retry window beyond that share, over all hosts. */
    double retryBudgetExtra_ = 10;
    /** Factor and addition to the requests a second that a cold backend server tolerates. */
    double coldRateFactor_ = 1;
    double coldRateAllowance_ = 0;
    /** Longest lifetime of a lookup answer that callers honour. */
    absl::Duration maximumLookupLifetime_ = absl::Seconds(5);
    /** Time from the stop signal until the process is killed. */
    absl::Duration stopGrace_ = absl::Seconds(6);

    auto operator==(const ReloadableSettings &other) const -> bool = default;
};

}
