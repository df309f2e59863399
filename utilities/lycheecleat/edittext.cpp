#include "edittext.h"

#include <fmt/format.h>

#include <algorithm>
#include <sstream>

namespace lycheecleat
{

namespace
{

auto editKind(const FileEdit &edit) -> std::string
{
    if (!edit.before_) {
        return "added";
    }
    return edit.after_ ? "changed" : "removed";
}

auto splitLines(const std::string &text) -> std::vector<std::string>
{
    auto lines = std::vector<std::string> {};
    auto stream = std::istringstream(text);
    for (auto line = std::string {}; std::getline(stream, line);) {
        lines.push_back(line);
    }
    return lines;
}

}

auto formatEditList(const std::vector<FileEdit> &edits) -> std::string
{
    auto text = std::string {};
    for (const auto &edit : edits) {
        text += fmt::format("{} {}\n", editKind(edit), edit.name_);
    }
    return text;
}

auto editsToJson(const std::vector<FileEdit> &edits) -> nlohmann::json
{
    auto list = nlohmann::json::array();
    for (const auto &edit : edits) {
        list.push_back({ { "file", edit.name_ }, { "edit", editKind(edit) } });
    }
    return list;
}

auto formatEditDiff(const FileEdit &edit) -> std::string
{
    const auto before = splitLines(edit.before_.value_or(""));
    const auto after = splitLines(edit.after_.value_or(""));
    const auto [firstBefore, firstAfter] = std::mismatch(before.begin(), before.end(), after.begin(), after.end());
    const auto commonEnd = std::mismatch(before.rbegin(), std::make_reverse_iterator(firstBefore), after.rbegin(), std::make_reverse_iterator(firstAfter));
    auto text = fmt::format("{} {}\n", editKind(edit), edit.name_);
    std::for_each(firstBefore, commonEnd.first.base(), [&](const std::string &line) {
        text += "- " + line + "\n";
    });
    std::for_each(firstAfter, commonEnd.second.base(), [&](const std::string &line) {
        text += "+ " + line + "\n";
    });
    return text;
}

}
