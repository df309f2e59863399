#include "process/metrics.h"

#include <prometheus/text_serializer.h>

#include <sstream>

namespace lycheecleat
{

namespace
{

/** Bucket bounds in seconds. The bounds on added latency are 0.2 ms at p50 and 1 ms at p99, so the buckets are fine around these. */
const auto durationBuckets =
    prometheus::Histogram::BucketBoundaries { 0.0001, 0.0002, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10 };

auto makeDuration(prometheus::Registry &registry) -> prometheus::Histogram &
{
    auto &family = prometheus::BuildHistogram()
                       .Name("lycheecleat_request_duration_seconds")
                       .Help("Time from a whole request to its whole answer, including the backend server")
                       .Register(registry);
    return family.Add({}, durationBuckets);
}

auto makeUnreadTime(prometheus::Registry &registry) -> prometheus::Histogram &
{
    auto &family = prometheus::BuildHistogram()
                       .Name("lycheecleat_request_unread_seconds")
                       .Help("Time for which requests had been at this host before they were read")
                       .Register(registry);
    return family.Add({}, durationBuckets);
}

auto makeRefusals(prometheus::Registry &registry) -> prometheus::Family<prometheus::Counter> &
{
    return prometheus::BuildCounter().Name("lycheecleat_requests_refused_total").Help("Requests refused, by reason and organisation").Register(registry);
}

auto makeResponses(prometheus::Registry &registry) -> prometheus::Family<prometheus::Counter> &
{
    return prometheus::BuildCounter()
        .Name("lycheecleat_answers_total")
        .Help("Answers, by route and status; status 0 when the caller had left")
        .Register(registry);
}

auto makeResends(prometheus::Registry &registry) -> prometheus::Counter &
{
    auto &family = prometheus::BuildCounter().Name("lycheecleat_resends_total").Help("Sends to a further backend server").Register(registry);
    return family.Add({});
}

auto metricOf(const MetricValue &value) -> prometheus::ClientMetric
{
    auto metric = prometheus::ClientMetric {};
    for (const auto &[name, text] : value.labels_) {
        metric.label.push_back({ name, text });
    }
    if (value.kind_ == MetricKind::Counter) {
        metric.counter.value = value.value_;
    } else {
        metric.gauge.value = value.value_;
    }
    return metric;
}

auto familyOf(const MetricValue &value) -> prometheus::MetricFamily
{
    auto family = prometheus::MetricFamily {};
    family.name = value.name_;
    family.help = value.help_;
    family.type = value.kind_ == MetricKind::Counter ? prometheus::MetricType::Counter : prometheus::MetricType::Gauge;
    return family;
}

}

auto counterValue(std::string name, std::string help, std::map<std::string, std::string> labels, std::int64_t value) -> MetricValue
{
    return { std::move(name), std::move(help), MetricKind::Counter, std::move(labels), static_cast<double>(value) };
}

Metrics::Metrics()
    : duration_(makeDuration(registry_))
    , unreadTime_(makeUnreadTime(registry_))
    , refusals_(makeRefusals(registry_))
    , responses_(makeResponses(registry_))
    , resends_(makeResends(registry_))
{
}

auto Metrics::observe(const RequestObservation &observation) -> void
{
    duration_.Observe(absl::ToDoubleSeconds(observation.duration_));
    unreadTime_.Observe(absl::ToDoubleSeconds(observation.unreadTime_));
    if (!observation.route_.empty()) {
        responses_.Add({ { "route", observation.route_ }, { "status", std::to_string(observation.status_) } }).Increment();
    }
    if (observation.attempts_ > 1) {
        resends_.Increment(observation.attempts_ - 1);
    }
    if (!observation.refusalReason_.empty()) {
        refusals_.Add({ { "reason", observation.refusalReason_ }, { "organisation", observation.organisation_ } }).Increment();
    }
}

auto Metrics::text(const std::vector<MetricValue> &values) const -> std::string
{
    auto families = registry_.Collect();
    auto previous = std::string {};
    for (const auto &value : values) {
        if (value.name_ != previous) {
            families.push_back(familyOf(value));
            previous = value.name_;
        }
        families.back().metric.push_back(metricOf(value));
    }
    auto stream = std::ostringstream {};
    prometheus::TextSerializer().Serialize(stream, families);
    return stream.str();
}

}
