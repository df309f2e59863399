#include "version/rulefolder.h"

#include <doctest/doctest.h>

#include <filesystem>
#include <string>
#include <variant>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto entryHosts = std::size_t { 18 };
constexpr auto backendServers = std::size_t { 30 };
constexpr auto organisations = std::size_t { 8 };

auto exampleFolder(const std::string &name) -> std::string
{
    return (std::filesystem::path(__FILE__).parent_path() / "../../examples" / name).lexically_normal().string();
}

auto backendCount(const Configuration &configuration) -> std::size_t
{
    auto count = std::size_t { 0 };
    for (const auto &pool : configuration.pools_) {
        count += pool.backends_.size();
    }
    return count;
}

}

// Guards against example folders that no longer pass the rule check, or that no longer declare the whole deployment.
TEST_CASE("the example folders are valid and declare the whole deployment")
{
    for (const auto &name : std::vector<std::string> { "ikivu", "nile-hearth" }) {
        CAPTURE(name);
        const auto outcome = attempt([&]() {
            return readRuleFolder(exampleFolder(name));
        });
        REQUIRE(std::holds_alternative<RuleFiles>(outcome));
        const auto checked = checkRules(std::get<RuleFiles>(outcome));
        for (const auto &problem : checked.problems_) {
            FAIL_CHECK(describe(problem));
        }
        CHECK(checked.configuration_.regions_.size() == 3);
        CHECK(checked.configuration_.entryHosts_.size() == entryHosts);
        CHECK(checked.configuration_.organisations_.size() == organisations);
        CHECK(backendCount(checked.configuration_) == backendServers);
    }
}
