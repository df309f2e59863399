#include "process/settings.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace lycheecleat;

namespace
{

constexpr auto completeSettings = R"(name: edge-1
zone: cairo-a
listen: 127.0.0.1:8001
peer_listen: 127.0.0.1:8002
admin_listen: 127.0.0.1:8003
store: 127.0.0.1:8004
secret_file: fleet.secret
)";

struct ProblemCase
{
    std::string text_;
    int line_;
    std::string field_;
};

auto hasProblem(const std::vector<RuleProblem> &problems, int line, const std::string &field) -> bool
{
    return std::any_of(problems.begin(), problems.end(), [&](const RuleProblem &problem) {
        return problem.line_ == line && problem.field_ == field && !problem.message_.empty();
    });
}

}

// Guards against unintended changes of the defaults.
TEST_CASE("checkSettings reads required fields and fills in defaults")
{
    const auto checked = checkSettings("d.yaml", completeSettings);
    CHECK(checked.problems_.empty());
    CHECK(checked.settings_.name_ == "edge-1");
    CHECK(checked.settings_.peerListen_ == "127.0.0.1:8002");
    CHECK(checked.settings_.threads_ == 512);
    CHECK(checked.settings_.lookupLifetime_ == absl::Seconds(5));
    CHECK(checked.settings_.operatorKeyFile_.empty());
}

TEST_CASE("checkSettings reads optional fields")
{
    const auto text = std::string(completeSettings) + "threads: 8\nlookup_lifetime: 1500ms\nlog: {level: warning, format: json, lines_per_second: 5}\n";
    const auto checked = checkSettings("d.yaml", text);
    CHECK(checked.problems_.empty());
    CHECK(checked.settings_.threads_ == 8);
    CHECK(checked.settings_.lookupLifetime_ == absl::Milliseconds(1500));
    CHECK(checked.settings_.log_.level_ == LogLevel::Warning);
    CHECK(checked.settings_.log_.format_ == LogFormat::Json);
    CHECK(checked.settings_.log_.linesPerSecond_ == 5);
}

// Guards against an invalid setting that is ignored or found only when it is used.
TEST_CASE("checkSettings reports the line and field of each invalid setting")
{
    const auto cases = std::vector<ProblemCase> {
        { "threads: 0\n", 8, "threads" },
        { "threads: many\n", 8, "threads" },
        { "lookup_lifetime: 5\n", 8, "lookup_lifetime" },
        { "lookup_lifetime: 0s\n", 8, "lookup_lifetime" },
        { "port: 80\n", 8, "port" },
        { "name: other\n", 8, "name" },
        { "log: verbose\n", 8, "log" },
        { "log:\n  level: loud\n", 9, "log.level" },
        { "log:\n  colour: red\n", 9, "log.colour" },
        { "operator_key_file: ''\n", 8, "operator_key_file" },
        { "threads: [1, 2]\n", 8, "threads" },
        { "threads: [1, 2\n", 9, "" },
    };
    for (const auto &problemCase : cases) {
        CAPTURE(problemCase.text_);
        const auto checked = checkSettings("d.yaml", std::string(completeSettings) + problemCase.text_);
        CHECK(checked.problems_.size() == 1);
        CHECK(hasProblem(checked.problems_, problemCase.line_, problemCase.field_));
    }
}

// Guards against settings whose errors are reported one at a time, one per start.
TEST_CASE("checkSettings reports all problems at once")
{
    const auto checked = checkSettings("d.yaml", "name: a b\nlisten: localhost:1\nstore: 127.0.0.1\n");
    CHECK(hasProblem(checked.problems_, 1, "name"));
    CHECK(hasProblem(checked.problems_, 2, "listen"));
    CHECK(hasProblem(checked.problems_, 3, "store"));
    CHECK(hasProblem(checked.problems_, 0, "zone"));
    CHECK(hasProblem(checked.problems_, 0, "secret_file"));
    CHECK(checked.problems_.size() == 7);
}
