/** Metrics of the process in the Prometheus text format. */
#pragma once

#include "process/requestobservation.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <string>
#include <vector>

namespace lycheecleat
{

/** How a measured value behaves. */
enum class MetricKind {
    Counter,
    Gauge,
};

/** One value read when metrics are collected. Values of one name stand next to each other. */
struct MetricValue
{
    std::string name_;
    std::string help_;
    MetricKind kind_ = MetricKind::Gauge;
    std::map<std::string, std::string> labels_;
    double value_ = 0;
};

/** Collects observations of requests. Thread-safe. */
class Metrics
{
public:
    Metrics();

    /** Counts one request. */
    auto observe(const RequestObservation &observation) -> void;

    /** All metrics as text, with values that the caller has read just now. */
    [[nodiscard]] auto text(const std::vector<MetricValue> &values) const -> std::string;

private:
    prometheus::Registry registry_;
    prometheus::Histogram &duration_;
    prometheus::Family<prometheus::Counter> &refusals_;
    prometheus::Family<prometheus::Counter> &answers_;
    prometheus::Counter &resends_;
};

}
