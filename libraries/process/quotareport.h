/** Metrics about the admission of requests within the organisations' quotas. */
#pragma once

#include "process/metrics.h"
#include "process/organisationquotas.h"

#include <vector>

namespace lycheecleat
{

/** The counters of admissions between hosts as metrics. */
[[nodiscard]] auto quotaMetrics(const QuotaCounts &counts) -> std::vector<MetricValue>;

}
