#include "support/fleet.h"

#include <doctest/doctest.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace platformtest;

namespace
{

constexpr auto toolTimeout = std::chrono::seconds { 10 };
constexpr auto metricsPort = ":9464";

auto runOperatorTool(const FleetHost &host, std::vector<std::string> arguments) -> integration::ProgramResult
{
    const auto ip = host.callerAddress_.substr(0, host.callerAddress_.find(':'));
    arguments.insert(arguments.begin(), integration::programPath("lycheecleat"));
    arguments.insert(arguments.end(), { "--admin", ip + metricsPort, "--json" });
    return integration::runProgram("lycheecleat", arguments, "/tmp", toolTimeout);
}

struct ToolCase
{
    std::string title_;
    std::vector<std::string> arguments_;
    /** JSON pointers into the output and the expected values. */
    std::vector<std::pair<std::string, nlohmann::json>> expected_;
};

}

// Guards against an operator tool that works only with deployments from a declaration file, not with hosts on the users' platform.
TEST_CASE("the operator tool shows the status of a host and explains the routing of a request")
{
    auto fleet = Fleet();
    const auto &host = fleet.hosts().front();
    REQUIRE(Fleet::waitFor(
        [&] {
            const auto status = nlohmann::json::parse(runOperatorTool(host, { "status" }).output_, nullptr, false);
            return status.is_object() && status.at("hosts").at(0).at("peers").size() == 3;
        },
        std::chrono::seconds { 10 }));
    const auto read = std::vector<std::string> { "explain", "--host", "service.example", "--path", "/read/a", "--object", "7" };
    const auto cases = std::vector<ToolCase> {
        { "status", { "status" }, { { "/hosts/0/host", host.name_ }, { "/hosts/0/zone", host.zone_ } } },
        { "a request", read, { { "/route", "read" }, { "/service", "s" }, { "/refusal", "" }, { "/backends/0/ejected", false } } },
        { "no route", { "explain", "--host", "service.example", "--path", "/other/" }, { { "/refusal", "no_route" } } },
    };
    for (const auto &toolCase : cases) {
        CAPTURE(toolCase.title_);
        const auto result = runOperatorTool(host, toolCase.arguments_);
        CAPTURE(result.errorOutput_);
        CHECK(result.exitCode_ == 0);
        const auto json = nlohmann::json::parse(result.output_, nullptr, false);
        for (const auto &expected : toolCase.expected_) {
            CAPTURE(expected.first);
            CHECK(json.value(nlohmann::json::json_pointer(expected.first), nlohmann::json()) == expected.second);
        }
    }
    const auto explained =
        nlohmann::json::parse(runOperatorTool(host, { "explain", "--host", "service.example", "--path", "/read/a", "--object", "x" }).output_);
    CHECK(explained.at("backends").size() == 4);
    CHECK(explained.at("version") == 1);
}

// Guards against a metric that reports the value of another one.
TEST_CASE("the metrics of a host report its knowledge of the store")
{
    constexpr auto renewalInterval = 2.0;
    auto fleet = Fleet();
    const auto &host = fleet.hosts().front();
    const auto ip = host.callerAddress_.substr(0, host.callerAddress_.find(':'));
    auto client = httplib::Client("http://" + ip + metricsPort);
    const auto page = client.Get("/metrics");
    REQUIRE(page);
    const auto valueOf = [&](const std::string &name) {
        const auto begin = page->body.find("\n" + name + " ");
        REQUIRE(begin != std::string::npos);
        return std::stod(page->body.substr(begin + name.size() + 2));
    };
    CHECK(valueOf("lycheecleat_policy_version") == 1);
    CHECK(valueOf("lycheecleat_store_era") == 1);
    CHECK(valueOf("lycheecleat_store_age_seconds") >= 0);
    CHECK(valueOf("lycheecleat_store_age_seconds") < 2 * renewalInterval);
}
