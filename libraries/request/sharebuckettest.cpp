#include "request/sharebucket.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

auto filledBucket(const RateShare &share) -> ShareBucket
{
    auto bucket = ShareBucket {};
    setShare(bucket, start - absl::Hours(1), share, start - absl::Hours(1));
    advance(bucket, start);
    return bucket;
}

auto takeAll(ShareBucket &bucket, absl::Time now) -> int
{
    auto taken = 0;
    while (take(bucket, now)) {
        ++taken;
    }
    return taken;
}

}

// Guards against a restarted host that admits requests on top of what its previous run lent.
TEST_CASE("a share bucket admits nothing before its share takes effect, and starts empty")
{
    auto bucket = ShareBucket {};
    setShare(bucket, start, { 10, 5 }, start + absl::Seconds(3));
    CHECK(takeAll(bucket, start + absl::Milliseconds(2999)) == 0);
    CHECK(takeAll(bucket, start + absl::Seconds(3)) == 0);
    CHECK(takeAll(bucket, start + absl::Milliseconds(3200)) == 2);
    CHECK(takeAll(bucket, start + absl::Seconds(60)) == 5);
}

// Guards against a lender that still uses what it lent, or uses it again before the loan has ended for the borrower.
TEST_CASE("lending reduces rate, burst and tokens until the loan and its clock drift margin have ended")
{
    auto bucket = filledBucket({ 10, 10 });
    const auto until = start + withClockDriftMargin(absl::Seconds(2));
    const auto grant = lend(bucket, start, { 4, 6 }, until);
    CHECK(grant == RateLoanGrant { { 4, 6 }, 6 });
    CHECK(takeAll(bucket, start) == 4);
    CHECK(effectiveShare(bucket) == RateShare { 6, 4 });
    CHECK(takeAll(bucket, start + absl::Milliseconds(2299)) == 4);
    advance(bucket, until);
    CHECK(effectiveShare(bucket) == RateShare { 10, 10 });
    CHECK(takeAll(bucket, until) == 0);
    CHECK(clockDriftMargin(absl::Seconds(2)) == absl::Milliseconds(300));
}

// Guards against borrowed tokens that remain usable after their loan, also if no token was requested in between.
TEST_CASE("borrowed capacity ends with the loan")
{
    auto bucket = filledBucket({ 1, 2 });
    CHECK(takeAll(bucket, start) == 2);
    borrow(bucket, start, { { 10, 20 }, 15 }, start + absl::Seconds(2));
    auto idle = bucket;
    CHECK(takeAll(bucket, start + absl::Seconds(1)) == 22);
    CHECK(takeAll(idle, start + absl::Seconds(2)) == 2);
    CHECK(effectiveShare(idle) == RateShare { 1, 2 });
    borrow(idle, start + absl::Seconds(5), { { 10, 20 }, 15 }, start + absl::Seconds(5));
    CHECK(effectiveShare(idle) == RateShare { 1, 2 });
}

// Guards against lending borrowed capacity, since the second loan could outlast the first.
TEST_CASE("borrowed capacity is not lent")
{
    auto bucket = ShareBucket {};
    borrow(bucket, start, { { 10, 20 }, 20 }, start + absl::Seconds(2));
    CHECK(lend(bucket, start, { 10, 20 }, start + absl::Seconds(3)) == RateLoanGrant {});
}

// Guards against a lender that lends what its own callers need.
TEST_CASE("a lender keeps what its own demand needs")
{
    auto bucket = filledBucket({ 10, 10 });
    auto time = start;
    for (auto index = 0; index < 500; ++index) {
        time += absl::Milliseconds(100);
        recordDemand(bucket, time);
    }
    CHECK(demandAt(bucket, time) == doctest::Approx(10).epsilon(0.1));
    CHECK(lend(bucket, time, { 5, 5 }, time + absl::Seconds(3)) == RateLoanGrant {});
    CHECK(demandAt(bucket, time + absl::Seconds(10)) < 0.01);
    CHECK(lend(bucket, time + absl::Seconds(10), { 5, 5 }, time + absl::Seconds(13)) == RateLoanGrant { { 5, 5 }, 5 });
}

// Guards against a share that grows before its previous owner has applied the change, and against one that shrinks late.
TEST_CASE("a share shrinks at once and grows later")
{
    auto bucket = filledBucket({ 10, 10 });
    setShare(bucket, start, { 2, 20 }, start + absl::Seconds(4));
    CHECK(effectiveShare(bucket) == RateShare { 2, 10 });
    advance(bucket, start + absl::Seconds(4));
    CHECK(effectiveShare(bucket) == RateShare { 2, 20 });
    setShare(bucket, start + absl::Seconds(5), { 1, 3 }, start + absl::Seconds(9));
    CHECK(effectiveShare(bucket) == RateShare { 1, 3 });
    CHECK(takeAll(bucket, start + absl::Seconds(5)) == 3);
}

// Guards against an increase that never takes effect because each configuration revision postpones it.
TEST_CASE("setting an unchanged share again does not postpone a pending increase")
{
    auto bucket = filledBucket({ 10, 10 });
    setShare(bucket, start, { 20, 20 }, start + absl::Seconds(4));
    setShare(bucket, start + absl::Seconds(3), { 20, 20 }, start + absl::Seconds(7));
    advance(bucket, start + absl::Seconds(4));
    CHECK(effectiveShare(bucket) == RateShare { 20, 20 });
}

// Guards against using borrowed capacity in full while the own share is smaller than what is lent: the difference must not be admitted.
TEST_CASE("a share smaller than its loans reduces the effective share until they end")
{
    auto bucket = filledBucket({ 10, 10 });
    const auto until = start + absl::Seconds(3);
    CHECK(lend(bucket, start, { 8, 8 }, until).share_ == RateShare { 8, 8 });
    setShare(bucket, start, { 4, 4 }, start);
    borrow(bucket, start, { { 5, 5 }, 5 }, start + absl::Seconds(2));
    CHECK(effectiveShare(bucket) == RateShare { 1, 1 });
    advance(bucket, until);
    CHECK(effectiveShare(bucket) == RateShare { 4, 4 });
}
