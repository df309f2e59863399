/** Metrics of the process in the Prometheus text format. */
#pragma once

#include "process/requestobservation.h"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Prometheus type of a metric. */
enum class MetricKind {
    Counter,
    Gauge,
};

/** A value that is read when metrics are collected. In a list, values with the same name must be adjacent. */
struct MetricValue
{
    std::string name_;
    std::string help_;
    MetricKind kind_ = MetricKind::Gauge;
    std::map<std::string, std::string> labels_;
    double value_ = 0;
};

/** A value that only increases. */
[[nodiscard]] auto counterValue(std::string name, std::string help, std::map<std::string, std::string> labels, std::int64_t value) -> MetricValue;

/** Counts and times requests, and writes all metrics of the process. Thread-safe. */
class Metrics
{
public:
    Metrics();

    /** Records a finished request. */
    auto observe(const RequestObservation &observation) -> void;

    /** All metrics in the Prometheus text format, including the given values. */
    [[nodiscard]] auto text(const std::vector<MetricValue> &values) const -> std::string;

private:
    prometheus::Registry registry_;
    prometheus::Histogram &duration_;
    prometheus::Histogram &unreadTime_;
    prometheus::Family<prometheus::Counter> &refusals_;
    prometheus::Family<prometheus::Counter> &responses_;
    prometheus::Counter &resends_;
};

}
