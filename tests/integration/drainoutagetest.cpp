#include "support/leaving.h"

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
    std::vector<LeavingServer> servers_;
};

}

// Guards against a leaving backend server that keeps getting work because neither the store nor another zone can tell the host that it leaves.
TEST_CASE("a backend server leaves while the store is down or its zone is cut off")
{
    const auto cases = std::vector<OutageCase> {
        { "the store is down", Outage::Store, { { "r1-2-b1", LeavingSign::Health }, { "r1-3-b2", LeavingSign::ConnectionClose } } },
        { "the zone is cut off", Outage::ZoneCutOff, { { "r1-3-b1", LeavingSign::Health }, { "r1-3-b2", LeavingSign::ConnectionClose } } },
    };
    for (const auto &outageCase : cases) {
        CAPTURE(outageCase.name_);
        checkLeaving(outageCase.outage_, outageCase.servers_);
    }
}
