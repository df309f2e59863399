#include "version/folderstate.h"

#include "core/digest.h"
#include "version/rulefolder.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <string>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

/** A temporary folder that is removed when the object is destroyed. */
struct TemporaryFolder
{
    std::filesystem::path path_ = std::filesystem::temp_directory_path() / ("lycheecleat-" + randomHex(8));

    TemporaryFolder()
    {
        std::filesystem::create_directories(path_);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    auto operator=(const TemporaryFolder &) -> TemporaryFolder & = delete;
    ~TemporaryFolder()
    {
        std::filesystem::remove_all(path_);
    }
};

template<typename Function>
auto succeeds(Function &&function) -> bool
{
    const auto outcome = attempt(std::forward<Function>(function));
    return outcome.index() == 0;
}

struct PullCase
{
    std::string name_;
    RuleFiles base_;
    RuleFiles local_;
    RuleFiles stored_;
    PullPlan expected_;
};

}

// Guards against a folder that loses its base: its next apply would report conflicts or restore removed files.
TEST_CASE("the state of a folder is read back as it was written")
{
    const auto folder = TemporaryFolder {};
    const auto state = FolderState { 7, { { "a.yaml", "1\n" }, { "b/c.yaml", "\"quoted\"\n" } } };
    CHECK(succeeds([&]() {
        return writeFolderState(folder.path_.string(), state);
    }));
    const auto outcome = attempt([&]() {
        return readFolderState(folder.path_.string());
    });
    REQUIRE(std::holds_alternative<FolderState>(outcome));
    CHECK(std::get<FolderState>(outcome) == state);
}

// Guards against treating a folder with a corrupted state as a new folder.
TEST_CASE("a malformed state is an error and a missing state is empty")
{
    const auto folder = TemporaryFolder {};
    const auto outcome = attempt([&]() {
        return readFolderState(folder.path_.string());
    });
    REQUIRE(std::holds_alternative<FolderState>(outcome));
    CHECK(std::get<FolderState>(outcome) == FolderState {});
    std::ofstream(folder.path_ / folderStateFile) << "{";
    CHECK_FALSE(succeeds([&]() {
        return readFolderState(folder.path_.string());
    }));
}

// Guards against deleting keys when a folder is applied that was pulled before they were granted, or that lacks their files.
TEST_CASE("folderEdits never removes keys")
{
    const auto state = FolderState { 1, { { "a.yaml", "1" }, { "keys.d/k.yaml", "1" } } };
    CHECK(folderEdits(state, {}) == std::vector<FileEdit> { { "a.yaml", "1", std::nullopt } });
    CHECK(folderEdits(state, { { "a.yaml", "1" }, { "keys.d/k.yaml", "2" } }) == std::vector<FileEdit> { { "keys.d/k.yaml", "1", "2" } });
}

// Guards against a pull that overwrites the operator's edits, or that doesn't update a file that was replaced in the store.
TEST_CASE("planPull keeps local edits and applies those of the store")
{
    const auto one = RuleFiles { { "a", "1" } };
    const auto two = RuleFiles { { "a", "2" } };
    const auto three = RuleFiles { { "a", "3" } };
    const auto key = RuleFiles { { "keys.d/k.yaml", "1" } };
    const auto cases = std::vector<PullCase> {
        { "unchanged", one, one, one, {} },
        { "changed in the store", one, one, two, { { { "a", "1", "2" } }, {} } },
        { "changed in the folder", one, two, one, {} },
        { "changed in both", one, two, three, { {}, { "a" } } },
        { "changed identically in both", one, two, two, {} },
        { "removed in the store", one, one, {}, { { { "a", "1", std::nullopt } }, {} } },
        { "removed in the folder", one, {}, one, {} },
        { "removed in the folder, changed in the store", one, {}, two, { {}, { "a" } } },
        { "added in the store", {}, {}, one, { { { "a", std::nullopt, "1" } }, {} } },
        { "added in both", {}, one, two, { {}, { "a" } } },
        { "key missing from the folder", key, {}, key, { { { "keys.d/k.yaml", std::nullopt, "1" } }, {} } },
    };
    for (const auto &pullCase : cases) {
        CAPTURE(pullCase.name_);
        CHECK(planPull({ 1, pullCase.base_ }, pullCase.local_, pullCase.stored_) == pullCase.expected_);
    }
}

// Guards against path traversal: a store record must not make the tool write or delete files outside the folder.
TEST_CASE("writeFolder rejects names outside the folder, hidden names and other extensions")
{
    const auto folder = TemporaryFolder {};
    for (const auto &name : std::vector<std::string> { "../x.yaml", "/tmp/x.yaml", "a/../../x.yaml", ".hidden.yaml", "a/.b/x.yaml", "x.txt", "" }) {
        CAPTURE(name);
        CHECK_FALSE(succeeds([&]() {
            return writeFolder(folder.path_.string(), { { name, std::nullopt, "x" } });
        }));
    }
}

// Guards against a folder that differs from the store after a pull.
TEST_CASE("writeFolder writes and removes files that readRuleFolder reads")
{
    const auto folder = TemporaryFolder {};
    CHECK(succeeds([&]() {
        return writeFolder(folder.path_.string(), { { "a.yaml", std::nullopt, "1" }, { "b/c.yaml", std::nullopt, "2" }, { "b/d.yaml", std::nullopt, "3" } });
    }));
    CHECK(succeeds([&]() {
        return writeFolder(folder.path_.string(), { { "a.yaml", "1", std::nullopt }, { "b/c.yaml", "2", "4" } });
    }));
    const auto outcome = attempt([&]() {
        return readRuleFolder(folder.path_.string());
    });
    REQUIRE(std::holds_alternative<RuleFiles>(outcome));
    CHECK(std::get<RuleFiles>(outcome) == RuleFiles { { "b/c.yaml", "4" }, { "b/d.yaml", "3" } });
}
