#include "version/folderstate.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <set>
#include <system_error>

namespace lycheecleat
{

namespace
{

using Json = nlohmann::json;

auto statePath(const std::string &folder) -> std::filesystem::path
{
    return std::filesystem::path(folder) / folderStateFile;
}

auto parseState(const std::string &path, const std::string &text) -> Result<FolderState>
{
    try {
        const auto json = Json::parse(text);
        auto state = FolderState {};
        state.revision_ = json.at("revision").get<std::int64_t>();
        for (const auto &[name, content] : json.at("files").items()) {
            state.files_.push_back({ name, content.get<std::string>() });
        }
        return state;
    } catch (const Json::exception &exception) {
        return makeError(folderStateStep, path, std::string("the file is malformed; pull into a new folder: ") + exception.what());
    }
}

/** Replaces a file atomically, so that an interrupted tool leaves either the old or the new content. */
auto replaceFile(const std::filesystem::path &path, const std::string &content) -> Result<void>
{
    auto error = std::error_code {};
    std::filesystem::create_directories(path.parent_path(), error);
    auto temporary = path;
    temporary += ".new";
    auto stream = std::ofstream(temporary, std::ios::binary | std::ios::trunc);
    stream << content;
    stream.close();
    if (!stream) {
        return makeError(folderStateStep, path.string(), "the file cannot be written");
    }
    std::filesystem::rename(temporary, path, error);
    if (error) {
        return makeError(folderStateStep, path.string(), error.message());
    }
    return {};
}

auto isKeyFile(const std::string &name) -> bool
{
    return name.rfind(keyFolder, 0) == 0;
}

auto contentOf(const RuleFiles &files, const std::string &name) -> std::optional<std::string>
{
    const auto found = std::lower_bound(files.begin(), files.end(), name, [](const RuleFile &file, const std::string &wanted) {
        return file.name_ < wanted;
    });
    return found == files.end() || found->name_ != name ? std::nullopt : std::optional(found->content_);
}

auto namesOf(const std::vector<const RuleFiles *> &fileLists) -> std::set<std::string>
{
    auto names = std::set<std::string> {};
    for (const auto *files : fileLists) {
        for (const auto &file : *files) {
            names.insert(file.name_);
        }
    }
    return names;
}

/** Whether a name is inside the folder and is read as a rule file. Names come from the store, to which others can write. */
auto isSafeName(const std::string &name) -> bool
{
    const auto path = std::filesystem::path(name);
    if (path.is_absolute() || path.extension() != ".yaml") {
        return false;
    }
    return std::all_of(path.begin(), path.end(), [](const std::filesystem::path &part) {
        return !part.empty() && part.string().front() != '.';
    });
}

auto writeEdit(const std::string &folder, const FileEdit &edit) -> Result<void>
{
    const auto path = std::filesystem::path(folder) / edit.name_;
    if (edit.after_) {
        return replaceFile(path, *edit.after_);
    }
    auto error = std::error_code {};
    std::filesystem::remove(path, error);
    if (error) {
        return makeError(folderStateStep, path.string(), error.message());
    }
    return {};
}

}

auto readFolderState(const std::string &folder) -> Result<FolderState>
{
    const auto path = statePath(folder);
    auto error = std::error_code {};
    if (!std::filesystem::exists(path, error) && !error) {
        return FolderState {};
    }
    auto stream = std::ifstream(path, std::ios::binary);
    const auto text = std::string(std::istreambuf_iterator<char>(stream), {});
    return parseState(path.string(), text);
}

auto writeFolderState(const std::string &folder, const FolderState &state) -> Result<void>
{
    auto files = Json::object();
    for (const auto &file : state.files_) {
        files[file.name_] = file.content_;
    }
    return replaceFile(statePath(folder), Json { { "revision", state.revision_ }, { "files", files } }.dump(1) + "\n");
}

auto folderEdits(const FolderState &state, const RuleFiles &files) -> std::vector<FileEdit>
{
    auto edits = diffRuleFiles(state.files_, files);
    const auto isMissingKey = [](const FileEdit &edit) {
        return !edit.after_ && isKeyFile(edit.name_);
    };
    edits.erase(std::remove_if(edits.begin(), edits.end(), isMissingKey), edits.end());
    return edits;
}

auto planPull(const FolderState &state, const RuleFiles &files, const RuleFiles &stored) -> PullPlan
{
    auto plan = PullPlan {};
    for (const auto &name : namesOf({ &state.files_, &files, &stored })) {
        const auto base = contentOf(state.files_, name);
        const auto local = contentOf(files, name);
        const auto remote = contentOf(stored, name);
        const auto isEdited = local != base && (local || !isKeyFile(name));
        if (local == remote || (isEdited && remote == base)) {
            continue;
        }
        if (isEdited) {
            plan.conflicts_.push_back(name);
        } else {
            plan.edits_.push_back({ name, local, remote });
        }
    }
    return plan;
}

auto writeFolder(const std::string &folder, const std::vector<FileEdit> &edits) -> Result<void>
{
    for (const auto &edit : edits) {
        if (!isSafeName(edit.name_)) {
            return makeError(folderStateStep, edit.name_, "the store contains a file name that is outside the folder, is hidden or is not *.yaml");
        }
    }
    for (const auto &edit : edits) {
        BOOST_LEAF_CHECK(writeEdit(folder, edit));
    }
    return {};
}

}
