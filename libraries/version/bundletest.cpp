#include "version/bundle.h"

#include "core/digest.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

auto sampleFiles() -> RuleFiles
{
    return { { "10-a.yaml", "kind: region\n" }, { "20-b.yaml", "b" }, { "keys.d/k.yaml", "key" } };
}

template<typename Function>
auto errorOf(Function &&function) -> Error
{
    const auto outcome = attempt(std::forward<Function>(function));
    const auto *error = std::get_if<Error>(&outcome);
    return error == nullptr ? Error {} : *error;
}

struct MergeCase
{
    std::string name_;
    RuleFiles current_;
    std::vector<FileEdit> edits_;
    /** Absent if a conflict is expected. */
    std::optional<RuleFiles> expected_;
};

}

// Guards against files that are lost, reordered or changed by packing and unpacking.
TEST_CASE("a packed bundle unpacks to the same files")
{
    const auto outcome = attempt([]() -> Result<RuleFiles> {
        BOOST_LEAF_AUTO(bundle, packBundle(sampleFiles(), 7, { "c1" }));
        CHECK(bundle.head_.revision_ == 7);
        BOOST_LEAF_AUTO(head, parseHead(serializeHead(bundle.head_)));
        CHECK(head == bundle.head_);
        return unpackBundle(bundle);
    });
    REQUIRE(std::holds_alternative<RuleFiles>(outcome));
    CHECK(std::get<RuleFiles>(outcome) == sampleFiles());
}

// Guards against activating a chunk that was corrupted or swapped.
TEST_CASE("unpackBundle rejects missing and changed chunks")
{
    const auto error = errorOf([]() -> Result<RuleFiles> {
        BOOST_LEAF_AUTO(bundle, packBundle(sampleFiles(), 1, {}));
        bundle.chunks_.begin()->second += " ";
        return unpackBundle(bundle);
    });
    CHECK(error.message_ == "the chunk's content has another digest");
    const auto missing = errorOf([]() -> Result<RuleFiles> {
        BOOST_LEAF_AUTO(bundle, packBundle(sampleFiles(), 1, {}));
        bundle.chunks_.clear();
        return unpackBundle(bundle);
    });
    CHECK(missing.message_.find("is missing") != std::string::npos);
}

// Guards against a value that is too large for the store, and against a head that grows with every change.
TEST_CASE("packBundle limits the size of chunks and the number of change ids")
{
    const auto error = errorOf([]() {
        return packBundle({ { "large.yaml", std::string(maximumChunkBytes, 'x') } }, 1, {});
    });
    CHECK(error.message_.find("large.yaml") != std::string::npos);
    const auto changes = std::vector<std::string>(maximumChangeIds + 5, "c");
    const auto outcome = attempt([&]() {
        return packBundle({}, 1, changes);
    });
    REQUIRE(std::holds_alternative<Bundle>(outcome));
    CHECK(std::get<Bundle>(outcome).head_.changeIds_.size() == maximumChangeIds);
}

// Guards against treating a malformed head as an empty configuration.
TEST_CASE("parseHead rejects malformed text")
{
    for (const auto &text :
         std::vector<std::string> { "", "{}", "[]", R"({"revision":"1","chunks":{},"changes":[]})", R"({"revision":1,"chunks":{"x":"d"},"changes":[]})" }) {
        CAPTURE(text);
        CHECK(errorOf([&]() {
                  return parseHead(text);
              }).step_
              == "parse head record");
    }
}

// Guards against lost updates between operators.
TEST_CASE("mergeEdits merges edits of different files and rejects conflicting edits of the same file")
{
    const auto current = RuleFiles { { "a", "1" }, { "b", "1" } };
    const auto cases = std::vector<MergeCase> {
        { "change", current, { { "a", "1", "2" } }, RuleFiles { { "a", "2" }, { "b", "1" } } },
        { "add", current, { { "c", std::nullopt, "1" } }, RuleFiles { { "a", "1" }, { "b", "1" }, { "c", "1" } } },
        { "remove", current, { { "a", "1", std::nullopt } }, RuleFiles { { "b", "1" } } },
        { "same result", current, { { "a", "0", "1" } }, current },
        { "removed by both", current, { { "c", "1", std::nullopt } }, current },
        { "both changed", current, { { "a", "0", "2" } }, std::nullopt },
        { "both added", current, { { "a", std::nullopt, "2" } }, std::nullopt },
        { "changed by the edit, removed in the store", current, { { "c", "1", "2" } }, std::nullopt },
        { "removed by the edit, changed in the store", current, { { "a", "0", std::nullopt } }, std::nullopt },
        { "one conflict rejects all edits", current, { { "b", "1", "2" }, { "a", "0", "2" } }, std::nullopt },
    };
    for (const auto &mergeCase : cases) {
        CAPTURE(mergeCase.name_);
        const auto outcome = attempt([&]() {
            return mergeEdits(mergeCase.current_, mergeCase.edits_);
        });
        REQUIRE(std::holds_alternative<RuleFiles>(outcome) == mergeCase.expected_.has_value());
        if (mergeCase.expected_) {
            CHECK(std::get<RuleFiles>(outcome) == *mergeCase.expected_);
        } else {
            CHECK(std::get<Error>(outcome).step_ == mergeStep);
        }
    }
}

// Guards against an operator having to resolve conflicts one at a time.
TEST_CASE("mergeEdits reports every conflicting file and both edits")
{
    const auto error = errorOf([]() {
        return mergeEdits({ { "a", "1" } }, { { "a", "0", "2" }, { "b", "0", "2" } });
    });
    CHECK(error.message_.find("a: this edit changes it, and an edit made since the folder was pulled changes it") != std::string::npos);
    CHECK(error.message_.find("b: this edit changes it, and an edit made since the folder was pulled removes it") != std::string::npos);
}

// Guards against an edit that is missed when a folder is compared with its base.
TEST_CASE("mergeEdits of the result of diffRuleFiles gives the changed files")
{
    const auto before = RuleFiles { { "a", "1" }, { "b", "1" } };
    const auto after = RuleFiles { { "b", "2" }, { "c", "1" } };
    const auto edits = diffRuleFiles(before, after);
    CHECK(edits == std::vector<FileEdit> { { "a", "1", std::nullopt }, { "b", "1", "2" }, { "c", std::nullopt, "1" } });
    const auto outcome = attempt([&]() {
        return mergeEdits(before, edits);
    });
    REQUIRE(std::holds_alternative<RuleFiles>(outcome));
    CHECK(std::get<RuleFiles>(outcome) == after);
}
