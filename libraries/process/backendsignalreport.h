/** Log lines and metrics about the signals of backend servers. */
#pragma once

#include "process/backendselector.h"
#include "process/metrics.h"

#include <string>
#include <vector>

namespace lycheecleat
{

/** Logs the headers of a response that are not used as received, and what the others changed, with the request that received the response. */
auto logSignals(absl::Time now, const std::string &requestId, const FleetBackend &backend, const BackendSignals &signals, const MarkChange &change) -> void;

/** Logs what a peer's knowledge of a limit changed. */
auto logPeerLimit(const std::string &peer, const KnownLimit &known, const LimitChange &change) -> void;

/** Logs a mark that has ended. */
auto logEndedMark(const EndedMark &mark) -> void;

/** The counters of signals as metrics. */
[[nodiscard]] auto signalMetrics(const SignalCounts &counts) -> std::vector<MetricValue>;

}
