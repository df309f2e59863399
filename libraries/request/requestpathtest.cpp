#include "request/requestpath.h"

#include <doctest/doctest.h>

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
