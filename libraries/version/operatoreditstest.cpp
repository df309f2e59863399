#include "version/operatoredits.h"

#include "version/rulefolder.h"

#include <doctest/doctest.h>

#include <string>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

auto baseFiles() -> RuleFiles
{
    return {
        { "10.yaml", "kind: region\nname: north\nzones: [n1]\n" },
        { "11.yaml", "kind: region\nname: south\nzones: [s1]\n" },
        { "40.yaml", "kind: pool\nname: log\nslots: 9\nbackends:\n  - {name: b1, zone: n1, address: '127.0.2.1:80'}\n" },
    };
}

auto problemsWith(const RuleFile &file) -> std::vector<RuleProblem>
{
    auto files = baseFiles();
    files.push_back(file);
    return checkRules(files).problems_;
}

}

// Guards against the tool writing rules that the rule check rejects.
TEST_CASE("drains and shifts written by the tool are valid rules")
{
    CHECK(problemsWith(drainFile("backend/b1")).empty());
    CHECK(problemsWith(drainFile("zone/s1")).empty());
    CHECK(problemsWith(drainFile("backend/none")).size() == 1);
    const auto shift = ShiftRequest { "move", "log", "north", "south", "30%", "40/s", "2026-03-01T06:00:00Z", "10m" };
    CHECK(problemsWith(shiftFile(shift)).empty());
}

// Guards against an edit that overwrites a file that the operator has not seen, or that removes a file that does not exist.
TEST_CASE("edits use the stored content as their base")
{
    const auto stored = RuleFiles { { "a", "1" } };
    CHECK(replacementEdit(stored, { "a", "2" }) == FileEdit { "a", "1", "2" });
    CHECK(replacementEdit(stored, { "b", "2" }) == FileEdit { "b", std::nullopt, "2" });
    const auto removal = attempt([&]() {
        return removalEdit(stored, "a");
    });
    REQUIRE(std::holds_alternative<FileEdit>(removal));
    CHECK(std::get<FileEdit>(removal) == FileEdit { "a", "1", std::nullopt });
    const auto missing = attempt([&]() {
        return removalEdit(stored, "b");
    });
    CHECK(std::holds_alternative<Error>(missing));
}
