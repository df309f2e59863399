#include "support/fleet.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace platformtest;

namespace
{

constexpr auto okStatus = 200;

/** After this time no request may reach a removed backend server; the shortest `drain` setting of the sites. */
constexpr auto removalTimeout = std::chrono::milliseconds { 2500 };

constexpr auto callsPerHost = 60;

}

// Guards against a violation of the DRAIN requirement: the only host that reaches the store was restarted after a backend server was removed, so it never saw
// the removal in a watch and its peers kept sending requests to the removed server.
TEST_CASE("a host learns of a removal from a peer that started after the removal")
{
    auto fleet = Fleet();
    auto &restarted = fleet.hosts().front();
    for (const auto &host : fleet.hosts()) {
        fleet.store().setFault(host.storeAddress_, StoreFault::Unavailable);
    }
    restarted.process_->kill();
    const auto &removedBackend = *fleet.backends().front();
    fleet.backends().front()->removeRegistration();
    fleet.configure();
    fleet.store().setFault(restarted.storeAddress_, StoreFault::None);
    fleet.startHost(restarted);
    fleet.waitUntilServing();
    std::this_thread::sleep_for(removalTimeout);
    const auto runsBefore = fleet.runCountOn(removedBackend.instance());
    for (auto number = 0; number < callsPerHost; ++number) {
        for (const auto &host : fleet.hosts()) {
            CHECK(fleet.call(host, "/read/" + std::to_string(number)).response_.status_ == okStatus);
        }
    }
    CHECK(fleet.runCountOn(removedBackend.instance()) == runsBefore);
}
