#include "process/metrics.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

auto contains(const std::string &text, const std::string &part) -> bool
{
    return text.find(part) != std::string::npos;
}

}

// Guards against refusals that aren't counted by organisation, which would hide the organisation with the most refusals.
TEST_CASE("refusals are counted by reason and organisation")
{
    auto metrics = Metrics();
    metrics.observe(RequestObservation { "small", "rate_exceeded", absl::Milliseconds(1) });
    metrics.observe(RequestObservation { "small", "rate_exceeded", absl::Milliseconds(1) });
    metrics.observe(RequestObservation { "large", "no_capacity", absl::Milliseconds(1) });
    metrics.observe(RequestObservation { "large", "", absl::Milliseconds(3) });
    const auto text = metrics.text({});
    CHECK(contains(text, R"(lycheecleat_requests_refused_total{organisation="small",reason="rate_exceeded"} 2)"));
    CHECK(contains(text, R"(lycheecleat_requests_refused_total{organisation="large",reason="no_capacity"} 1)"));
    CHECK(contains(text, "lycheecleat_request_duration_seconds_count 4"));
}

TEST_CASE("values read at collection are written with their kind and labels")
{
    const auto values = std::vector<MetricValue> {
        { "lycheecleat_store_calls_total", "Calls", MetricKind::Counter, { { "kind", "watch" } }, 3 },
        { "lycheecleat_store_calls_total", "Calls", MetricKind::Counter, { { "kind", "host_list" } }, 4 },
        { "lycheecleat_configuration_revision", "Revision", MetricKind::Gauge, {}, 17 },
    };
    const auto text = Metrics().text(values);
    CHECK(contains(text, "# TYPE lycheecleat_store_calls_total counter"));
    CHECK(contains(text, R"(lycheecleat_store_calls_total{kind="watch"} 3)"));
    CHECK(contains(text, R"(lycheecleat_store_calls_total{kind="host_list"} 4)"));
    CHECK(contains(text, "# TYPE lycheecleat_configuration_revision gauge"));
    CHECK(contains(text, "lycheecleat_configuration_revision 17"));
}
