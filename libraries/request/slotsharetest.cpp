#include "request/slotshare.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

auto shareWithSlots(int slots) -> SlotShare
{
    auto share = SlotShare {};
    setSlots(share, start - absl::Hours(1), slots, start - absl::Hours(1));
    advance(share, start);
    return share;
}

}

// Guards against more concurrent requests than slots.
TEST_CASE("own slots are taken and released")
{
    auto share = shareWithSlots(2);
    const auto deadline = start + absl::Seconds(2);
    CHECK(take(share, start, 1, deadline));
    CHECK(take(share, start, 2, deadline));
    CHECK_FALSE(take(share, start, 3, deadline));
    releaseUse(share, start, 1, true);
    CHECK(take(share, start, 3, deadline));
}

// Guards against reusing a slot while the backend server may still be running the earlier request.
TEST_CASE("the slot of a request that may still be running stays in use until its deadline and the clock drift margin have passed")
{
    auto share = shareWithSlots(1);
    CHECK(take(share, start, 1, start + absl::Seconds(2)));
    releaseUse(share, start + absl::Seconds(1), 1, false);
    CHECK_FALSE(take(share, start + absl::Milliseconds(2299), 2, start + absl::Seconds(3)));
    CHECK(take(share, start + absl::Milliseconds(2300), 2, start + absl::Seconds(3)));
}

// Guards against a request that uses a borrowed slot after the end of its loan.
TEST_CASE("a borrowed slot serves only requests that end within its loan")
{
    auto share = SlotShare {};
    borrow(share, start, 1, start + absl::Seconds(4));
    CHECK(freeSlotsUntil(share, start + absl::Seconds(4)) == 1);
    CHECK(freeSlotsUntil(share, start + absl::Seconds(5)) == 0);
    CHECK_FALSE(take(share, start, 1, start + absl::Seconds(5)));
    CHECK(take(share, start, 1, start + absl::Seconds(4)));
    CHECK_FALSE(take(share, start, 2, start + absl::Seconds(4)));
    CHECK(lend(share, start, 1, start + absl::Seconds(5)) == 0);
    releaseUse(share, start + absl::Seconds(1), 1, true);
    CHECK(heldSlots(share) == 1);
    advance(share, start + absl::Seconds(4));
    CHECK(heldSlots(share) == 0);
}

// Guards against an owner that uses a slot which it has lent.
TEST_CASE("lent slots are not available to their owner until the loan has ended")
{
    auto share = shareWithSlots(3);
    CHECK(take(share, start, 1, start + absl::Seconds(2)));
    CHECK(lend(share, start, 5, start + absl::Seconds(5)) == 2);
    CHECK_FALSE(take(share, start, 2, start + absl::Seconds(2)));
    CHECK_FALSE(take(share, start + absl::Milliseconds(4999), 2, start + absl::Seconds(6)));
    CHECK(take(share, start + absl::Seconds(5), 2, start + absl::Seconds(6)));
}

// Guards against a slot used by its previous and its new owner at the same time.
TEST_CASE("own slots shrink at once and grow later")
{
    auto share = shareWithSlots(3);
    CHECK(take(share, start, 1, start + absl::Seconds(2)));
    CHECK(take(share, start, 2, start + absl::Seconds(2)));
    setSlots(share, start, 1, start);
    CHECK(freeOwnSlots(share) == 0);
    releaseUse(share, start, 1, true);
    CHECK(freeOwnSlots(share) == 0);
    releaseUse(share, start, 2, true);
    CHECK(freeOwnSlots(share) == 1);
    setSlots(share, start, 4, start + absl::Seconds(6));
    setSlots(share, start + absl::Seconds(1), 4, start + absl::Seconds(7));
    CHECK(freeOwnSlots(share) == 1);
    advance(share, start + absl::Seconds(6));
    CHECK(freeOwnSlots(share) == 4);
}
