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

// Guards against a leaving backend server that keeps getting work because neither the store nor another zone can tell the host that it leaves.
TEST_CASE("a backend server leaves while the store is down or its zone is cut off")
{
    const auto cases = std::vector<OutageCase> {
        { "the store is down", Outage::Store, { { "r1-2-b1", DrainSignal::HealthEndpoint }, { "r1-3-b2", DrainSignal::ConnectionClose } } },
        { "the zone is cut off", Outage::ZoneCutOff, { { "r1-3-b1", DrainSignal::HealthEndpoint }, { "r1-3-b2", DrainSignal::ConnectionClose } } },
    };
    for (const auto &outageCase : cases) {
        CAPTURE(outageCase.name_);
        checkDraining(outageCase.outage_, outageCase.servers_);
    }
}
