/** Settings of a deployment that can change while the daemon runs. */
#pragma once

#include "request/windowquota.h"

#include <absl/time/time.h>

namespace lycheecleat
{

/** Settings that FleetDaemon::reload() applies without a restart. */
struct ReloadableSettings
{
    QuotaSettings quota_;
    /** Retries allowed per request of a service, over all hosts. */
    double retryBudgetRatio_ = 0.1;
    /** Retries allowed per retry window in addition to that ratio, over all hosts. */
    double retryBudgetExtra_ = 10;
    /** Factor applied to the requests per second that a cold backend server tolerates. */
    double coldRateFactor_ = 1;
    /** Requests per second added to that product. */
    double coldRateAllowance_ = 0;
    /** Longest lifetime of a lookup response that callers honour. */
    absl::Duration maximumLookupLifetime_ = absl::Seconds(5);
    /** Time from the stop signal until the process is killed. */
    absl::Duration stopGrace_ = absl::Seconds(6);

    auto operator==(const ReloadableSettings &other) const -> bool = default;
};

}
