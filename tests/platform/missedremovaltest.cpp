#include "support/fleet.h"

#include <doctest/doctest.h>

#include <string>
#include <thread>

using namespace platformtest;

namespace
{

constexpr auto okStatus = 200;

/** Within which no request may reach a server that has left; the shortest `drain` of the sites. */
constexpr auto removalTimeout = std::chrono::milliseconds { 2500 };

constexpr auto callsPerHost = 60;

}

// Guards against DRAIN: hosts that never hear of a server's removal, since the only peer that reaches the store started after it.
TEST_CASE("a removal is heard from a peer that started after it")
{
    auto fleet = Fleet();
    auto &started = fleet.hosts().front();
    for (const auto &host : fleet.hosts()) {
        fleet.store().setFault(host.storeAddress_, StoreFault::Unavailable);
    }
    started.process_->kill();
    const auto &removedBackend = *fleet.backends().front();
    fleet.backends().front()->removeRegistration();
    fleet.configure();
    fleet.store().setFault(started.storeAddress_, StoreFault::None);
    fleet.startHost(started);
    fleet.waitUntilServing();
    std::this_thread::sleep_for(removalTimeout);
    const auto runs = fleet.runCountOn(removedBackend.instance());
    for (auto number = 0; number < callsPerHost; ++number) {
        for (const auto &host : fleet.hosts()) {
            CHECK(fleet.call(host, "/read/" + std::to_string(number)).response_.status_ == okStatus);
        }
    }
    CHECK(fleet.runCountOn(removedBackend.instance()) == runs);
}
