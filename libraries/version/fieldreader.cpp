#include "version/fieldreader.h"

#include "core/socketaddress.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>

namespace lycheecleat
{

namespace
{

constexpr auto maximumNameLength = std::size_t { 63 };

auto lineOf(const YAML::Node &node) -> int
{
    return node.Mark().line + 1;
}

auto isLetterOrDigit(char character) -> bool
{
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
}

auto isNameCharacter(char character) -> bool
{
    return isLetterOrDigit(character) || character == '.' || character == '_' || character == '-';
}

auto parseName(const std::string &text) -> std::optional<std::string>
{
    const auto hasValidLengthAndStart = !text.empty() && text.size() <= maximumNameLength && isLetterOrDigit(text.front());
    return hasValidLengthAndStart && std::all_of(text.begin(), text.end(), isNameCharacter) ? std::optional(text) : std::nullopt;
}

}

FieldReader::FieldReader(const YAML::Node &map, RuleSource &source, std::vector<RuleProblem> &problems, std::string prefix)
    : source_(source)
    , problems_(problems)
    , prefix_(std::move(prefix))
    , line_(lineOf(map))
{
    for (const auto &entry : map) {
        if (!entry.first.IsScalar()) {
            problems_.push_back({ source_.file_, lineOf(entry.first), prefix_, "a field name must be a plain word" });
            continue;
        }
        const auto field = entry.first.Scalar();
        const auto line = lineOf(entry.first);
        const auto [position, isNew] = source_.lines_.emplace(prefix_ + field, line);
        if (!isNew) {
            const auto message = fmt::format("the field is given twice, first in line {}; allowed: once", position->second);
            problems_.push_back({ source_.file_, line, prefix_ + field, message });
            continue;
        }
        fields_.emplace_back(field, entry.second);
    }
}

auto FieldReader::text(const std::string &field, Presence presence) -> std::string
{
    return scalar(field, presence, "a text").value_or("");
}

auto FieldReader::name(const std::string &field) -> std::string
{
    const auto allowed = "1 to 63 letters, digits, '.', '_' and '-', starting with a letter or digit";
    return parsed<std::string>(field, std::nullopt, allowed, parseName);
}

auto FieldReader::address(const std::string &field) -> std::string
{
    return parsed<std::string>(field, std::nullopt, "an IP address and port such as 127.0.0.1:8080", [](const std::string &raw) {
        return parseSocketAddress(raw) ? std::optional(raw) : std::nullopt;
    });
}

auto FieldReader::textList(const std::string &field) -> std::vector<std::string>
{
    const auto allowed = std::string("a list of texts with at least one element");
    const auto node = find(field, Presence::Required, allowed);
    if (!node) {
        return {};
    }
    if (!node->IsSequence() || node->size() == 0) {
        report(field, "the field has the wrong type or is empty; allowed: " + allowed);
        return {};
    }
    auto values = std::vector<std::string> {};
    auto seen = std::set<std::string> {};
    for (const auto &element : *node) {
        if (!element.IsScalar() || element.Scalar().empty()) {
            problems_.push_back({ source_.file_, lineOf(element), prefix_ + field, "an element is not a text; allowed: " + allowed });
        } else if (!seen.insert(element.Scalar()).second) {
            problems_.push_back({ source_.file_, lineOf(element), prefix_ + field, "'" + element.Scalar() + "' is listed twice; allowed: once" });
        } else {
            values.push_back(element.Scalar());
        }
    }
    return values;
}

auto FieldReader::readMapList(const std::string &field, const std::function<void(FieldReader &)> &readElement) -> void
{
    const auto allowed = std::string("a list of maps with at least one element");
    const auto node = find(field, Presence::Required, allowed);
    if (!node) {
        return;
    }
    if (!node->IsSequence() || node->size() == 0) {
        report(field, "the field has the wrong type or is empty; allowed: " + allowed);
        return;
    }
    for (auto index = std::size_t { 0 }; index < node->size(); ++index) {
        const auto element = (*node)[index];
        const auto elementName = fmt::format("{}{}[{}]", prefix_, field, index);
        if (!element.IsMap()) {
            problems_.push_back({ source_.file_, lineOf(element), elementName, "the element is not a map; allowed: " + allowed });
            continue;
        }
        auto reader = FieldReader(element, source_, problems_, elementName + ".");
        readElement(reader);
        reader.finish();
    }
}

auto FieldReader::report(const std::string &field, const std::string &message) -> void
{
    const auto line = source_.lines_.find(prefix_ + field);
    problems_.push_back({ source_.file_, line == source_.lines_.end() ? line_ : line->second, prefix_ + field, message });
}

auto FieldReader::finish() -> void
{
    for (const auto &field : fields_) {
        if (requestedFields_.count(field.first) == 0) {
            report(field.first, fmt::format("unknown field; allowed: {}", fmt::join(requestedFields_, ", ")));
        }
    }
}

auto FieldReader::find(const std::string &field, Presence presence, const std::string &allowed) -> std::optional<YAML::Node>
{
    requestedFields_.insert(field);
    for (const auto &candidate : fields_) {
        if (candidate.first == field) {
            return candidate.second;
        }
    }
    if (presence == Presence::Required) {
        report(field, "the field is missing; allowed: " + allowed);
    }
    return std::nullopt;
}

auto FieldReader::scalar(const std::string &field, Presence presence, const std::string &allowed) -> std::optional<std::string>
{
    const auto node = find(field, presence, allowed);
    if (!node) {
        return std::nullopt;
    }
    if (!node->IsScalar() || node->Scalar().empty()) {
        report(field, "the field has the wrong type or is empty; allowed: " + allowed);
        return std::nullopt;
    }
    return node->Scalar();
}

}
