#include "support/loadgenerator.h"

#include "support/backendserver.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace standin;

// Guards against a closed-loop load, whose rate falls when the system slows down so that it underreports latency.
TEST_CASE("the load keeps its rate and counts every response")
{
    auto backendSettings = BackendSettings {};
    backendSettings.name_ = "b1";
    backendSettings.slots_ = 1;
    backendSettings.serviceTime_ = std::chrono::milliseconds(50);
    auto backend = BackendServer(backendSettings);
    REQUIRE(backend.start("127.0.77.4:0"));
    auto settings = LoadSettings {};
    settings.targets_ = { backend.address() };
    settings.rate_ = 100;
    settings.duration_ = std::chrono::duration<double>(1);
    const auto report = nlohmann::json::parse(runLoad(settings));
    CAPTURE(report.dump());
    CHECK(report.at("sent") == 100);
    const auto served = report.at("statuses").value("200", 0);
    const auto shed = report.at("statuses").value("503", 0);
    CHECK(served + shed == 100);
    CHECK(served >= 1);
    // One slot with a service time of 50 ms serves at most about 20 requests per second.
    CHECK(served <= 25);
    CHECK(report.at("p50_us") >= 50000);
}
