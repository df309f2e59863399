#include "request/crashguard.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

}

// Guards against a resent request that ends one backend server after another.
TEST_CASE("a request is suspect after two distinct backend servers ended, for a minute")
{
    auto guard = CrashGuard(10);
    guard.record(start, { "f", { "b1" }, start });
    guard.record(start, { "f", { "b1" }, start });
    CHECK_FALSE(guard.isSuspect(start, "f"));
    const auto second = start + absl::Seconds(10);
    guard.record(second, { "f", { "b2" }, second });
    CHECK(guard.isSuspect(second, "f"));
    CHECK_FALSE(guard.isSuspect(second, "g"));
    CHECK(guard.isSuspect(second + absl::Seconds(59), "f"));
    CHECK_FALSE(guard.isSuspect(second + absl::Seconds(60), "f"));
    CHECK(guard.records(second + absl::Seconds(60)).empty());
}

// Guards against hosts that keep a record alive by repeating it to each other.
TEST_CASE("a repeated report does not prolong a record")
{
    auto guard = CrashGuard(10);
    guard.record(start, { "f", { "b1", "b2" }, start });
    const auto later = start + absl::Seconds(50);
    guard.record(later, { "f", { "b1" }, later });
    CHECK(guard.isSuspect(start + absl::Seconds(59), "f"));
    CHECK_FALSE(guard.isSuspect(start + absl::Seconds(60), "f"));
}

// Guards against unbounded memory under many different failing requests.
TEST_CASE("the number of records is bounded")
{
    auto guard = CrashGuard(1);
    guard.record(start, { "f", { "b1", "b2" }, start });
    guard.record(start, { "g", { "b1", "b2" }, start });
    CHECK(guard.isSuspect(start, "f"));
    CHECK_FALSE(guard.isSuspect(start, "g"));
    const auto later = start + crashSuspectTime;
    guard.record(later, { "g", { "b1", "b2" }, later });
    CHECK(guard.isSuspect(later, "g"));
}
