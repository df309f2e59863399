/** Reads the fields of one rule and reports every fault with file, line and field. */
#pragma once

#include "version/ruleproblem.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheecleat
{

/** File and line of every field of a rule, for checks that run after parsing. */
struct RuleSource
{
    std::string file_;
    /** Line by field name; fields of list elements are named like `backends[0].zone`. */
    std::map<std::string, int> lines_;
};

/** Whether a rule must have a field. */
enum class Presence {
    Required,
    Optional,
};

/**
 * Reads one YAML map. A field that is missing or wrong is reported and read as its default, so that all faults of a rule are found.
 * Used by one thread.
 */
class FieldReader
{
public:
    /** The problems and the source outlive the reader. The prefix is put before field names. */
    FieldReader(const YAML::Node &map, RuleSource &source, std::vector<RuleProblem> &problems, std::string prefix = {});

    /** A field of any text. */
    [[nodiscard]] auto text(const std::string &field, Presence presence = Presence::Required) -> std::string;

    /** A name: 1 to 63 letters, digits, `.`, `_` and `-`, starting with a letter or digit. */
    [[nodiscard]] auto name(const std::string &field) -> std::string;

    /** An IP address and port. */
    [[nodiscard]] auto address(const std::string &field) -> std::string;

    /** A list of texts with at least one element and no repeats. */
    [[nodiscard]] auto textList(const std::string &field) -> std::vector<std::string>;

    /** A list of maps with at least one element; each is read by its own reader. */
    auto readMapList(const std::string &field, const std::function<void(FieldReader &)> &readElement) -> void;

    /** A field that a function parses. A missing field without a fallback is reported; `allowed` says what the field may hold. */
    template<typename Value, typename Parser>
    [[nodiscard]] auto parsed(const std::string &field, const std::optional<Value> &fallback, const std::string &allowed, const Parser &parse) -> Value
    {
        const auto raw = scalar(field, fallback ? Presence::Optional : Presence::Required, allowed);
        if (!raw) {
            return fallback.value_or(Value {});
        }
        const auto value = parse(*raw);
        if (!value) {
            report(field, "'" + *raw + "' is not allowed; allowed: " + allowed);
            return fallback.value_or(Value {});
        }
        return *value;
    }

    /** One of several words, each with its meaning. */
    template<typename Value>
    [[nodiscard]] auto choice(const std::string &field, const std::optional<Value> &fallback, const std::map<std::string, Value> &choices) -> Value
    {
        auto allowed = std::string {};
        for (const auto &entry : choices) {
            allowed += (allowed.empty() ? "" : ", ") + entry.first;
        }
        return parsed<Value>(field, fallback, allowed, [&](const std::string &raw) -> std::optional<Value> {
            const auto found = choices.find(raw);
            return found == choices.end() ? std::nullopt : std::optional<Value>(found->second);
        });
    }

    /** Reports a problem at a field. */
    auto report(const std::string &field, const std::string &message) -> void;

    /** Reports every field that was not read, with the fields that are allowed. Call it last. */
    auto finish() -> void;

private:
    [[nodiscard]] auto find(const std::string &field, Presence presence, const std::string &allowed) -> std::optional<YAML::Node>;
    [[nodiscard]] auto scalar(const std::string &field, Presence presence, const std::string &allowed) -> std::optional<std::string>;

    std::vector<std::pair<std::string, YAML::Node>> fields_;
    RuleSource &source_;
    std::vector<RuleProblem> &problems_;
    std::string prefix_;
    int line_;
    std::set<std::string> read_;
};

}
