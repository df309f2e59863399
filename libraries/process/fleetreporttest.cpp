#include "process/fleetreport.h"

#include <doctest/doctest.h>

#include <string>

using namespace lycheecleat;

// Guards against a status request that ends the process because a peer sent a name that is not UTF-8.
TEST_CASE("a status with names that are not UTF-8 can be serialized")
{
    for (const auto &name : { std::string("\xff\xfe"), std::string("\xed\xa0\x80"), std::string("a\0b", 3) }) {
        auto peer = KnownHost {};
        peer.identity_.emplace();
        peer.identity_->name = name;
        peer.identity_->zone = name;
        auto snapshot = FleetDaemonSnapshot {};
        snapshot.host_ = "host";
        snapshot.peers_ = { peer };
        auto text = std::string {};
        CHECK_NOTHROW(text = jsonText(statusJson(snapshot)));
        CHECK(nlohmann::json::parse(text).at("host") == "host");
    }
}
