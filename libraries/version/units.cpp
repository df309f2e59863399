#include "version/units.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>

namespace lycheecleat
{

namespace
{

constexpr auto bytesPerKibibyte = 1024.0;
constexpr auto maximumSizeBytes = 1024.0 * bytesPerKibibyte * bytesPerKibibyte;

auto isDigit(char character) -> bool
{
    return character >= '0' && character <= '9';
}

/** A text such as `500ms`, split into number and unit. */
struct Quantity
{
    double number_ = 0;
    std::string unit_;
};

auto parseQuantity(const std::string &text) -> std::optional<Quantity>
{
    const auto unitStart = std::find_if_not(text.begin(), text.end(), [](char character) {
        return isDigit(character) || character == '.';
    });
    const auto number = parseNumber(std::string(text.begin(), unitStart));
    if (!number) {
        return std::nullopt;
    }
    return Quantity { *number, std::string(unitStart, text.end()) };
}

}

auto parseNumber(const std::string &text) -> std::optional<double>
{
    if (text.empty() || !isDigit(text.front()) || !isDigit(text.back())) {
        return std::nullopt;
    }
    auto value = 0.0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (parsed.ec != std::errc {} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

auto parseWholeNumber(const std::string &text) -> std::optional<int>
{
    if (text.empty() || !std::all_of(text.begin(), text.end(), isDigit)) {
        return std::nullopt;
    }
    auto value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc {} || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

auto parseDuration(const std::string &text) -> std::optional<absl::Duration>
{
    const auto quantity = parseQuantity(text);
    if (!quantity) {
        return std::nullopt;
    }
    if (quantity->unit_ == "ms") {
        return absl::Milliseconds(quantity->number_);
    }
    if (quantity->unit_ == "s") {
        return absl::Seconds(quantity->number_);
    }
    if (quantity->unit_ == "m") {
        return absl::Minutes(quantity->number_);
    }
    if (quantity->unit_ == "h") {
        return absl::Hours(quantity->number_);
    }
    return std::nullopt;
}

auto parseRate(const std::string &text) -> std::optional<double>
{
    const auto quantity = parseQuantity(text);
    if (!quantity || quantity->unit_ != "/s") {
        return std::nullopt;
    }
    return quantity->number_;
}

auto parsePercent(const std::string &text) -> std::optional<double>
{
    constexpr auto percentPerWhole = 100.0;
    const auto quantity = parseQuantity(text);
    if (!quantity || quantity->unit_ != "%") {
        return std::nullopt;
    }
    return quantity->number_ / percentPerWhole;
}

auto parseSize(const std::string &text) -> std::optional<std::size_t>
{
    struct Unit
    {
        std::string_view name_;
        double bytes_;
    };
    constexpr auto units = std::array { Unit { "B", 1.0 }, Unit { "KiB", bytesPerKibibyte }, Unit { "MiB", bytesPerKibibyte * bytesPerKibibyte } };
    const auto quantity = parseQuantity(text);
    if (!quantity) {
        return std::nullopt;
    }
    for (const auto &unit : units) {
        if (quantity->unit_ == unit.name_ && quantity->number_ * unit.bytes_ <= maximumSizeBytes) {
            return static_cast<std::size_t>(quantity->number_ * unit.bytes_);
        }
    }
    return std::nullopt;
}

auto parseTime(const std::string &text) -> std::optional<absl::Time>
{
    auto time = absl::Time {};
    auto error = std::string {};
    if (!absl::ParseTime(absl::RFC3339_full, text, &time, &error)) {
        return std::nullopt;
    }
    return time;
}

}
