#include "core/messagebody.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto kilobyte = std::size_t { 1024 };

/** A budget of 100 KB, of which the last 40 KB are for bodies of up to 10 KB. */
auto testBudget() -> ByteBudgetPointer
{
    return std::make_shared<ByteBudget>(ByteBudgetLimits { 100 * kilobyte, 10 * kilobyte, 40 * kilobyte });
}

auto appendInParts(MessageBodyBuilder &builder, std::size_t size, std::size_t partSize) -> bool
{
    for (auto offset = std::size_t { 0 }; offset < size; offset += partSize) {
        const auto part = std::string(std::min(partSize, size - offset), 'x');
        if (!builder.prepare(part.size())) {
            return false;
        }
        builder.append(part);
    }
    return true;
}

}

// Guards against bytes that are lost or reordered between the pieces of a body.
TEST_CASE("a body holds the bytes that were appended")
{
    struct Case
    {
        std::size_t size_;
        std::size_t partSize_;
        bool isLengthKnown_;
    };
    for (const auto &testCase :
         std::vector<Case> { { 0, 1, true }, { 1, 1, false }, { 700 * kilobyte, 16 * kilobyte, false }, { 700 * kilobyte, 999, true } }) {
        auto builder = MessageBodyBuilder();
        auto expected = std::string {};
        if (testCase.isLengthKnown_) {
            builder.expect(testCase.size_);
        }
        while (expected.size() < testCase.size_) {
            const auto letter = static_cast<char>('a' + expected.size() % 23);
            const auto part = std::string(std::min(testCase.partSize_, testCase.size_ - expected.size()), letter);
            expected += part;
            REQUIRE(builder.prepare(part.size()));
            builder.append(part);
        }
        const auto body = builder.take();
        CHECK(body.size() == testCase.size_);
        CHECK(body.text() == expected);
        CHECK(body == MessageBody(expected));
    }
}

// Guards against a budget that is released while a copy of the body is still held, or not at all.
TEST_CASE("a body counts toward its budget until the last copy is gone")
{
    const auto budget = testBudget();
    {
        auto builder = MessageBodyBuilder(budget);
        builder.expect(50 * kilobyte);
        REQUIRE(appendInParts(builder, 50 * kilobyte, kilobyte));
        CHECK(budget->used() == 50 * kilobyte);
        auto body = builder.take();
        const auto copy = body;
        body = MessageBody();
        CHECK(budget->used() == 50 * kilobyte);
    }
    CHECK(budget->used() == 0);
}

// Guards against large bodies that leave no room for ordinary requests.
TEST_CASE("large bodies leave a part of the budget to small ones")
{
    struct Case
    {
        std::size_t size_;
        bool fits_;
    };
    const auto budget = testBudget();
    auto large = MessageBodyBuilder(budget);
    large.expect(60 * kilobyte);
    REQUIRE(appendInParts(large, 60 * kilobyte, kilobyte));
    for (const auto &testCase : std::vector<Case> { { 1, true }, { 10 * kilobyte, true }, { 11 * kilobyte, false } }) {
        auto builder = MessageBodyBuilder(budget);
        builder.expect(testCase.size_);
        CHECK(budget->hasRoomFor(testCase.size_) == testCase.fits_);
        CHECK(appendInParts(builder, testCase.size_, kilobyte) == testCase.fits_);
    }
    CHECK(budget->rejections() > 0);
}

// Guards against parts of a body that hold each other's bytes, or that keep the memory of parts that were passed on.
TEST_CASE("a body can be taken in parts")
{
    const auto budget = testBudget();
    auto builder = MessageBodyBuilder(budget);
    auto all = std::string {};
    for (const auto letter : { 'a', 'b', 'c' }) {
        const auto part = std::string(20 * kilobyte, letter);
        REQUIRE(builder.prepare(part.size()));
        builder.append(part);
        CHECK(budget->used() >= part.size());
        CHECK(budget->used() < 2 * part.size());
        all += builder.take().text();
    }
    CHECK(all == std::string(20 * kilobyte, 'a') + std::string(20 * kilobyte, 'b') + std::string(20 * kilobyte, 'c'));
    CHECK(builder.size() == 0);
}
