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

/** A folder that is removed at the end of the test. */
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

// Guards against a folder that forgets its base: its next apply would report conflicts or resurrect removed files.
TEST_CASE("a folder remembers its state")
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

// Guards against a damaged state being taken for a new folder.
TEST_CASE("a malformed state is an error and a missing one is empty")
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

// Guards against keys being deleted by the apply of a folder that was pulled before they were granted, or that leaves them out.
TEST_CASE("folderEdits never removes keys")
{
    const auto state = FolderState { 1, { { "a.yaml", "1" }, { "keys.d/k.yaml", "1" } } };
    CHECK(folderEdits(state, {}) == std::vector<FileEdit> { { "a.yaml", "1", std::nullopt } });
    CHECK(folderEdits(state, { { "a.yaml", "1" }, { "keys.d/k.yaml", "2" } }) == std::vector<FileEdit> { { "keys.d/k.yaml", "1", "2" } });
}

// Guards against a pull that overwrites the operator's edits, or keeps a file that has been replaced in the store.
TEST_CASE("planPull keeps local edits and takes the store's")
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
        { "changed alike", one, two, two, {} },
        { "removed in the store", one, one, {}, { { { "a", "1", std::nullopt } }, {} } },
        { "removed in the folder", one, {}, one, {} },
        { "removed in the folder, changed in the store", one, {}, two, { {}, { "a" } } },
        { "added in the store", {}, {}, one, { { { "a", std::nullopt, "1" } }, {} } },
        { "added in both", {}, one, two, { {}, { "a" } } },
        { "key left out of the folder", key, {}, key, { { { "keys.d/k.yaml", std::nullopt, "1" } }, {} } },
    };
    for (const auto &pullCase : cases) {
        CAPTURE(pullCase.name_);
        CHECK(planPull({ 1, pullCase.base_ }, pullCase.local_, pullCase.stored_) == pullCase.expected_);
    }
}

// Guards against a store record that makes the tool write or delete files outside the folder.
TEST_CASE("writeFolder refuses names that lead out of the folder")
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
