#include "request/crashsuspecttable.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

}

// Guards against a resent request that crashes one backend server after another.
TEST_CASE("a request is suspect for a minute after crashes of two distinct backend servers")
{
    auto table = CrashSuspectTable(10);
    table.record(start, { "f", { "b1" }, start });
    table.record(start, { "f", { "b1" }, start });
    CHECK_FALSE(table.isSuspect(start, "f"));
    const auto second = start + absl::Seconds(10);
    table.record(second, { "f", { "b2" }, second });
    CHECK(table.isSuspect(second, "f"));
    CHECK_FALSE(table.isSuspect(second, "g"));
    CHECK(table.isSuspect(second + absl::Seconds(59), "f"));
    CHECK_FALSE(table.isSuspect(second + absl::Seconds(60), "f"));
    CHECK(table.records(second + absl::Seconds(60)).empty());
}

// Guards against hosts that keep a record from expiring by forwarding it to each other.
TEST_CASE("a repeated report does not extend a record")
{
    auto table = CrashSuspectTable(10);
    table.record(start, { "f", { "b1", "b2" }, start });
    const auto later = start + absl::Seconds(50);
    table.record(later, { "f", { "b1" }, later });
    CHECK(table.isSuspect(start + absl::Seconds(59), "f"));
    CHECK_FALSE(table.isSuspect(start + absl::Seconds(60), "f"));
}

// Guards against unbounded memory use with many different crashing requests.
TEST_CASE("the number of records is bounded")
{
    auto table = CrashSuspectTable(1);
    table.record(start, { "f", { "b1", "b2" }, start });
    table.record(start, { "g", { "b1", "b2" }, start });
    CHECK(table.isSuspect(start, "f"));
    CHECK_FALSE(table.isSuspect(start, "g"));
    const auto later = start + crashSuspectDuration;
    table.record(later, { "g", { "b1", "b2" }, later });
    CHECK(table.isSuspect(later, "g"));
}
