#include "request/fairqueue.h"

#include <doctest/doctest.h>

#include <map>

using namespace lycheecleat;

namespace
{

/** Serves the first request in order and returns its organisation; identifiers are organisation number * 1000 + sequence number. */
auto serveFirst(FairQueue &queue) -> std::string
{
    const auto id = serviceOrder(queue).front();
    auto organisation = std::to_string(id / 1000);
    serve(queue, organisation, id);
    return organisation;
}

}

// Guards against an organisation that gets more service by queueing more requests.
TEST_CASE("organisations are served by weight, whatever the length of their queues")
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

// Guards against a newly active organisation that waits behind the whole queue of another one, and against credit accumulated while idle.
TEST_CASE("an organisation that was idle is served next, and then only its share")
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
    auto servedOfSecond = 0;
    for (auto index = 0; index < 6; ++index) {
        servedOfSecond += serveFirst(queue) == "2" ? 1 : 0;
    }
    CHECK(servedOfSecond >= 3);
    CHECK(servedOfSecond <= 4);
}

// Guards against charging cancelled requests to their organisation.
TEST_CASE("a cancelled request does not count as service")
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
