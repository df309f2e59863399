/** Metrics about what the server for callers holds and turns away. */
#pragma once

#include "core/bytebudget.h"
#include "process/callerserver.h"
#include "process/metrics.h"

#include <vector>

namespace lycheecleat
{

/** The counters of the server and the use of the budget of message bodies, which may be null. */
[[nodiscard]] auto callerServerMetrics(const CallerServerCounts &counts, const ByteBudgetPointer &bodyMemory) -> std::vector<MetricValue>;

}
