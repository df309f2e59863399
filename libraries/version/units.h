/** Parsers for quantities with units in rule files. All return none for any other text. */
#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <optional>
#include <string>

namespace lycheecleat
{

/** A decimal number without sign or exponent, such as `3` or `0.5`. */
[[nodiscard]] auto parseNumber(const std::string &text) -> std::optional<double>;

/** A whole number without sign that fits an int. */
[[nodiscard]] auto parseWholeNumber(const std::string &text) -> std::optional<int>;

/** A duration in `ms`, `s`, `m` or `h`, such as `500ms`; `0` needs a unit too. */
[[nodiscard]] auto parseDuration(const std::string &text) -> std::optional<absl::Duration>;

/** A rate in requests per second, such as `200/s`. */
[[nodiscard]] auto parseRate(const std::string &text) -> std::optional<double>;

/** A percentage such as `30%`, as a fraction of 1. */
[[nodiscard]] auto parsePercent(const std::string &text) -> std::optional<double>;

/** A size in bytes from `B`, `KiB` or `MiB`, such as `64KiB`. */
[[nodiscard]] auto parseSize(const std::string &text) -> std::optional<std::size_t>;

/** A point in time in RFC 3339, such as `2026-03-01T06:00:00Z`. */
[[nodiscard]] auto parseTime(const std::string &text) -> std::optional<absl::Time>;

}
