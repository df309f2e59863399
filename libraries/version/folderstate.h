/** State of an operator's rule folder: the files of the store at the last pull or apply, which are the base of the operator's edits. */
#pragma once

#include "core/error.h"
#include "version/bundle.h"
#include "version/rulefile.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lycheecleat
{

/** File in the folder that stores its state. */
inline constexpr auto folderStateFile = ".lycheecleat";

/** Folder of the key files, which `key grant` and `key withdraw` write to the store. */
inline constexpr auto keyFolder = "keys.d/";

/** Error::step_ of errors in creating, reading and writing a folder and its state. */
inline constexpr auto folderStateStep = "update rule folder";

/** The store's revision and files at the last pull or apply. Empty for a folder that has never been pulled or applied. */
struct FolderState
{
    std::int64_t revision_ = 0;
    RuleFiles files_;

    auto operator==(const FolderState &other) const -> bool = default;
};

/** The changes that a pull makes to a folder. A file in conflict has no edit. */
struct PullPlan
{
    /** Edits to the files of the folder. */
    std::vector<FileEdit> edits_;
    /** Files that were changed differently in the folder and in the store. */
    std::vector<std::string> conflicts_;

    auto operator==(const PullPlan &other) const -> bool = default;
};

/** Reads the state of a folder; empty if the file does not exist. Errors: the file is malformed. */
[[nodiscard]] auto readFolderState(const std::string &folder) -> Result<FolderState>;

/** Replaces the state of a folder atomically. Errors: the file cannot be written. */
[[nodiscard]] auto writeFolderState(const std::string &folder, const FolderState &state) -> Result<void>;

/** The operator's edits since the base. A key file that is missing from the folder isn't a removal, since keys are granted without a folder. */
[[nodiscard]] auto folderEdits(const FolderState &state, const RuleFiles &files) -> std::vector<FileEdit>;

/** Plans a three-way merge that updates a folder to the stored files and keeps the operator's edits. */
[[nodiscard]] auto planPull(const FolderState &state, const RuleFiles &files, const RuleFiles &stored) -> PullPlan;

/**
 * Writes edits to the folder, each file atomically. Errors: a name is outside the folder, hidden or not *.yaml (then nothing is written), or a file
 * cannot be written.
 */
[[nodiscard]] auto writeFolder(const std::string &folder, const std::vector<FileEdit> &edits) -> Result<void>;

}
