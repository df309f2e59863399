#include "request/idempotencytable.h"

#include <doctest/doctest.h>

#include <memory>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);
const auto later = start + absl::Minutes(1);

auto responseOf(std::size_t bytes)
{
    return std::make_shared<const HttpResponse>(HttpResponse { 200, {}, std::string(bytes, 'x') });
}

}

// Guards against executing a key's request again while it is running, after it is done, and after its response was lost.
TEST_CASE("the request of a key is executed once")
{
    auto table = IdempotencyTable(10, 100);
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Execute);
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Wait);
    CHECK(table.begin(start, "o", "k", "other", later) == IdempotencyDecision::Mismatch);
    CHECK(table.begin(start, "p", "k", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "k", responseOf(5));
    table.finishUnknown("p", "k");
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Replay);
    CHECK(table.find("o", "k")->response_->body_ == "xxxxx");
    CHECK(table.begin(start, "p", "k", "d", later) == IdempotencyDecision::ResponseUnknown);
}

// Guards against a key that can never be executed because its first attempt was refused without running.
TEST_CASE("a key whose request was not executed may be executed later")
{
    auto table = IdempotencyTable(10, 100);
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Execute);
    table.forget("o", "k");
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "k", responseOf(5));
    table.forget("o", "k");
    CHECK(table.begin(start, "o", "k", "d", later) == IdempotencyDecision::Replay);
}

// Guards against unbounded memory use, and against evicting a key whose request could still be resent.
TEST_CASE("a full table refuses new keys until old ones expire")
{
    auto table = IdempotencyTable(2, 100);
    CHECK(table.begin(start, "o", "a", "d", later) == IdempotencyDecision::Execute);
    CHECK(table.begin(start, "o", "b", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "a", responseOf(5));
    CHECK(table.begin(start, "o", "c", "d", later) == IdempotencyDecision::Full);
    CHECK(table.begin(later, "o", "c", "d", later) == IdempotencyDecision::Execute);
    CHECK(table.find("o", "a") == nullptr);
    CHECK(table.find("o", "b") != nullptr);
}

// Guards against replaying an empty response instead of one that was too large to store.
TEST_CASE("a response that exceeds the byte limit leaves the key unknown")
{
    auto table = IdempotencyTable(10, 8);
    CHECK(table.begin(start, "o", "a", "d", later) == IdempotencyDecision::Execute);
    CHECK(table.begin(start, "o", "b", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "a", responseOf(5));
    table.finish("o", "b", responseOf(5));
    CHECK(table.begin(start, "o", "a", "d", later) == IdempotencyDecision::Replay);
    CHECK(table.begin(start, "o", "b", "d", later) == IdempotencyDecision::ResponseUnknown);
}

// Guards against responses of expired keys that use up the byte limit.
TEST_CASE("responses of expired keys are removed before the table is full")
{
    auto table = IdempotencyTable(10, 8);
    CHECK(table.begin(start, "o", "a", "d", later) == IdempotencyDecision::Execute);
    table.finish("o", "a", responseOf(8));
    CHECK(table.begin(later, "o", "b", "d", later + absl::Minutes(1)) == IdempotencyDecision::Execute);
    table.finish("o", "b", responseOf(8));
    CHECK(table.begin(later, "o", "b", "d", later) == IdempotencyDecision::Replay);
}
