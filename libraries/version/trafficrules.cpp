// Parsers of the rules that move traffic: shift, drain.
#include "version/boundedparsers.h"
#include "version/ruleparsers.h"
#include "version/units.h"

namespace lycheecleat
{

namespace
{

constexpr auto maximumRamp = absl::Hours(24 * 7);

/** A drain's target split at its first slash. */
struct ParsedTarget
{
    DrainTarget kind_ = DrainTarget::Backend;
    std::string name_;
};

auto parseTarget(const std::string &text) -> std::optional<ParsedTarget>
{
    const auto kinds = std::map<std::string, DrainTarget> {
        { "backend", DrainTarget::Backend },
        { "entry-host", DrainTarget::EntryHost },
        { "zone", DrainTarget::Zone },
    };
    const auto slash = text.find('/');
    const auto kind = kinds.find(text.substr(0, slash));
    if (slash == std::string::npos || kind == kinds.end() || slash + 1 == text.size()) {
        return std::nullopt;
    }
    return ParsedTarget { kind->second, text.substr(slash + 1) };
}

}

auto parseShift(const ParserInput &input) -> void
{
    auto &reader = input.reader_;
    const auto parseShare = [](const std::string &text) -> std::optional<double> {
        const auto value = parsePercent(text);
        return value && *value > 0 && *value <= 1 ? value : std::nullopt;
    };
    const auto parseRamp = within(absl::ZeroDuration(), maximumRamp, parseDuration);
    auto shift = Shift {};
    shift.name_ = input.name_;
    shift.pool_ = reader.text("pool");
    shift.from_ = reader.text("from");
    shift.to_ = reader.text("to");
    shift.share_ = reader.parsed<double>("share", std::nullopt, "a percentage above 0% and up to 100%", parseShare);
    shift.rateCap_ = reader.parsed<double>("cap", std::nullopt, "a rate above zero such as 40/s", positive<double>(parseRate));
    shift.start_ = reader.parsed<absl::Time>("start", std::nullopt, "a time such as 2026-03-01T06:00:00Z", parseTime);
    shift.rampDuration_ = reader.parsed<absl::Duration>("over", std::nullopt, "a duration from 0s to 168h", parseRamp);
    input.configuration_.shifts_.push_back(shift);
}

auto parseDrain(const ParserInput &input) -> void
{
    const auto target = input.reader_.parsed<ParsedTarget>("target", std::nullopt, "backend/NAME, entry-host/NAME or zone/NAME", parseTarget);
    input.configuration_.drains_.push_back({ input.name_, target.kind_, target.name_ });
}

}
