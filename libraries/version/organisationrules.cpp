// Parsers of the rules that describe organisations: organisation, key.
#include "version/boundedparsers.h"
#include "version/ruleparsers.h"
#include "version/units.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

constexpr auto digestDigits = std::size_t { 64 };
constexpr auto maximumBurst = 1e9;
constexpr auto maximumWeight = 1000.0;
constexpr auto minimumWeight = 0.001;

auto isLowerHexDigit(char character) -> bool
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
}

auto parseDigest(const std::string &text) -> std::optional<std::string>
{
    const auto isDigest = text.size() == digestDigits && std::all_of(text.begin(), text.end(), isLowerHexDigit);
    return isDigest ? std::optional(text) : std::nullopt;
}

}

auto parseOrganisation(const ParserInput &input) -> void
{
    auto &reader = input.reader_;
    auto organisation = Organisation {};
    organisation.name_ = input.name_;
    organisation.rate_ = reader.parsed<double>("rate", std::nullopt, "a rate above zero such as 200/s", positive<double>(parseRate));
    organisation.burst_ = reader.parsed<double>("burst", std::nullopt, "a number of at least 1", within(1.0, maximumBurst, parseNumber));
    organisation.weight_ = reader.parsed<double>("weight", 1.0, "a number from 0.001 to 1000", within(minimumWeight, maximumWeight, parseNumber));
    input.configuration_.organisations_.push_back(organisation);
}

auto parseKey(const ParserInput &input) -> void
{
    const auto states = std::map<std::string, bool> { { "active", true }, { "withdrawn", false } };
    auto key = Key {};
    key.name_ = input.name_;
    key.organisation_ = input.reader_.text("organisation");
    key.digest_ = input.reader_.parsed<std::string>("digest", std::nullopt, "64 lower-case hexadecimal digits", parseDigest);
    key.active_ = input.reader_.choice<bool>("state", std::nullopt, states);
    input.configuration_.keys_.push_back(key);
}

}
