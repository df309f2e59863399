/** What an operator's folder was pulled from or last applied as. */
#pragma once

#include "core/error.h"
#include "version/bundle.h"
#include "version/rulefile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheecleat
{

/** File inside the folder that remembers its state. */
inline constexpr auto folderStateFile = ".lycheecleat";

/** Folder of the key files, which `key grant` and `key withdraw` write to the store. */
inline constexpr auto keyFolder = "keys.d/";

/** Step of the errors of a folder's state and of writing a folder. */
inline constexpr auto folderStateStep = "update rule folder";

/** The files of the store as this folder last saw them. Empty for a folder that has never been pulled or applied. */
struct FolderState
{
    std::int64_t revision_ = 0;
    RuleFiles files_;

    auto operator==(const FolderState &other) const -> bool = default;
};

/** What a pull does to a folder. */
struct PullPlan
{
    /** Edits to the files of the folder. */
    std::vector<FileEdit> edits_;
    /** Files that were edited both in the folder and in the store. */
    std::vector<std::string> conflicts_;

    auto operator==(const PullPlan &other) const -> bool = default;
};

/** Reads the state of a folder; without the file it is empty. Errors: the file is malformed. */
[[nodiscard]] auto readFolderState(const std::string &folder) -> Result<FolderState>;

/** Replaces the state of a folder. Errors: the file cannot be written. */
[[nodiscard]] auto writeFolderState(const std::string &folder, const FolderState &state) -> Result<void>;

/** The operator's edits. Key files that the folder does not hold are no edits, since keys are granted without a folder. */
[[nodiscard]] auto folderEdits(const FolderState &state, const RuleFiles &files) -> std::vector<FileEdit>;

/** How to bring a folder to the store's files while keeping the operator's edits. */
[[nodiscard]] auto planPull(const FolderState &state, const RuleFiles &files, const RuleFiles &stored) -> PullPlan;

/** Writes edits into the folder. Errors: a name leads out of the folder or is hidden, or a file cannot be written. */
[[nodiscard]] auto writeFolder(const std::string &folder, const std::vector<FileEdit> &edits) -> Result<void>;

}
