#include "core/error.h"

#include <doctest/doctest.h>

using namespace lycheecleat;

namespace
{

auto parsePositive(int value) -> Result<int>
{
    if (value <= 0) {
        return makeError("parse number", "test", "not positive");
    }
    return value;
}

auto checkPositive(int value) -> Result<void>
{
    BOOST_LEAF_CHECK(parsePositive(value));
    return {};
}

}

// Guards against errors that lose their step and peer when they are propagated.
TEST_CASE("attempt returns the value or the error with its step and peer")
{
    const auto expected = Error { "parse number", "test", "not positive" };
    const auto value = attempt([] {
        return parsePositive(3);
    });
    const auto error = attempt([] {
        return parsePositive(0);
    });
    const auto voidValue = attempt([] {
        return checkPositive(3);
    });
    const auto nestedError = attempt([] {
        return checkPositive(0);
    });
    CHECK(std::get<int>(value) == 3);
    CHECK(std::get<Error>(error) == expected);
    CHECK(std::holds_alternative<std::monostate>(voidValue));
    CHECK(std::get<Error>(nestedError) == expected);
    CHECK(describe(expected) == "parse number (test): not positive");
}
