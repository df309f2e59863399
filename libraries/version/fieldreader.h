/** Reads the fields of one rule and reports every problem with file, line and field. */
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
 * Reads one YAML map. A missing or invalid field is reported and read as its default, so that all problems of a rule are found in one pass.
 * Not thread-safe.
 */
class FieldReader
{
public:
    /** The problems and the source must outlive the reader. The prefix is prepended to field names. */
    FieldReader(const YAML::Node &map, RuleSource &source, std::vector<RuleProblem> &problems, std::string prefix = {});

    /** A field with any text that is not empty. */
    [[nodiscard]] auto text(const std::string &field, Presence presence = Presence::Required) -> std::string;

    /** A name: 1 to 63 letters, digits, `.`, `_` and `-`, starting with a letter or digit. */
    [[nodiscard]] auto name(const std::string &field) -> std::string;

    /** An IP address and port. */
    [[nodiscard]] auto address(const std::string &field) -> std::string;

    /** A list of texts with at least one element and no duplicates. */
    [[nodiscard]] auto textList(const std::string &field) -> std::vector<std::string>;

    /** Reads a list of maps with at least one element; `readElement` is called with a separate reader for each. */
    auto readMapList(const std::string &field, const std::function<void(FieldReader &)> &readElement) -> void;

    /**
     * A field that `parse` converts; it returns none for an invalid value. A missing field without a fallback is reported; `allowed` describes
     * the valid values.
     */
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

    /** A field that must be one of the keys of `choices`; returns the value of that key. */
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

    /** Reports a problem with a field. */
    auto report(const std::string &field, const std::string &message) -> void;

    /** Reports an unknown field for each field that was not read; the message lists the allowed fields. Must be called after all reads. */
    auto finish() -> void;

private:
    [[nodiscard]] auto find(const std::string &field, Presence presence, const std::string &allowed) -> std::optional<YAML::Node>;
    [[nodiscard]] auto scalar(const std::string &field, Presence presence, const std::string &allowed) -> std::optional<std::string>;

    std::vector<std::pair<std::string, YAML::Node>> fields_;
    RuleSource &source_;
    std::vector<RuleProblem> &problems_;
    std::string prefix_;
    int line_;
    std::set<std::string> requestedFields_;
};

}
