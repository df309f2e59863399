/** Typed errors and the result type of fallible functions. */
#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <type_traits>
#include <utility>
#include <variant>

namespace lycheecleat
{

/** An error with the step that failed and the peer involved. */
struct Error
{
    /** The operation that failed, for example "read head record". */
    std::string step_;
    /** The address, file or host involved; empty if there is none. */
    std::string peer_;
    /** What went wrong, for an operator to read. */
    std::string message_;

    auto operator==(const Error &other) const -> bool = default;
};

/** The result of a fallible function: a value or an Error. */
template<typename T>
using Result = boost::leaf::result<T>;

/** Returns an error from a function whose result is a Result<T>. */
[[nodiscard]] inline auto makeError(std::string step, std::string peer, std::string message) -> boost::leaf::error_id
{
    return boost::leaf::new_error(Error { std::move(step), std::move(peer), std::move(message) });
}

/** Formats an error as "step (peer): message". */
[[nodiscard]] inline auto describe(const Error &error) -> std::string
{
    const auto peer = error.peer_.empty() ? std::string {} : " (" + error.peer_ + ")";
    return error.step_ + peer + ": " + error.message_;
}

/** The value type of a Result. */
template<typename Returned>
struct ResultValue;

template<typename T>
struct ResultValue<Result<T>>
{
    using Type = T;
};

/**
 * Calls a function that returns Result<T> and returns a variant of its value (std::monostate for Result<void>) and its Error. Use it where an error is
 * handled, not propagated.
 */
template<typename Function>
[[nodiscard]] auto attempt(Function &&function)
{
    using Returned = std::invoke_result_t<Function>;
    constexpr auto returnsNothing = std::is_void_v<typename ResultValue<Returned>::Type>;
    using Value = std::conditional_t<returnsNothing, std::monostate, typename ResultValue<Returned>::Type>;
    using Outcome = std::variant<Value, Error>;
    return boost::leaf::try_handle_all(
        [&]() -> Result<Outcome> {
            auto result = std::forward<Function>(function)();
            if (!result) {
                return result.error();
            }
            if constexpr (returnsNothing) {
                return Outcome { std::in_place_index<0> };
            } else {
                return Outcome { std::in_place_index<0>, std::move(result.value()) };
            }
        },
        [](const Error &error) -> Outcome {
            return Outcome { std::in_place_index<1>, error };
        },
        []() -> Outcome {
            return Outcome { std::in_place_index<1>, Error { "unknown", "", "error without a description" } };
        });
}

}
