#include "version/rulefolder.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

/** A small valid configuration, to which each case adds one file. */
auto validFiles() -> RuleFiles
{
    return {
        { "10.yaml", "kind: region\nname: north\nzones: [n1, n2]\n" },
        { "11.yaml", "kind: region\nname: south\nzones: [s1]\n" },
        { "12.yaml", "kind: platform\nname: platform\nstore_zones: [n1]\nfreshness: 4s\nloan: 2s\n" },
        { "20.yaml", "kind: entry-host\nname: h1\nzone: n1\naddress: 127.0.1.1:8080\npeer: 127.0.1.1:9090\n" },
        { "30.yaml", "kind: organisation\nname: divers\nrate: 200/s\nburst: 50\n" },
        { "40.yaml", "kind: pool\nname: log\nslots: 9\nbackends:\n  - {name: b1, zone: n1, address: 127.0.2.1:80}\n" },
        { "50.yaml", "kind: route\nname: log\nhost: log.example\npath: /log\npool: log\naccess: keyed\nrepeatable: true\n" },
    };
}

auto withFile(const std::string &content) -> RuleFiles
{
    auto files = validFiles();
    files.push_back({ "90.yaml", content });
    return files;
}

auto describeAll(const std::vector<RuleProblem> &problems) -> std::string
{
    auto text = std::string {};
    for (const auto &problem : problems) {
        text += describe(problem) + "\n";
    }
    return text;
}

struct ProblemCase
{
    std::string content_;
    int line_;
    std::string field_;
    /** Substring of the message. */
    std::string message_;
};

const auto digest = std::string(64, 'a');

}

// Guards against losing values between a rule file and the configuration.
TEST_CASE("checkRules reads every field")
{
    auto files = withFile("kind: shift\nname: move\npool: log\nfrom: north\nto: south\nshare: 30%\ncap: 40/s\nstart: 2026-03-01T06:00:00Z\nover: 10m\n");
    files.push_back({ "91.yaml", "kind: drain\nname: d\ntarget: zone/n2\n" });
    files.push_back({ "92.yaml", "kind: client-blocks\nname: c\nregion: north\nblocks: [127.10.0.0/16, '2001:db8::/32']\n" });
    files.push_back({ "93.yaml", "kind: key\nname: k\norganisation: divers\ndigest: " + digest + "\nstate: withdrawn\n" });
    files.push_back(
        { "94.yaml",
          "kind: route\nname: bookings\nhost: '*'\npath: /bookings\npool: log\naccess: open\nrepeatable: false\ndeadline: 500ms\nbody_limit: 64KiB\n"
          "isolation: serve\n" });
    const auto checked = checkRules(files);
    REQUIRE_MESSAGE(checked.problems_.empty(), describeAll(checked.problems_));
    const auto &configuration = checked.configuration_;
    CHECK(configuration.regions_.front() == Region { "north", { "n1", "n2" } });
    CHECK(configuration.platform_ == Platform { { "n1" }, absl::Seconds(4), absl::Seconds(2) });
    CHECK(configuration.entryHosts_ == std::vector<EntryHost> { { "h1", "n1", "127.0.1.1:8080", "127.0.1.1:9090" } });
    CHECK(configuration.organisations_ == std::vector<Organisation> { { "divers", 200, 50, 1 } });
    CHECK(configuration.pools_ == std::vector<Pool> { { "log", 9, { { "b1", "n1", "127.0.2.1:80" } }, absl::ZeroDuration() } });
    CHECK(configuration.keys_ == std::vector<Key> { { "k", "divers", digest, false } });
    CHECK(configuration.drains_ == std::vector<Drain> { { "d", DrainTarget::Zone, "n2" } });
    CHECK(configuration.clientBlocks_ == std::vector<ClientBlocks> { { "c", "north", { "127.10.0.0/16", "2001:db8::/32" } } });
    const auto start = absl::FromCivil(absl::CivilSecond(2026, 3, 1, 6), absl::UTCTimeZone());
    CHECK(configuration.shifts_ == std::vector<Shift> { { "move", "log", "north", "south", 0.3, 40, start, absl::Minutes(10) } });
    const auto bookings = Route { "bookings", "94.yaml", "*", "/bookings", "log", Access::Open, false, absl::Milliseconds(500), 65536, Isolation::Serve };
    CHECK(configuration.routes_.back() == bookings);
}

// Guards against accepting an invalid rule, or reporting it at the wrong line or field.
TEST_CASE("checkRules reports each problem with line, field and what is allowed")
{
    const auto organisation = std::string("kind: organisation\nname: o\n");
    const auto host = std::string("kind: entry-host\nname: h\nzone: n1\n");
    const auto pool = std::string("kind: pool\nname: p\nslots: 1\n");
    const auto route = std::string("kind: route\nname: r\npool: log\naccess: open\nrepeatable: true\n");
    const auto shift = std::string("kind: shift\nname: s\npool: log\nstart: 2026-03-01T06:00:00Z\nover: 1m\n");
    const auto cases = std::vector<ProblemCase> {
        { "", 1, "kind", "the file defines no kind" },
        { "- kind: region\n", 1, "kind", "the file defines no kind" },
        { "name: o\n", 1, "kind", "the field is missing" },
        { "kind: regin\nname: o\n", 1, "kind", "allowed: client-blocks, drain" },
        { "kind: region\nzones: [z]\n", 1, "name", "the field is missing" },
        { "kind: region\nname: a b\nzones: [z]\n", 2, "name", "'a b' is not allowed" },
        { "kind: region\nname: [\n", 3, "", "not valid YAML" },
        { "kind: region\nname: r\nzones: [z]\n---\nkind: region\n", 5, "", "more than one document" },
        { "kind: region\nname: r\nzones: z\n", 3, "zones", "wrong type" },
        { "kind: region\nname: r\nzones: [z, z]\n", 3, "zones", "listed twice" },
        { "kind: region\nname: r\nzones: [n1]\n", 3, "zones", "in region 'north' already" },
        { "kind: region\nname: north\nzones: [z]\n", 2, "name", "defined in 10.yaml already" },
        { organisation + "rate: 1/s\nrate: 2/s\nburst: 1\n", 4, "rate", "given twice, first in line 3" },
        { organisation + "rate: 1/s\nburst: 1\nwieght: 2\n", 5, "wieght", "unknown field; allowed: burst, kind, name, rate, weight" },
        { organisation + "rate: 200\nburst: 1\n", 3, "rate", "such as 200/s" },
        { organisation + "rate: 0/s\nburst: 1\n", 3, "rate", "above zero" },
        { organisation + "rate: 1/s\nburst: 0.5\n", 4, "burst", "at least 1" },
        { organisation + "rate: 1/s\nburst: [1]\n", 4, "burst", "wrong type" },
        { organisation + "burst: 1\n", 1, "rate", "the field is missing" },
        { "kind: platform\nname: p2\nstore_zones: [n1]\n", 1, "kind", "allowed: one rule of kind platform" },
        { host + "address: 127.0.1.9\npeer: 127.0.1.9:1\n", 4, "address", "IP address and port" },
        { host + "address: 127.0.1.1:8080\npeer: 127.0.1.9:1\n", 4, "address", "used by entry host 'h1' already" },
        { "kind: entry-host\nname: h\nzone: x\naddress: 127.0.1.9:8\npeer: 127.0.1.9:1\n", 3, "zone", "'x' is not declared" },
        { "kind: key\nname: k\norganisation: x\ndigest: " + digest + "\nstate: active\n", 3, "organisation", "not declared" },
        { "kind: key\nname: k\norganisation: divers\ndigest: abc\nstate: active\n", 4, "digest", "64 lower-case" },
        { "kind: key\nname: k\norganisation: divers\ndigest: " + digest + "\nstate: on\n", 5, "state", "allowed: active, withdrawn" },
        { "kind: pool\nname: p\nslots: 0\nbackends: [{name: x, zone: n1, address: '127.0.2.9:80'}]\n", 3, "slots", "from 1 to 10000" },
        { pool + "backends: []\n", 4, "backends", "at least one element" },
        { pool + "backends:\n  - name: x\n    zone: y\n    address: 127.0.2.9:80\n", 6, "backends[0].zone", "not declared" },
        { pool + "backends:\n  - name: b1\n    zone: n1\n    address: 127.0.2.9:80\n", 5, "backends[0].name", "of pool 'log' already" },
        { pool + "backends:\n  - name: x\n    zone: n1\n    address: 127.0.2.1:80\n", 7, "backends[0].address", "backend server 'b1' already" },
        { pool + "backends:\n  - name: x\n    zone: n1\n    address: 127.0.2.9:80\n    weight: 1\n", 8, "backends[0].weight", "unknown field" },
        { route + "host: log.example\npath: /log/old\n", 7, "path", "route 'log' in 50.yaml matches every such request first" },
        { route + "host: Log.example\npath: /x\n", 6, "host", "lower case" },
        { route + "host: log.example\npath: x\n", 7, "path", "such as /tides" },
        { route + "host: log.example\npath: /x\ndeadline: 11s\n", 8, "deadline", "from 1ms to 10s" },
        { route + "host: log.example\npath: /x\ndeadline: 2\n", 8, "deadline", "'2' is not allowed" },
        { route + "host: log.example\npath: /x\nbody_limit: 1MB\n", 8, "body_limit", "64KiB" },
        { "kind: route\nname: r\npool: x\naccess: open\nrepeatable: true\nhost: h\npath: /\n", 3, "pool", "not declared" },
        { "kind: route\nname: r\npool: log\naccess: all\nrepeatable: true\nhost: h\npath: /\n", 4, "access", "allowed: keyed, open" },
        { "kind: route\nname: r\npool: log\naccess: open\nrepeatable: yes\nhost: h\npath: /\n", 5, "repeatable", "allowed: false, true" },
        { shift + "from: north\nto: north\nshare: 30%\ncap: 1/s\n", 7, "to", "another region" },
        { shift + "from: x\nto: north\nshare: 30%\ncap: 1/s\n", 6, "from", "not declared" },
        { shift + "from: north\nto: south\nshare: 130%\ncap: 1/s\n", 8, "share", "up to 100%" },
        { shift + "from: north\nto: south\nshare: 0.3\ncap: 1/s\n", 8, "share", "percentage" },
        { shift + "from: north\nto: south\nshare: 30%\ncap: 0/s\n", 9, "cap", "above zero" },
        { "kind: shift\nname: s\npool: log\nfrom: north\nto: south\nshare: 1%\ncap: 1/s\nstart: today\nover: 1m\n", 8, "start", "a time such as" },
        { "kind: drain\nname: d\ntarget: backend/x\n", 3, "target", "'x' is not declared" },
        { "kind: drain\nname: d\ntarget: host/h1\n", 3, "target", "entry-host/NAME" },
        { "kind: client-blocks\nname: c\nregion: x\nblocks: [127.10.0.0/16]\n", 3, "region", "not declared" },
        { "kind: client-blocks\nname: c\nregion: north\nblocks: [127.10.0.1/16]\n", 4, "blocks", "must be zero" },
    };
    for (const auto &problemCase : cases) {
        CAPTURE(problemCase.content_);
        const auto problems = checkRules(withFile(problemCase.content_)).problems_;
        CAPTURE(describeAll(problems));
        REQUIRE(problems.size() == 1);
        CHECK(problems.front().file_ == "90.yaml");
        CHECK(problems.front().line_ == problemCase.line_);
        CHECK(problems.front().field_ == problemCase.field_);
        CHECK(problems.front().message_.find(problemCase.message_) != std::string::npos);
    }
}

// Guards against freshness bounds and loan durations with which withdrawn keys stay valid for too long or normal operation fails.
TEST_CASE("checkRules limits the freshness bound and the loan duration")
{
    for (const auto &line : std::vector<std::string> { "freshness: 500ms", "freshness: 1m", "loan: 0s", "loan: 11s" }) {
        CAPTURE(line);
        const auto checked =
            checkRules({ { "10.yaml", "kind: region\nname: r\nzones: [z]\n" }, { "20.yaml", "kind: platform\nname: p\nstore_zones: [z]\n" + line + "\n" } });
        REQUIRE(checked.problems_.size() == 1);
        CHECK(checked.problems_.front().line_ == 4);
    }
}

// Guards against an operator having to run the check once per problem.
TEST_CASE("checkRules reports all problems of all files at once")
{
    auto files = withFile("kind: organisation\nname: o\nrate: 1\nburst: 0\ncolour: red\n");
    files.push_back({ "91.yaml", "kind: drain\nname: d\ntarget: zone/x\n" });
    files.push_back({ "92.yaml", "kind: [\n" });
    const auto problems = checkRules(files).problems_;
    CAPTURE(describeAll(problems));
    CHECK(problems.size() == 5);
}

// Guards against shifts that together move more than all requests.
TEST_CASE("checkRules limits the sum of the shares of shifts from one region to 100%")
{
    auto files = validFiles();
    files.push_back({ "13.yaml", "kind: region\nname: west\nzones: [w1]\n" });
    const auto shift = std::string("kind: shift\npool: log\nfrom: north\ncap: 1/s\nstart: 2026-03-01T06:00:00Z\nover: 1m\nshare: 60%\n");
    files.push_back({ "90.yaml", shift + "name: a\nto: south\n" });
    files.push_back({ "91.yaml", shift + "name: b\nto: west\n" });
    const auto problems = checkRules(files).problems_;
    REQUIRE(problems.size() == 1);
    CHECK(problems.front().message_.find("add up to 120%") != std::string::npos);
}

// Guards against a change whose file would be written outside the folders of operators who pull it, or would be ignored when those folders are read.
TEST_CASE("isRuleFileName accepts only names that readRuleFolder would read")
{
    const auto cases = std::vector<std::pair<std::string, bool>> {
        { "a.yaml", true },     { "keys.d/a.yaml", true }, { "a..b.yaml", true },
        { "", false },          { ".yaml", false },        { "a.yml", false },
        { "a", false },         { "keys.d/", false },      { "/a.yaml", false },
        { "../a.yaml", false }, { "b/../a.yaml", false },  { "b/../../a.yaml", false },
        { "./a.yaml", false },  { "b//a.yaml", false },    { ".a.yaml", false },
        { ".b/a.yaml", false }, { "b/.a.yaml", false },    { std::string("a\0.yaml", 7), false },
    };
    for (const auto &nameCase : cases) {
        CAPTURE(nameCase.first);
        CHECK(isRuleFileName(nameCase.first) == nameCase.second);
    }
}

// Guards against treating a missing folder as an empty one, which would delete every rule.
TEST_CASE("readRuleFolder reports a folder that does not exist")
{
    const auto outcome = attempt([]() {
        return readRuleFolder("/nonexistent/rules");
    });
    CHECK(std::holds_alternative<Error>(outcome));
}
