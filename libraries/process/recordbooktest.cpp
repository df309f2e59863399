#include "process/recordbook.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

const auto now = absl::UnixEpoch() + absl::Hours(1);

auto backend(const std::string &name, std::int64_t revision, bool isRemoved = false) -> FleetRecord
{
    return { RecordKind::Backend, name, revision, isRemoved, isRemoved ? "" : "v" + std::to_string(revision) };
}

}

// Guards against an answer that arrives late, or comes from a peer that is behind, and brings back an older state.
TEST_CASE("an older change never replaces a newer one")
{
    auto book = RecordBook {};
    book.apply(now, { 5, false, { backend("a", 5) } });
    CHECK(book.apply(now, { 3, false, { backend("a", 3) } }).empty());
    CHECK(book.apply(now, { 6, false, { backend("a", 6, true) } }).size() == 1);
    CHECK(book.apply(now, { 5, false, { backend("a", 5) } }).empty());
    CHECK(book.recordsOf(RecordKind::Backend).empty());
    CHECK(book.asOf() == 6);
}

// Guards against a removed server that stays in use since the event of its removal was lost with the history.
TEST_CASE("a full read removes what it does not name")
{
    auto book = RecordBook {};
    book.apply(now, { 5, false, { backend("a", 4), backend("b", 5) } });
    const auto changes = book.apply(now, { 9, true, { backend("b", 5), backend("c", 8) } });
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].name_ == "a");
    CHECK(changes[0].isRemoved_);
    CHECK(book.recordsOf(RecordKind::Backend).size() == 2);
    // A full read that is older than what is known removes nothing.
    CHECK(book.apply(now, { 7, true, {} }).empty());
    CHECK(book.recordsOf(RecordKind::Backend).size() == 2);
}

// Guards against a peer that catches up and misses a removal.
TEST_CASE("changes after a revision include removals")
{
    auto book = RecordBook {};
    book.apply(now, { 5, false, { backend("a", 4), backend("b", 5) } });
    book.apply(now, { 6, false, { backend("a", 6, true) } });
    const auto changes = book.changesAfter(5);
    CHECK_FALSE(changes.isFull_);
    REQUIRE(changes.records_.size() == 1);
    CHECK(changes.records_[0].isRemoved_);
    const auto all = book.changesAfter(0);
    CHECK(all.isFull_);
    REQUIRE(all.records_.size() == 1);
    CHECK(all.records_[0].name_ == "b");
    // Once the removal has been forgotten, only a full answer is certain to tell it.
    book.apply(now + absl::Hours(1), { 7, false, {} });
    CHECK(book.changesAfter(5).isFull_);
    CHECK_FALSE(book.changesAfter(6).isFull_);
}
