#include "version/rulefolder.h"

#include "version/referencecheck.h"
#include "version/ruleparsers.h"

#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <system_error>
#include <tuple>

namespace lycheecleat
{

namespace
{

auto parsersByKind() -> const std::map<std::string, RuleParser> &
{
    static const auto parsers = std::map<std::string, RuleParser> {
        { "region", parseRegion },
        { "platform", parsePlatform },
        { "entry-host", parseEntryHost },
        { "organisation", parseOrganisation },
        { "key", parseKey },
        { "pool", parsePool },
        { "route", parseRoute },
        { "shift", parseShift },
        { "drain", parseDrain },
        { "client-blocks", parseClientBlocks },
    };
    return parsers;
}

/** State accumulated by checkRules over the files. */
struct CheckState
{
    Configuration configuration_;
    RuleIndex index_;
    std::vector<RuleProblem> problems_;
};

auto parseKind(const std::string &text) -> std::optional<RuleParser>
{
    const auto &parsers = parsersByKind();
    const auto found = parsers.find(text);
    return found == parsers.end() ? std::nullopt : std::optional(found->second);
}

auto allowedKinds() -> std::string
{
    auto kinds = std::string {};
    for (const auto &entry : parsersByKind()) {
        kinds += (kinds.empty() ? "" : ", ") + entry.first;
    }
    return kinds;
}

/** Adds the rule to the index, or reports that a rule of its kind and name exists. */
auto registerRule(CheckState &state, const std::string &kind, const std::string &name, const RuleSource &source) -> void
{
    const auto [position, isNew] = state.index_.emplace(std::pair(kind, name), source);
    if (isNew) {
        return;
    }
    const auto message = fmt::format("{} '{}' is defined in {} already; allowed: one file for each kind and name", kind, name, position->second.file_);
    state.problems_.push_back({ source.file_, source.lines_.at("name"), "name", message });
}

/** Reports a second platform rule: its settings apply to all hosts, so there can be only one. */
auto checkSinglePlatform(CheckState &state, const RuleSource &source) -> void
{
    for (const auto &entry : state.index_) {
        if (entry.first.first == "platform") {
            const auto message = fmt::format("{} defines a platform already; allowed: one rule of kind platform", entry.second.file_);
            state.problems_.push_back({ source.file_, source.lines_.at("kind"), "kind", message });
            return;
        }
    }
}

auto parseMap(CheckState &state, const YAML::Node &map, const RuleFile &file) -> void
{
    auto source = RuleSource { file.name_, {} };
    auto reader = FieldReader(map, source, state.problems_);
    const auto parser = reader.parsed<RuleParser>("kind", std::nullopt, allowedKinds(), parseKind);
    if (parser == nullptr) {
        return;
    }
    const auto kind = reader.text("kind");
    const auto name = reader.name("name");
    parser({ reader, name, file.name_, state.configuration_ });
    reader.finish();
    if (kind == "platform") {
        checkSinglePlatform(state, source);
    }
    if (!name.empty()) {
        registerRule(state, kind, name, source);
    }
}

auto parseFile(CheckState &state, const RuleFile &file) -> void
{
    try {
        const auto documents = YAML::LoadAll(file.content_);
        if (documents.size() > 1) {
            state.problems_.push_back({ file.name_, documents[1].Mark().line + 1, "", "the file holds more than one document; allowed: one rule" });
            return;
        }
        if (documents.empty() || !documents.front().IsMap()) {
            state.problems_.push_back({ file.name_, 1, "kind", "the file defines no kind; allowed: a map with kind and name" });
            return;
        }
        parseMap(state, documents.front(), file);
    } catch (const YAML::Exception &exception) {
        state.problems_.push_back({ file.name_, exception.mark.line + 1, "", "not valid YAML: " + exception.msg });
    }
}

auto readFile(const std::filesystem::path &path) -> Result<std::string>
{
    auto stream = std::ifstream(path, std::ios::binary);
    auto content = std::string(std::istreambuf_iterator<char>(stream), {});
    if (!stream.is_open() || stream.bad()) {
        return makeError(readFolderStep, path.string(), "the file cannot be read");
    }
    return content;
}

auto isHidden(const std::filesystem::path &path) -> bool
{
    return path.filename().string().front() == '.';
}

/** Paths of the rule files below the folder. Hidden files and folders, such as those of version control, are skipped. */
auto listRuleFiles(const std::filesystem::path &folder) -> Result<std::vector<std::filesystem::path>>
{
    auto error = std::error_code {};
    auto paths = std::vector<std::filesystem::path> {};
    auto entry = std::filesystem::recursive_directory_iterator(folder, error);
    while (!error && entry != std::filesystem::recursive_directory_iterator {}) {
        const auto &path = entry->path();
        if (isHidden(path)) {
            entry.disable_recursion_pending();
        } else if (path.extension() == ".yaml" && entry->is_regular_file(error)) {
            paths.push_back(path);
        }
        entry.increment(error);
    }
    if (error) {
        return makeError(readFolderStep, folder.string(), error.message());
    }
    return paths;
}

auto sortProblems(std::vector<RuleProblem> problems) -> std::vector<RuleProblem>
{
    std::stable_sort(problems.begin(), problems.end(), [](const RuleProblem &left, const RuleProblem &right) {
        return std::tie(left.file_, left.line_) < std::tie(right.file_, right.line_);
    });
    return problems;
}

}

auto isRuleFileName(const std::string &name) -> bool
{
    const auto path = std::filesystem::path(name);
    // Comparing with the normal form rejects other spellings of the same path, such as "a//b.yaml".
    if (path.is_absolute() || path.extension() != ".yaml" || path.lexically_normal().generic_string() != name || name.find('\0') != std::string::npos) {
        return false;
    }
    return std::none_of(path.begin(), path.end(), [](const std::filesystem::path &part) {
        return part.generic_string().rfind('.', 0) == 0;
    });
}

auto readRuleFolder(const std::string &folder) -> Result<RuleFiles>
{
    BOOST_LEAF_AUTO(paths, listRuleFiles(folder));
    auto files = RuleFiles {};
    for (const auto &path : paths) {
        BOOST_LEAF_AUTO(content, readFile(path));
        files.push_back({ path.lexically_relative(folder).generic_string(), content });
    }
    std::sort(files.begin(), files.end(), [](const RuleFile &left, const RuleFile &right) {
        return left.name_ < right.name_;
    });
    return files;
}

auto checkRules(const RuleFiles &files) -> CheckedRules
{
    auto state = CheckState {};
    for (const auto &file : files) {
        parseFile(state, file);
    }
    const auto referenceProblems = checkReferences(state.configuration_, state.index_);
    state.problems_.insert(state.problems_.end(), referenceProblems.begin(), referenceProblems.end());
    return { std::move(state.configuration_), sortProblems(std::move(state.problems_)) };
}

}
