#include "support/backenddraining.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace integration;

namespace
{

struct OutageCase
{
    std::string name_;
    Outage outage_;
    std::vector<DrainingServer> servers_;
};

}

// Guards against a draining backend server that keeps receiving requests because its drain status reaches the host neither from the store nor from
// another zone.
TEST_CASE("a draining backend server receives no new requests while the store is down or its zone is partitioned")
{
    const auto cases = std::vector<OutageCase> {
        { "the store is down", Outage::Store, { { "r1-2-b1", DrainSignal::HealthEndpoint }, { "r1-3-b2", DrainSignal::ConnectionClose } } },
        { "the zone is partitioned", Outage::ZoneIsolated, { { "r1-3-b1", DrainSignal::HealthEndpoint }, { "r1-3-b2", DrainSignal::ConnectionClose } } },
    };
    for (const auto &outageCase : cases) {
        CAPTURE(outageCase.name_);
        checkDraining(outageCase.outage_, outageCase.servers_);
    }
}
