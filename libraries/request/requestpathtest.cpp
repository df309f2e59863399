#include "request/requestpath.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct PathCase
{
    std::string target_;
    std::optional<std::string> expected_;
};

struct AlternativeCase
{
    std::string path_;
    /** Paths that must be among the alternatives; empty if there are none. */
    std::vector<std::string> expected_;
};

}

// Guards against a request that matches an open route here but that the backend server interprets as a path that requires a key.
TEST_CASE("an ambiguous path is rejected")
{
    const auto cases = std::vector<PathCase> {
        { "/", "/" },
        { "/a/b", "/a/b" },
        { "/a/?q=/../x", "/a/" },
        { "/%61/b%20c", "/a/b c" },
        { "/a..b/...", "/a..b/..." },
        { "", std::nullopt },
        { "*", std::nullopt },
        { "http://h/a", std::nullopt },
        { "/a/../b", std::nullopt },
        { "/a/./b", std::nullopt },
        { "/a/%2e%2E/b", std::nullopt },
        { "/a/%252e%252e/b", std::nullopt },
        { "/a/..;x/b", std::nullopt },
        { "//a", std::nullopt },
        { "/a//b", std::nullopt },
        { "/a%2fb", std::nullopt },
        { "/a%252Fb", std::nullopt },
        { "/a\\b", std::nullopt },
        { "/a%5cb", std::nullopt },
        { "/a%00", std::nullopt },
    };
    for (const auto &pathCase : cases) {
        CAPTURE(pathCase.target_);
        CHECK(routingPath(pathCase.target_) == pathCase.expected_);
    }
}

// Guards against an interpretation that goes unnoticed, by which a path reaches another route at a backend server than the one selected here.
TEST_CASE("a path has the alternatives that servers could resolve it to")
{
    const auto cases = std::vector<AlternativeCase> {
        { "/", {} },
        { "/a/b", {} },
        { "/a..b/c", {} },
        { "/a//b", { "/a/b" } },
        { "//a", { "/a" } },
        { "/a/./b", { "/a/b" } },
        { "/a/../b", { "/b" } },
        { "/a/..", { "/" } },
        { "/a//../b", { "/a/b", "/b" } },
        { "/%61/b", { "/a/b" } },
        { "/a/%2e%2E/b", { "/a/../b", "/b" } },
        { "/a/%252e%252e/b", { "/a/%2e%2e/b", "/a/../b", "/b" } },
        { "/a%2fb", { "/a/b" } },
        { "/a%252Fb", { "/a%2Fb", "/a/b" } },
        { "/a\\b", { "/a/b" } },
        { "/a%5cb", { "/a\\b", "/a/b" } },
        { "/a/..;x/b", { "/b" } },
        { "/a;/b", { "/a/b" } },
        { "/a%00/b", { "/a" } },
    };
    for (const auto &pathCase : cases) {
        CAPTURE(pathCase.path_);
        const auto alternatives = alternativePaths(pathCase.path_);
        for (const auto &expected : pathCase.expected_) {
            CAPTURE(expected);
            CHECK(std::find(alternatives.begin(), alternatives.end(), expected) != alternatives.end());
        }
        CHECK(alternatives.empty() == pathCase.expected_.empty());
        CHECK(std::find(alternatives.begin(), alternatives.end(), pathCase.path_) == alternatives.end());
    }
}
