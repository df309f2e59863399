#include "support/backenddraining.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <thread>
#include <vector>

using namespace integration;

// Guards against a draining backend server that still receives new requests after 5 s, and against interrupting its requests in flight.
TEST_CASE("a draining backend server receives no new requests and completes those in flight, for each drain signal")
{
    checkDraining(Outage::None,
                  { { "r1-1-b1", DrainSignal::DrainRule },
                    { "r1-2-b1", DrainSignal::HostList },
                    { "r1-3-b1", DrainSignal::HealthEndpoint },
                    { "r1-1-b2", DrainSignal::ConnectionClose } });
}

// Guards against health endpoints that remove a whole pool from use: at least half of each zone's servers stay in use, whatever they report.
TEST_CASE("wrong health reports remove at most half of a zone's servers from use")
{
    auto deployment = Deployment(drainTestSettings());
    auto caller = Caller {};
    const auto load = OpenRouteLoad(deployment, caller);
    for (const auto *const state : { "draining", "silent" }) {
        CAPTURE(state);
        for (const auto &backend : deployment.backends()) {
            setHealthState(backend, state);
        }
        std::this_thread::sleep_for(drainLimit);
        auto before = std::vector<int> {};
        for (const auto &backend : deployment.backends()) {
            before.push_back(countReceivedRequests(backend));
        }
        std::this_thread::sleep_for(observationTime);
        auto activeServers = std::map<std::string, int> {};
        for (auto index = std::size_t { 0 }; index < before.size(); ++index) {
            const auto &backend = deployment.backends()[index];
            activeServers[backend.zone_] += countReceivedRequests(backend) > before[index] ? 1 : 0;
        }
        for (const auto &zone : activeServers) {
            CAPTURE(zone.first);
            CHECK(zone.second >= 2);
        }
    }
}
