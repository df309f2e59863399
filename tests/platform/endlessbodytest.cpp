#include "support/fleet.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace platformtest;

namespace
{

constexpr auto okStatus = 200;
constexpr auto concurrentCallers = 40;
constexpr auto kilobytesPerMegabyte = 1024;

/** Peak resident memory of a process in megabytes, from VmHWM in /proc; 0 when it cannot be read. */
auto peakMemory(pid_t process) -> int
{
    auto file = std::ifstream("/proc/" + std::to_string(process) + "/status");
    auto line = std::string {};
    while (std::getline(file, line)) {
        if (line.rfind("VmHWM:", 0) == 0) {
            auto kilobytes = 0;
            std::istringstream(line.substr(line.find(':') + 1)) >> kilobytes;
            return kilobytes / kilobytesPerMegabyte;
        }
    }
    return 0;
}

}

// Guards against a host that buffers response bodies of unlimited length from backend servers until it is killed for exceeding its memory.
TEST_CASE("a host stays within its memory limit when backend servers send endless response bodies")
{
    const auto settings = FleetSettings {};
    auto fleet = Fleet(settings);
    auto &host = fleet.hosts().front();
    for (const auto &backend : fleet.backends()) {
        backend->setFault(PlatformBackendFault::EndlessBody);
    }
    auto callers = std::vector<std::thread> {};
    for (auto number = 0; number < concurrentCallers; ++number) {
        callers.emplace_back([&fleet, &host, number] {
            fleet.call(host, "/book/" + std::to_string(number));
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    for (const auto &backend : fleet.backends()) {
        backend->setFault(PlatformBackendFault::None);
    }
    REQUIRE(host.process_->isRunning());
    const auto peak = peakMemory(host.process_->pid());
    MESSAGE("peak " << peak << " MB");
    CHECK(peak < settings.memoryMegabytes_);
    CHECK(Fleet::waitFor(
        [&] {
            return fleet.call(host, "/read/a").response_.status_ == okStatus;
        },
        std::chrono::seconds { 5 }));
}
