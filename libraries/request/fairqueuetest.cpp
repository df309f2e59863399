#include "request/fairqueue.h"

#include <doctest/doctest.h>

#include <map>

using namespace lycheecleat;

namespace
{

/** Serves the first of the order and returns its organisation; identifiers are organisation number * 1000 + sequence. */
auto serveFirst(FairQueue &queue) -> std::string
{
    const auto id = serviceOrder(queue).front();
    auto organisation = std::to_string(id / 1000);
    serve(queue, organisation, id);
    return organisation;
}

}

// Guards against an organisation that gets more service by waiting with more requests.
TEST_CASE("organisations are served by weight, whatever the length of their lines")
{
    auto queue = FairQueue {};
    for (auto index = std::uint64_t { 0 }; index < 400; ++index) {
        enqueue(queue, "1", 1, 1000 + index);
    }
    for (auto index = std::uint64_t { 0 }; index < 100; ++index) {
        enqueue(queue, "2", 3, 2000 + index);
    }
    auto served = std::map<std::string, int> {};
    for (auto index = 0; index < 100; ++index) {
        ++served[serveFirst(queue)];
    }
    CHECK(served["1"] >= 24);
    CHECK(served["1"] <= 26);
}

// Guards against a newcomer that waits behind everything another organisation has queued, and against credit saved while away.
TEST_CASE("an organisation that was away is served next, and only once in turn")
{
    auto queue = FairQueue {};
    for (auto index = std::uint64_t { 0 }; index < 100; ++index) {
        enqueue(queue, "1", 1, 1000 + index);
    }
    for (auto index = 0; index < 50; ++index) {
        CHECK(serveFirst(queue) == "1");
    }
    for (auto index = std::uint64_t { 0 }; index < 10; ++index) {
        enqueue(queue, "2", 1, 2000 + index);
    }
    auto second = 0;
    for (auto index = 0; index < 6; ++index) {
        second += serveFirst(queue) == "2" ? 1 : 0;
    }
    CHECK(second >= 3);
    CHECK(second <= 4);
}

// Guards against requests that gave up being charged to their organisation.
TEST_CASE("a request that gives up does not count as service")
{
    auto queue = FairQueue {};
    for (auto index = std::uint64_t { 0 }; index < 10; ++index) {
        enqueue(queue, "1", 1, 1000 + index);
        cancel(queue, "1", 1000 + index);
    }
    CHECK(queue == FairQueue {});
    enqueue(queue, "2", 1, 2000);
    enqueue(queue, "1", 1, 1000);
    CHECK(serviceOrder(queue) == std::vector<std::uint64_t> { 1000, 2000 });
}
