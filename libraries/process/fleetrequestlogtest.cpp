#include "core/capturedoutput.h"
#include "core/log.h"
#include "core/testaddress.h"
#include "process/fleetrequesthandler.h"

#include "connection/scriptedserver.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

auto decodersFor(const std::string &address, double rate) -> RecordDecoders
{
    auto decoders = RecordDecoders {};
    decoders.policy_ = [rate](const std::string &) -> Result<TrafficPolicy> {
        auto route = PolicyRoute {};
        route.name_ = "booking";
        route.host_ = "h.example";
        route.prefix_ = "/";
        route.timeout_ = absl::Milliseconds(200);
        route.maximumAttempts_ = 2;
        route.destinations_ = { { "s", 1 } };
        auto policy = TrafficPolicy {};
        policy.version_ = 7;
        policy.routes_ = { route };
        policy.organisations_ = { { { "org", rate, rate, 1 }, { "secret-key" }, {}, {} } };
        return policy;
    };
    decoders.backend_ = [address](const std::string &name, const std::string &) -> Result<DiscoveredBackend> {
        auto backend = DiscoveredBackend {};
        backend.server_ = { name, "zone-a", address };
        backend.service_ = "s";
        return backend;
    };
    return decoders;
}

auto servicesFor(FleetState &state) -> FleetRequestServices
{
    auto services = FleetRequestServices {};
    services.hostName_ = "host";
    services.state_ = &state;
    services.settings_ = [] {
        return ReloadableSettings {};
    };
    services.shareHolders_ = [](absl::Time) {
        return std::vector<std::uint64_t> {};
    };
    return services;
}

struct TargetCase
{
    std::string target_;
    std::string detail_;
};

struct StopLogCase
{
    std::string title_;
    /** From the request to the end of all waits of the host; the route's timeout is 200 ms. */
    absl::Duration waitsEndAfter_;
    std::string detail_;
};

struct FailureCase
{
    std::string title_;
    double rate_;
    ScriptedReply reply_;
    std::string status_;
    std::string reason_;
    std::string attempts_;
    std::string backend_;
};

}

// Guards against a failed request whose cause cannot be found by its identifier, for each of the three kinds of failure that docs/OPERATIONS.md traces.
TEST_CASE("a failed request has one log line with its cause and the policy and records it was handled by")
{
    const auto cases = std::vector<FailureCase> {
        { "rate limit exceeded", 0.001, {}, "429", "rate_exceeded", "0", "" },
        { "unknown outcome", 0, { "", absl::ZeroDuration(), true }, "502", "response_incomplete", "1", "b" },
        { "response after the deadline", 0, { "HTTP/1.1 200 OK\r\n\r\n", absl::Milliseconds(500), true }, "504", "deadline_exceeded", "1", "b" },
    };
    for (const auto &failureCase : cases) {
        CAPTURE(failureCase.title_);
        auto server = ScriptedServer(testIp(9, 2), [&](const ScriptedRequest &) {
            return failureCase.reply_;
        });
        auto lines = std::vector<nlohmann::json> {};
        auto limits = std::vector<nlohmann::json> {};
        {
            auto output = CapturedOutput();
            auto state = FleetState({ { "zone-a", "east" } }, "zone-a", decodersFor(server.address(), failureCase.rate_));
            state.applyFromStore(monotonicNow(), { 5, true, { { RecordKind::Policy, "policy", 1, false, "x" }, { RecordKind::Backend, "b", 2, false, "x" } } });
            auto handler = FleetRequestHandler(servicesFor(state));
            const auto content = RequestContent { "POST", "/x", { { "Host", "h.example" }, { "X-Request-Id", "id-7" }, { "X-Api-Key", "secret-key" } }, "" };
            static_cast<void>(handler.handle({ content, monotonicNow(), -1, 0 }));
            lines = output.linesOf("request");
        }
        REQUIRE(lines.size() == 1);
        const auto &line = lines.front();
        CHECK(line.at("request") == "id-7");
        CHECK(line.at("status") == failureCase.status_);
        CHECK(line.at("reason") == failureCase.reason_);
        CHECK(line.at("attempts") == failureCase.attempts_);
        CHECK(line.at("tried") == failureCase.backend_);
        CHECK(line.at("organisation") == "org");
        CHECK(line.at("route") == "booking");
        CHECK(line.at("version") == "7");
        CHECK(line.at("revision") == "5");
        CHECK(line.dump().find("secret-key") == std::string::npos);
    }
}

// Guards against a request that a planned stop breaks off and whose log line looks like that of one that has reached its own limit.
TEST_CASE("the log line of a request says when it arrived in a planned stop and whether the stop ended it")
{
    const auto cases = std::vector<StopLogCase> {
        { "ended by the stop", absl::Milliseconds(60), "broken off by the end of this host, before the request's own limit" },
        { "ended by its own limit", absl::Seconds(5), "no response in time" },
    };
    for (const auto &stopCase : cases) {
        CAPTURE(stopCase.title_);
        auto server = ScriptedServer(testIp(9, 2), [](const ScriptedRequest &) {
            return ScriptedReply { "HTTP/1.1 200 OK\r\n\r\n", absl::Milliseconds(500), true };
        });
        auto output = CapturedOutput();
        auto state = FleetState({ { "zone-a", "east" } }, "zone-a", decodersFor(server.address(), 0));
        state.applyFromStore(monotonicNow(), { 5, true, { { RecordKind::Policy, "policy", 1, false, "x" }, { RecordKind::Backend, "b", 2, false, "x" } } });
        auto services = servicesFor(state);
        const auto now = monotonicNow();
        services.plannedStop_ =
            [stop = PlannedStop {
                 now - absl::Seconds(1), now + absl::Seconds(5), now + absl::Seconds(5), now + stopCase.waitsEndAfter_, now + absl::Seconds(5) }] {
                return stop;
            };
        auto handler = FleetRequestHandler(services);
        const auto content = RequestContent { "POST", "/x", { { "Host", "h.example" }, { "X-Request-Id", "id-7" }, { "X-Api-Key", "secret-key" } }, "" };
        static_cast<void>(handler.handle({ content, now, -1, 0 }));
        const auto lines = output.linesOf("request");
        REQUIRE(lines.size() == 1);
        CHECK(lines.front().at("status") == "504");
        CHECK(lines.front().at("detail") == stopCase.detail_);
        CHECK(std::stod(lines.front().at("stop_ms").get<std::string>()) >= 1000);
    }
}

// Guards against a request that is turned away for its path or host without a trace of either, and against a key in the log.
TEST_CASE("the log line of a request without a route names its host and path without the key")
{
    const auto cases = std::vector<TargetCase> {
        { "/elsewhere/7?query", "host other.example, path /elsewhere/7" },
        { "/elsewhere/secret-key", "host other.example, path withheld" },
        { "/elsewhere/secret%2Dkey", "host other.example, path withheld" },
        { "/" + std::string(500, 'x'), "host other.example, path /" + std::string(127, 'x') },
    };
    for (const auto &targetCase : cases) {
        CAPTURE(targetCase.target_);
        auto output = CapturedOutput();
        auto state = FleetState({ { "zone-a", "east" } }, "zone-a", decodersFor(testIp(9, 2) + ":1", 0));
        state.applyFromStore(monotonicNow(), { 5, true, { { RecordKind::Policy, "policy", 1, false, "x" } } });
        auto services = FleetRequestServices {};
        services.state_ = &state;
        auto handler = FleetRequestHandler(services);
        const auto content = RequestContent { "GET", targetCase.target_, { { "Host", "other.example" }, { "X-Api-Key", "secret-key" } }, "" };
        static_cast<void>(handler.handle({ content, monotonicNow(), -1, 0 }));
        const auto lines = output.linesOf("request");
        REQUIRE(lines.size() == 1);
        CHECK(lines.front().at("reason") == "no_route");
        CHECK(lines.front().at("detail") == targetCase.detail_);
    }
}

// Guards against requests that block because the reader of the log has stopped reading.
TEST_CASE("logging does not block when the reader has stopped")
{
    auto output = CapturedOutput();
    const auto begun = monotonicNow();
    constexpr auto lines = 3000;
    for (auto line = 0; line < lines; ++line) {
        logLine(wallNow(), LogLevel::Warning, "flood", { { "text", std::string(200, 'x') } });
    }
    CHECK(monotonicNow() - begun < absl::Seconds(5));
}
