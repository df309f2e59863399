#include "process/configurationwatcher.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

struct StoreWatchCase
{
    std::string description_;
    StoreWatchInputs inputs_;
    bool expected_;
};

struct HeadCase
{
    HeadIdentity offered_;
    HeadComparison expected_;
};

}

// Guards against watches from every host of a large fleet, and against a zone without a host that watches the store.
TEST_CASE("the first two available hosts of a zone watch the store")
{
    const auto recent = absl::Seconds(1);
    const auto ageing = absl::Seconds(3);
    const auto freshness = absl::Seconds(4);
    const auto cases = std::vector<StoreWatchCase> {
        { "no configuration", { 0, false, 5, false, absl::InfiniteDuration(), freshness }, true },
        { "not declared", { 3, false, 5, false, recent, freshness }, true },
        { "first host of the zone", { 3, true, 0, false, recent, freshness }, true },
        { "second host", { 3, true, 1, false, recent, freshness }, true },
        { "third host, recent state", { 3, true, 2, false, recent, freshness }, false },
        { "third host, ageing state, outside the store zones", { 3, true, 2, false, ageing, freshness }, false },
        { "third host, ageing state, in a store zone", { 3, true, 2, true, ageing, freshness }, true },
        { "third host, recent state, in a store zone", { 3, true, 2, true, recent, freshness }, false },
    };
    for (const auto &storeWatchCase : cases) {
        CAPTURE(storeWatchCase.description_);
        CHECK(shouldWatchStore(storeWatchCase.inputs_) == storeWatchCase.expected_);
    }
}

// Guards against a configuration that goes back to an older revision, and against different configurations with the same revision on different hosts.
TEST_CASE("only a head with a higher revision is newer")
{
    const auto currentHead = HeadIdentity { 5, "five" };
    const auto cases = std::vector<HeadCase> {
        { { 6, "six" }, HeadComparison::Newer },  { { 5, "five" }, HeadComparison::Same }, { { 5, "other" }, HeadComparison::Conflict },
        { { 4, "four" }, HeadComparison::Older }, { { 0, "" }, HeadComparison::Older },
    };
    for (const auto &headCase : cases) {
        CAPTURE(headCase.offered_.revision_);
        CAPTURE(headCase.offered_.digest_);
        CHECK(compareHeads(currentHead, headCase.offered_) == headCase.expected_);
    }
}

// Guards against a leaving machine that still receives requests because the host list identifies it by address only.
TEST_CASE("leaving backend servers are identified by name or by address")
{
    auto configuration = Configuration {};
    auto pool = Pool {};
    pool.backends_ = { { "b1", "z", "127.0.0.1:1" }, { "b2", "z", "127.0.0.1:2" }, { "b3", "z", "127.0.0.1:3" } };
    configuration.pools_ = { pool };
    const auto list = HostList { 4, { { "b1", "", true }, { "machine-2", "127.0.0.1:2", true }, { "b3", "127.0.0.1:3", false } } };
    CHECK(leavingMachines(list) == std::vector<std::string> { "127.0.0.1:2", "b1", "machine-2" });
    CHECK(leavingBackendsOf(leavingMachines(list), configuration) == std::vector<std::string> { "b1", "b2" });
}
