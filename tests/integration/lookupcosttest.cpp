#include "support/deployment.h"
#include "support/measurement.h"

#include <absl/time/time.h>
#include <doctest/doctest.h>

#include <algorithm>

using namespace integration;

// Guards against a high processor cost of lookups at a moderate rate, where each lookup wakes a thread; performancetest covers sustained load.
TEST_CASE("a lookup takes under 50 microseconds of processor time at 2000 lookups a second")
{
    constexpr auto target = absl::Microseconds(50);
    constexpr auto rounds = 5;
    auto deployment = Deployment(DeploymentSettings {});
    const auto &host = deployment.hosts().front();
    auto cheapest = absl::InfiniteDuration();
    for (auto round = 0; round < rounds; ++round) {
        const auto report = runLoad(deployment,
                                    host.address_,
                                    host.process_->pid(),
                                    { "--path", "/.well-known/lycheecleat/lookup", "--rate", "2000", "--seconds", "1", "--threads", "2" });
        CAPTURE(report.client_.dump());
        REQUIRE(report.served() > 0);
        CHECK(report.served() == report.client_.at("sent"));
        cheapest = std::min(cheapest, report.processorTime_ / report.served());
    }
    MESSAGE("processor time of a lookup: ", absl::FormatDuration(cheapest));
    CHECK(cheapest < target);
}
