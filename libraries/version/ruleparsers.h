/** Parsers of the rule kinds. Each adds its rule to the configuration even if a field is invalid, so that references to the rule aren't reported as well. */
#pragma once

#include "version/configuration.h"
#include "version/fieldreader.h"

#include <string>

namespace lycheecleat
{

/** Input of a parser, and the configuration to which it adds the rule. */
struct ParserInput
{
    FieldReader &reader_;
    std::string name_;
    std::string file_;
    Configuration &configuration_;
};

/** Parses one rule of one kind. */
using RuleParser = void (*)(const ParserInput &input);

auto parseRegion(const ParserInput &input) -> void;
auto parsePlatform(const ParserInput &input) -> void;
auto parseEntryHost(const ParserInput &input) -> void;
auto parseClientBlocks(const ParserInput &input) -> void;
auto parseOrganisation(const ParserInput &input) -> void;
auto parseKey(const ParserInput &input) -> void;
auto parsePool(const ParserInput &input) -> void;
auto parseRoute(const ParserInput &input) -> void;
auto parseShift(const ParserInput &input) -> void;
auto parseDrain(const ParserInput &input) -> void;

}
