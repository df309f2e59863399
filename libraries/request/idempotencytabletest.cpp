#include "request/idempotencytable.h"

#include <doctest/doctest.h>

#include <memory>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);
const auto later = start + absl::Minutes(1);

auto answerOf(std::size_t bytes)
{
    return std::make_shared<const HttpResponse>(HttpResponse { 200, {}, std::string(bytes, 'x') });
}

}

// Guards against a second execution of a key while it is running, after it is done, and after its answer was lost.
TEST_CASE("a key is executed once")
{
    auto table = IdempotencyTable(10, 100);
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Execute);
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Wait);
    CHECK(table.begin(start, "o", "k", "other", later) == IdempotencyDecision::Mismatch);
    CHECK(table.begin(start, "p", "k", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "k", answerOf(5));
    table.finishUnknown("p", "k");
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Replay);
    CHECK(table.find("o", "k")->answer_->body_ == "xxxxx");
    CHECK(table.begin(start, "p", "k", "d", later) == IdempotencyDecision::ResponseUnknown);
}

// Guards against a key that can never run because its first attempt was refused as not run.
TEST_CASE("a key whose request did not run may run later")
{
    auto table = IdempotencyTable(10, 100);
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Execute);
    table.forget("o", "k");
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "k", answerOf(5));
    table.forget("o", "k");
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Replay);
}

// Guards against unbounded memory, and against making room by dropping a key that could still be resent.
TEST_CASE("a full table refuses new keys until old ones expire")
{
    auto table = IdempotencyTable(2, 100);
    CHECK(table.begin(start, "o", "a", "d", later) == IdempotencyDecision::Execute);
    CHECK(table.begin(start, "o", "b", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "a", answerOf(5));
    CHECK(table.begin(start, "o", "c", "d", later) == IdempotencyDecision::Full);
    CHECK(table.begin(later, "o", "c", "d", later) == IdempotencyDecision::Execute);
    CHECK(table.find("o", "a") == nullptr);
    CHECK(table.find("o", "b") != nullptr);
}

// Guards against a replay of an empty answer in place of one that was too large to keep.
TEST_CASE("an answer that does not fit leaves the key unknown")
{
    auto table = IdempotencyTable(10, 8);
    CHECK(table.begin(start, "o", "a", "d", later) == IdempotencyDecision::Execute);
    CHECK(table.begin(start, "o", "b", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "a", answerOf(5));
    table.finish("o", "b", answerOf(5));
    CHECK(table.begin(start, "o", "a", "d", later) == IdempotencyDecision::Replay);
    CHECK(table.begin(start, "o", "b", "d", later) == IdempotencyDecision::ResponseUnknown);
}

// Guards against answers of expired keys that use up the room for new ones.
TEST_CASE("answers of expired keys are dropped before the table is full")
{
    auto table = IdempotencyTable(10, 8);
    CHECK(table.begin(start, "o", "a", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "a", answerOf(8));
    CHECK(table.begin(later, "o", "b", "d", later + absl::Minutes(1)) == IdempotencyDecision::Execute);
    table.finish("o", "b", answerOf(8));
    CHECK(table.begin(later, "o", "b", "d", later) == IdempotencyDecision::Replay);
}
