#include "support/bodycrowd.h"
#include "support/fleet.h"
#include "support/measurement.h"

#include <doctest/doctest.h>

#include <chrono>
#include <filesystem>
#include <iterator>
#include <string>

using namespace platformtest;

namespace
{

constexpr auto okStatus = 200;
constexpr auto bytesPerMegabyte = std::size_t { 1024 } * 1024;

/** Limits of each host, lower than any site's, so that a small crowd exceeds them. */
constexpr auto memoryMegabytes = std::size_t { 64 };
constexpr auto maximumDescriptors = 500;

constexpr auto crowdCallers = 48;
/** Memory of the sites' smallest hosts, and the largest body that callers may send there. */
constexpr auto smallestSiteMegabytes = std::size_t { 112 };
constexpr auto largestBodyBytes = 64 * bytesPerMegabyte;

constexpr auto crowdBodyBytes = 4 * bytesPerMegabyte;

/** Time in which an ordinary request is answered at last; it only keeps the test from waiting forever. */
constexpr auto answerLimit = std::chrono::seconds { 60 };

auto settingsWith(std::size_t megabytes) -> FleetSettings
{
    auto settings = FleetSettings {};
    settings.memoryMegabytes_ = static_cast<int>(megabytes);
    settings.maximumDescriptors_ = maximumDescriptors;
    return settings;
}

auto openDescriptors(pid_t pid) -> std::ptrdiff_t
{
    const auto folder = std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/fd");
    return std::distance(begin(folder), end(folder));
}

auto checkWithinLimits(FleetHost &host, std::size_t megabytes) -> void
{
    REQUIRE(host.process_->isRunning());
    const auto peak = static_cast<std::size_t>(integration::peakMemory(host.process_->pid())) / bytesPerMegabyte;
    const auto descriptors = openDescriptors(host.process_->pid());
    MESSAGE("peak " << peak << " MB, " << descriptors << " descriptors");
    CHECK(peak < megabytes);
    CHECK(descriptors < maximumDescriptors);
}

// Guards against a host that holds the bodies of all callers, however many there are, until it is killed for exceeding its memory.
auto checkCrowd(BodyForm form) -> void
{
    auto fleet = Fleet(settingsWith(memoryMegabytes));
    auto &host = fleet.hosts().front();
    const auto answersOrdinaryRequest = [&] {
        return fleet.call(host, "/read/a").response_.status_ == okStatus;
    };
    {
        auto crowd = BodyCrowd(host.callerAddress_, { form, crowdCallers, crowdBodyBytes });
        crowd.waitUntilSent();
        checkWithinLimits(host, memoryMegabytes);
        CHECK(Fleet::waitFor(answersOrdinaryRequest, answerLimit));
    }
    CHECK(Fleet::waitFor(answersOrdinaryRequest, answerLimit));
    checkWithinLimits(host, memoryMegabytes);
}

}

TEST_CASE("a host stays within its limits beside large bodies that are sent whole")
{
    checkCrowd(BodyForm::Whole);
}

TEST_CASE("a host stays within its limits beside large bodies that are sent piece by piece")
{
    checkCrowd(BodyForm::Pieces);
}

TEST_CASE("a host stays within its limits beside large bodies in large chunks")
{
    checkCrowd(BodyForm::LargeChunks);
}

TEST_CASE("a host stays within its limits beside large bodies in chunks of one byte")
{
    checkCrowd(BodyForm::SmallChunks);
}

// Guards against a bound on memory that turns away requests inside the limits.
TEST_CASE("the largest body that is allowed is served in calm")
{
    for (const auto form : { BodyForm::Whole, BodyForm::LargeChunks }) {
        auto fleet = Fleet(settingsWith(smallestSiteMegabytes));
        auto &host = fleet.hosts().front();
        constexpr auto callers = 1;
        auto crowd = BodyCrowd(host.callerAddress_, { form, callers, largestBodyBytes, callers });
        crowd.waitUntilSent();
        CHECK(crowd.servedCallers() == callers);
        checkWithinLimits(host, smallestSiteMegabytes);
    }
}
