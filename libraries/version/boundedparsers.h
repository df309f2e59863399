/** Parsers of values that must lie within bounds, for FieldReader::parsed. */
#pragma once

#include <optional>
#include <string>

namespace lycheecleat
{

/** Wraps a parser so that it accepts only values from `lowest` to `highest`, both included. */
template<typename Value, typename Parser>
[[nodiscard]] auto within(const Value &lowest, const Value &highest, const Parser &parse)
{
    return [=](const std::string &text) -> std::optional<Value> {
        const auto value = parse(text);
        return value && *value >= lowest && *value <= highest ? value : std::nullopt;
    };
}

/** Wraps a parser so that it accepts only values above zero. */
template<typename Value, typename Parser>
[[nodiscard]] auto positive(const Parser &parse)
{
    return [=](const std::string &text) -> std::optional<Value> {
        const auto value = parse(text);
        return value && *value > Value {} ? value : std::nullopt;
    };
}

}
