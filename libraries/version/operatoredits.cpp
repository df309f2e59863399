#include "version/operatoredits.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>

namespace lycheecleat
{

namespace
{

auto storedContent(const RuleFiles &stored, const std::string &name) -> std::optional<std::string>
{
    const auto found = std::find_if(stored.begin(), stored.end(), [&](const RuleFile &file) {
        return file.name_ == name;
    });
    return found == stored.end() ? std::nullopt : std::optional(found->content_);
}

}

auto drainFile(const std::string &target) -> RuleFile
{
    auto name = target;
    std::replace(name.begin(), name.end(), '/', '-');
    return { "drains.d/" + name + ".yaml", fmt::format("kind: drain\nname: {}\ntarget: {}\n", name, target) };
}

auto shiftFileName(const std::string &name) -> std::string
{
    return "shifts.d/" + name + ".yaml";
}

auto shiftFile(const ShiftRequest &request) -> RuleFile
{
    constexpr auto format = "kind: shift\nname: {}\npool: {}\nfrom: {}\nto: {}\nshare: {}\ncap: {}\nstart: {}\nover: {}\n";
    auto content =
        fmt::format(format, request.name_, request.pool_, request.from_, request.to_, request.share_, request.rateCap_, request.start_, request.rampDuration_);
    return { shiftFileName(request.name_), std::move(content) };
}

auto replacementEdit(const RuleFiles &stored, const RuleFile &file) -> FileEdit
{
    return { file.name_, storedContent(stored, file.name_), file.content_ };
}

auto removalEdit(const RuleFiles &stored, const std::string &fileName) -> Result<FileEdit>
{
    const auto content = storedContent(stored, fileName);
    if (!content) {
        return makeError(editStep, fileName, "the store does not contain this file; to remove a rule that is in another file, edit the rule folder");
    }
    return FileEdit { fileName, content, std::nullopt };
}

}
