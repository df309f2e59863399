#include "process/healthpoller.h"

#include "connection/scriptedserver.h"
#include "core/testaddress.h"

#include <doctest/doctest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

auto reply(const std::string &head, const std::string &body) -> std::string
{
    return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct ResponseCase
{
    std::string description_;
    std::string body_;
    int status_;
    bool isDraining_;
};

}

// Guards against an unexpected response that counts as draining or crashes the poller.
TEST_CASE("a health report is draining only if its status is \"draining\"")
{
    const auto cases = std::vector<ResponseCase> {
        { "serving", R"({"status":"ok"})", 200, false },
        { "draining", R"({"status":"draining"})", 200, true },
        { "draining with an HTTP error status", R"({"status":"draining"})", 503, true },
        { "path not found", "not found", 404, false },
        { "status is not a string", R"({"status":1})", 200, false },
        { "body is a JSON array", "[1]", 200, false },
        { "empty body", "", 200, false },
    };
    for (const auto &responseCase : cases) {
        CAPTURE(responseCase.description_);
        auto exchange = BackendExchange {};
        CHECK_FALSE(parseHealthReport(exchange));
        exchange.status_ = ExchangeStatus::Complete;
        exchange.response_.status_ = responseCase.status_;
        exchange.response_.body_ = responseCase.body_;
        const auto report = parseHealthReport(exchange);
        REQUIRE(report.has_value());
        CHECK(report->draining_ == responseCase.isDraining_);
    }
}

// Guards against unresponsive servers that occupy all polling threads, so that a draining server is detected late.
TEST_CASE("unresponsive servers do not delay the polls of the others")
{
    constexpr auto unresponsiveServers = 20;
    auto unresponsive = std::vector<std::unique_ptr<ScriptedServer>> {};
    auto servers = std::vector<BackendServer> {};
    for (auto number = 0; number < unresponsiveServers; ++number) {
        unresponsive.push_back(std::make_unique<ScriptedServer>(testIp(11, 1), [](const ScriptedRequest &) {
            return ScriptedReply { "", absl::Seconds(1) };
        }));
        servers.push_back({ "silent-" + std::to_string(number), "zone", unresponsive.back()->address() });
    }
    auto draining = ScriptedServer(testIp(11, 1), [](const ScriptedRequest &) {
        return ScriptedReply { reply("HTTP/1.1 200 OK\r\n", R"({"status":"draining"})") };
    });
    servers.push_back({ "draining", "zone", draining.address() });
    auto mutex = absl::Mutex {};
    auto reports = std::map<std::string, int> {};
    auto poller = HealthPoller(HealthPollerServices { [&] {
                                                         return servers;
                                                     },
                                                      [&](const std::string &name, const HealthReport &report) {
                                                          const auto lock = absl::MutexLock(&mutex);
                                                          reports[name] += report.draining_ ? 1 : 0;
                                                      } });
    poller.start();
    absl::SleepFor(absl::Seconds(5));
    poller.stop();
    // The draining server is polled once a second. The first round takes longer, since all servers are due at once.
    CHECK(reports["draining"] >= 3);
    CHECK(reports.size() == 1);
}
