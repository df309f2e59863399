#include "process/requesthandler.h"

#include "connection/scriptedserver.h"
#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "core/testaddress.h"
#include "process/peerhandler.h"
#include "process/peerserver.h"
#include "request/runtoken.h"
#include "support/storeserver.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto secret = "fleet-secret";
constexpr auto apiKey = "caller-key-1";
constexpr auto okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

using Servers = std::vector<std::unique_ptr<ScriptedServer>>;

auto replyOf(const std::string &bytes, bool close = false) -> ScriptedServer::Script
{
    return [=](const ScriptedRequest &) {
        return ScriptedReply { bytes, absl::ZeroDuration(), close };
    };
}

auto serversOf(int count, const ScriptedServer::Script &script) -> Servers
{
    auto servers = Servers {};
    for (auto index = 0; index < count; ++index) {
        servers.push_back(std::make_unique<ScriptedServer>("127.0.0." + std::to_string(index + 1), script));
    }
    return servers;
}

auto requestCountOf(const Servers &servers) -> int
{
    auto count = 0;
    for (const auto &server : servers) {
        count += server->requestCount();
    }
    return count;
}

// Waits up to 10 s; returns whether the condition holds.
auto waitUntil(const std::function<bool()> &condition) -> bool
{
    const auto deadline = monotonicNow() + absl::Seconds(10);
    while (!condition() && monotonicNow() < deadline) {
        absl::SleepFor(absl::Milliseconds(1));
    }
    return condition();
}

auto routeOf(const std::string &path, Access access, bool repeatable) -> Route
{
    auto route = Route { "route" + path, "routes" + path + ".yaml", "*", path, "pool", access, repeatable };
    route.deadline_ = absl::Milliseconds(500);
    route.bodyLimit_ = 1000;
    return route;
}

auto configurationFor(const Servers &servers) -> Configuration
{
    auto configuration = Configuration {};
    configuration.revision_ = 1;
    configuration.regions_ = { { "region", { "zone" } } };
    configuration.entryHosts_ = { { "host", "zone", "127.0.0.1:1", "127.0.0.1:1" } };
    configuration.organisations_ = { { "org", 1000, 1000, 1 }, { "slow", 0.001, 1, 1 } };
    configuration.keys_ = {
        { "k1", "org", hmacHex(secret, apiKey), true },
        { "k2", "org", hmacHex(secret, "withdrawn-key"), false },
        { "k3", "slow", hmacHex(secret, "slow-key"), true },
    };
    auto pool = Pool { "pool", 8, {}, absl::ZeroDuration() };
    for (const auto &server : servers) {
        pool.backends_.push_back({ "b" + std::to_string(pool.backends_.size()), "zone", server->address() });
    }
    configuration.pools_ = { pool };
    configuration.routes_ = {
        routeOf("/open", Access::Open, true),
        routeOf("/read", Access::Keyed, true),
        routeOf("/once", Access::Keyed, false),
    };
    return configuration;
}

auto loanClientWith(const std::shared_ptr<absl::Duration> &offset) -> LoanClient
{
    return {
        [offset] {
            return monotonicNow() - *offset;
        },
        [](const auto &...) {
            return std::nullopt;
        },
        [](const auto &...) {
            return std::nullopt;
        },
    };
}

// A host whose shares of all limits are in effect and whose state of the store is fresh.
struct Host
{
    explicit Host(const Configuration &configuration, StoreClient *store = nullptr, const std::string &name = "host", const std::string &run = "run")
        : limits_(name, loanClientWith(offset_))
        , handler_({ name, run, "zone", secret, &current_, &freshness_, &limits_, &peers_, store })
    {
        configureLog({ LogLevel::Error });
        const auto pointer = std::make_shared<const Configuration>(configuration);
        current_.advance(pointer);
        limits_.configure(monotonicNow() - *offset_, pointer);
        *offset_ = absl::ZeroDuration();
        freshness_.recordStoreResponse(monotonicNow());
    }

    auto handle(const std::string &method,
                const std::string &target,
                const httplib::Headers &headers = {},
                const std::string &body = "",
                absl::Duration waitingTime = absl::ZeroDuration()) -> httplib::Response
    {
        auto request = httplib::Request {};
        request.method = method;
        request.target = target;
        request.headers = headers;
        request.headers.emplace("Host", "example");
        request.body = body;
        auto response = httplib::Response {};
        handler_.handle(request, response, monotonicNow() - waitingTime);
        return response;
    }

    // Dates the configuration back by an hour, so that the wait before the first shares take effect is over.
    std::shared_ptr<absl::Duration> offset_ = std::make_shared<absl::Duration>(absl::Hours(1));
    CurrentConfiguration current_;
    FreshnessTracker freshness_;
    PeerClients peers_;
    LimitEnforcer limits_;
    RequestHandler handler_;
};

auto withApiKey(httplib::Headers headers = {}) -> httplib::Headers
{
    headers.emplace("X-Api-Key", apiKey);
    return headers;
}

auto idempotencyKey(const std::string &run, absl::Duration lifetime, const std::string &suffix) -> std::string
{
    return formatRunToken({ "host", run, absl::FromUnixSeconds(absl::ToUnixSeconds(wallNow() + lifetime)) }, secret) + ":" + suffix;
}

struct RefusalCase
{
    std::string method_;
    std::string target_;
    httplib::Headers headers_;
    std::string body_;
    int status_;
    std::string outcome_;
    std::string reason_;
};

struct KeyEditCase
{
    std::string description_;
    /** Replaces the caller's key while the request waits. */
    Key key_;
    std::string reason_;
};

struct FailureCase
{
    std::string description_;
    ScriptedReply reply_;
    int status_;
    std::string outcome_;
    std::string reason_;
};

}

// Guards against a request that runs for another organisation or without a key, and against a refusal without its reason or outcome.
TEST_CASE("requests that may not run are refused with status, outcome and reason")
{
    const auto servers = serversOf(1, replyOf(okResponse));
    auto host = Host(configurationFor(servers));
    const auto cases = std::vector<RefusalCase> {
        { "GET", "/nowhere", {}, "", 404, "not-run", "no_route" },
        { "GET", "/open/../read", {}, "", 400, "not-run", "malformed_request" },
        { "GET", "/read", {}, "", 401, "not-run", "key_missing" },
        { "GET", "/read", { { "X-Api-Key", "other" } }, "", 401, "not-run", "key_unknown" },
        { "GET", "/read", { { "X-Api-Key", "withdrawn-key" } }, "", 401, "not-run", "key_withdrawn" },
        { "GET", "/read?api_key=other", withApiKey(), "", 400, "not-run", "key_ambiguous" },
        { "GET", "/read/caller-key-1", withApiKey(), "", 400, "not-run", "key_in_content" },
        { "POST", "/open", withApiKey(), "x=caller%2Dkey-1", 400, "not-run", "key_in_content" },
        { "POST", "/open", {}, std::string(1001, 'x'), 413, "not-run", "body_too_large" },
        { "POST", "/once", withApiKey(), "", 400, "not-run", "idempotency_key_required" },
        { "POST", "/once", withApiKey({ { "Idempotency-Key", "a b" } }), "", 400, "not-run", "idempotency_key_invalid" },
        { "POST", "/once", withApiKey({ { "Idempotency-Key", idempotencyKey("earlier", absl::Minutes(1), "1") } }), "", 409, "unknown", "run_ended" },
        { "POST", "/once", withApiKey({ { "Idempotency-Key", idempotencyKey("run", -absl::Minutes(1), "1") } }), "", 409, "unknown", "run_ended" },
    };
    for (const auto &refusalCase : cases) {
        CAPTURE(refusalCase.target_);
        CAPTURE(refusalCase.reason_);
        const auto response = host.handle(refusalCase.method_, refusalCase.target_, refusalCase.headers_, refusalCase.body_);
        CHECK(response.status == refusalCase.status_);
        CHECK(response.get_header_value("X-Request-Outcome") == refusalCase.outcome_);
        CHECK(response.get_header_value("X-Refusal-Reason") == refusalCase.reason_);
        CHECK(response.body.find(refusalCase.reason_) != std::string::npos);
    }
    CHECK(requestCountOf(servers) == 0);
}

// Guards against running a request for a caller whose deadline passed before the request was read.
TEST_CASE("a request whose deadline passed before it was handled is refused as not run")
{
    const auto servers = serversOf(1, replyOf(okResponse));
    auto host = Host(configurationFor(servers));
    const auto headers = httplib::Headers { { "X-Request-Timeout-Ms", "500" } };
    CHECK(host.handle("GET", "/open", headers).status == 200);
    const auto response = host.handle("GET", "/open", headers, "", absl::Seconds(1));
    CHECK(response.status == 503);
    CHECK(response.get_header_value("X-Request-Outcome") == "not-run");
    CHECK(requestCountOf(servers) == 1);
}

// Guards against passing a caller's API key to a backend server, whether it was sent in a header, the query or a cookie.
TEST_CASE("no backend server receives the API key")
{
    const auto servers = serversOf(1, replyOf(okResponse));
    auto host = Host(configurationFor(servers));
    const auto carriers = std::vector<std::pair<std::string, httplib::Headers>> {
        { "/read", { { "Authorization", "Bearer caller-key-1" } } },
        { "/read", { { "authorization", "bEARER caller-key-1" }, { "X-API-KEY", "caller-key-1" } } },
        { "/read?a=1&API_KEY=caller%2dkey-1", {} },
        { "/read", { { "Cookie", "a=1; api_key=caller-key-1; b=2" } } },
        { "/open?api_key=caller-key-1", {} },
    };
    for (const auto &carrier : carriers) {
        CAPTURE(carrier.first);
        const auto response = host.handle("POST", carrier.first, carrier.second, "body");
        CHECK(response.status == 200);
        CHECK(response.get_header_value("X-Request-Outcome") == "ran");
    }
    CHECK(requestCountOf(servers) == static_cast<int>(carriers.size()));
    const auto received = servers.front()->receivedBytes();
    CHECK(received.find("caller-key-1") == std::string::npos);
    CHECK(received.find("caller%2dkey-1") == std::string::npos);
    CHECK(received.find("a=1; b=2") != std::string::npos);
}

// Guards against an error that is passed on as a success, and against a request of unknown outcome that is reported as not run.
TEST_CASE("a non-repeatable request is sent once, and its outcome is unknown without a whole response")
{
    const auto cases = std::vector<FailureCase> {
        { "truncated response", { "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", absl::ZeroDuration(), true }, 502, "unknown", "response_incomplete" },
        { "response without a length", { "HTTP/1.1 200 OK\r\n\r\nok", absl::ZeroDuration(), true }, 502, "unknown", "response_incomplete" },
        { "connection closed without a response", { "", absl::ZeroDuration(), true }, 502, "unknown", "response_incomplete" },
        { "response after the deadline", { okResponse, absl::Seconds(2) }, 504, "unknown", "deadline_exceeded" },
        { "status 503", { "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n" }, 503, "ran", "" },
    };
    for (const auto &failureCase : cases) {
        CAPTURE(failureCase.description_);
        const auto servers = serversOf(3, [&](const ScriptedRequest &) {
            return failureCase.reply_;
        });
        auto host = Host(configurationFor(servers));
        const auto response = host.handle("POST", "/once", withApiKey({ { "Idempotency-Key", idempotencyKey("run", absl::Minutes(1), "1") } }), "body");
        CHECK(response.status == failureCase.status_);
        CHECK(response.get_header_value("X-Request-Outcome") == failureCase.outcome_);
        CHECK(response.get_header_value("X-Refusal-Reason") == failureCase.reason_);
        CHECK(requestCountOf(servers) == 1);
    }
}

// Guards against a failure that a caller sees although another backend server could have responded.
TEST_CASE("a repeatable request is retried once on another backend server")
{
    auto servers = serversOf(1, replyOf("", true));
    servers.push_back(std::make_unique<ScriptedServer>("127.0.0.9", replyOf(okResponse)));
    auto host = Host(configurationFor(servers));
    for (auto request = 0; request < 4; ++request) {
        const auto response = host.handle("GET", "/read?" + std::to_string(request), withApiKey());
        CHECK(response.status == 200);
        CHECK(response.body == "ok");
    }
    CHECK(servers.back()->requestCount() == 4);
    const auto failing = serversOf(3, replyOf("", true));
    auto failingHost = Host(configurationFor(failing));
    CHECK(failingHost.handle("GET", "/read", withApiKey()).get_header_value("X-Request-Outcome") == "unknown");
    CHECK(requestCountOf(failing) == 2);
}

// Guards against the loss of the second attempt's response when the first attempt sent nothing.
TEST_CASE("requests are served despite an unreachable backend server, and are not run without a reachable one")
{
    auto servers = serversOf(2, replyOf(okResponse));
    const auto configuration = configurationFor(servers);
    servers.erase(servers.begin());
    auto host = Host(configuration);
    for (auto request = 0; request < 4; ++request) {
        const auto headers = withApiKey({ { "Idempotency-Key", idempotencyKey("run", absl::Minutes(1), std::to_string(request)) } });
        CHECK(host.handle("POST", "/once", headers).status == 200);
    }
    servers.clear();
    auto unreachable = Host(configuration);
    const auto response = unreachable.handle("POST", "/once", withApiKey({ { "Idempotency-Key", idempotencyKey("run", absl::Minutes(1), "a") } }));
    CHECK(response.get_header_value("X-Request-Outcome") == "not-run");
    CHECK(response.get_header_value("X-Refusal-Reason") == "backend_unreachable");
}

// Guards against a second execution when a caller resends while the first request is running, and after it is done.
TEST_CASE("requests with the same idempotency key run once")
{
    const auto servers = serversOf(2, [](const ScriptedRequest &request) {
        const auto body = std::to_string(request.indexOnServer_);
        return ScriptedReply { "HTTP/1.1 201 Created\r\nX-A: b\r\nContent-Length: 1\r\n\r\n" + body, absl::Milliseconds(100) };
    });
    auto host = Host(configurationFor(servers));
    const auto headers = withApiKey({ { "Idempotency-Key", idempotencyKey("run", absl::Minutes(1), "1") } });
    constexpr auto callers = 8;
    auto responses = std::vector<httplib::Response>(callers);
    auto threads = std::vector<std::thread> {};
    for (auto &response : responses) {
        threads.emplace_back([&] {
            response = host.handle("POST", "/once", headers, "body");
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    responses.push_back(host.handle("POST", "/once", headers, "body"));
    for (const auto &response : responses) {
        CHECK(response.status == 201);
        CHECK(response.body == "0");
        CHECK(response.get_header_value("X-A") == "b");
        CHECK(response.get_header_value("X-Request-Outcome") == "ran");
    }
    CHECK(requestCountOf(servers) == 1);
    CHECK(host.handle("POST", "/once", headers, "other").get_header_value("X-Refusal-Reason") == "idempotency_key_invalid");
    CHECK(requestCountOf(servers) == 1);
}

// Guards against a host that serves keyed routes although withdrawals can't reach it, and against a withdrawn key that works until the next revision.
TEST_CASE("withdrawn keys and stale state stop requests on keyed routes only")
{
    const auto servers = serversOf(1, replyOf(okResponse));
    auto configuration = configurationFor(servers);
    auto host = Host(configuration);
    auto withdrawal = peer::Withdrawal {};
    withdrawal.keyId = "k1";
    withdrawal.digest = hmacHex(secret, apiKey);
    host.freshness_.addWithdrawals({ withdrawal });
    CHECK(host.handle("GET", "/read", withApiKey()).get_header_value("X-Refusal-Reason") == "key_withdrawn");
    configuration.platform_.freshness_ = absl::Nanoseconds(1);
    configuration.routes_.push_back(routeOf("/serve", Access::Keyed, true));
    configuration.routes_.back().isolation_ = Isolation::Serve;
    auto isolated = Host(configuration);
    CHECK(isolated.handle("GET", "/read", withApiKey()).get_header_value("X-Refusal-Reason") == "knowledge_stale");
    CHECK(isolated.handle("GET", "/open").status == 200);
    CHECK(isolated.handle("GET", "/serve", withApiKey()).status == 200);
}

// Guards against a request that is sent although its host became isolated while the request waited for a slot.
TEST_CASE("freshness is checked again after the wait for a slot")
{
    const auto servers = serversOf(1, [](const ScriptedRequest &) {
        return ScriptedReply { okResponse, absl::Seconds(1), false };
    });
    auto configuration = configurationFor(servers);
    configuration.platform_.freshness_ = absl::Milliseconds(500);
    configuration.pools_.front().slots_ = 1;
    for (auto &route : configuration.routes_) {
        route.deadline_ = absl::Seconds(4);
    }
    auto host = Host(configuration);
    auto first = std::thread([&] {
        CHECK(host.handle("GET", "/read", withApiKey()).status == 200);
    });
    while (requestCountOf(servers) == 0) {
        std::this_thread::yield();
    }
    host.freshness_.recordStoreResponse(monotonicNow());
    const auto waiting = host.handle("GET", "/read", withApiKey());
    first.join();
    CHECK(waiting.status == 503);
    CHECK(waiting.get_header_value("X-Request-Outcome") == "not-run");
    CHECK(waiting.get_header_value("X-Refusal-Reason") == "knowledge_stale");
    CHECK(requestCountOf(servers) == 1);
}

// Guards against a request that runs with a key that was withdrawn while it waited for a slot, although the state of the store was fresh throughout.
TEST_CASE("the key is looked up again after the wait for a slot")
{
    const auto cases = std::vector<KeyEditCase> {
        { "the key is withdrawn", { "k1", "org", hmacHex(secret, apiKey), false }, "key_withdrawn" },
        { "the key belongs to another organisation", { "k1", "slow", hmacHex(secret, apiKey), true }, "key_withdrawn" },
        { "the key is removed", { "k1", "org", hmacHex(secret, "other-key"), true }, "key_unknown" },
    };
    for (const auto &editCase : cases) {
        CAPTURE(editCase.description_);
        const auto servers = serversOf(1, [](const ScriptedRequest &) {
            return ScriptedReply { okResponse, absl::Seconds(1), false };
        });
        auto configuration = configurationFor(servers);
        configuration.platform_.freshness_ = absl::Minutes(1);
        configuration.pools_.front().slots_ = 1;
        for (auto &route : configuration.routes_) {
            route.deadline_ = absl::Seconds(4);
        }
        auto host = Host(configuration);
        auto first = std::thread([&] {
            CHECK(host.handle("GET", "/read", withApiKey()).status == 200);
        });
        CHECK(waitUntil([&] {
            return requestCountOf(servers) == 1;
        }));
        auto waiting = httplib::Response {};
        auto second = std::thread([&] {
            waiting = host.handle("GET", "/read", withApiKey());
        });
        CHECK(waitUntil([&] {
            return host.handler_.inFlight() == 2;
        }));
        // Long enough for the second request to have taken its configuration and to wait for the slot, which is in use for a second.
        absl::SleepFor(absl::Milliseconds(200));
        configuration.revision_ = 2;
        configuration.keys_.front() = editCase.key_;
        host.current_.advance(std::make_shared<const Configuration>(configuration));
        first.join();
        second.join();
        CHECK(waiting.get_header_value("X-Request-Outcome") == "not-run");
        CHECK(waiting.get_header_value("X-Refusal-Reason") == editCase.reason_);
        CHECK(requestCountOf(servers) == 1);
    }
}

// Guards against an organisation that exceeds its rate, and against a refusal without Retry-After.
TEST_CASE("requests beyond the organisation's rate are refused")
{
    const auto servers = serversOf(1, replyOf(okResponse));
    auto host = Host(configurationFor(servers));
    auto served = 0;
    auto last = httplib::Response {};
    for (auto request = 0; request < 5; ++request) {
        last = host.handle("GET", "/read", { { "X-Api-Key", "slow-key" } });
        served += last.status == 200 ? 1 : 0;
    }
    CHECK(served <= 1);
    CHECK(last.status == 429);
    CHECK(last.get_header_value("Retry-After") == "1");
    CHECK(requestCountOf(servers) == served);
}

// Guards against a resent request that crashes one backend server after another.
TEST_CASE("a request that crashed two backend servers is refused")
{
    const auto servers = serversOf(4, [](const ScriptedRequest &request) {
        const auto isCrash = request.head_.find("/read?crash") != std::string::npos;
        return isCrash ? ScriptedReply { "", absl::ZeroDuration(), true } : ScriptedReply { okResponse };
    });
    auto host = Host(configurationFor(servers));
    CHECK(host.handle("GET", "/read?crash", withApiKey()).get_header_value("X-Refusal-Reason") == "response_incomplete");
    CHECK(host.handle("GET", "/read?crash", withApiKey()).get_header_value("X-Refusal-Reason") == "crash_suspect");
    CHECK(requestCountOf(servers) == 2);
    CHECK(host.handle("GET", "/read?other", withApiKey()).status == 200);
    auto peerHost = Host(configurationFor(servers));
    peerHost.handler_.addCrashReports(monotonicNow(), host.handler_.crashReports(monotonicNow()));
    CHECK(peerHost.handle("GET", "/read?crash", withApiKey()).get_header_value("X-Refusal-Reason") == "crash_suspect");
}

// Guards against new requests to a backend server that is leaving.
TEST_CASE("a leaving backend server gets no request")
{
    const auto servers = serversOf(2, replyOf(okResponse));
    auto host = Host(configurationFor(servers));
    host.handler_.setLeavingBackends({ "b0" });
    for (auto request = 0; request < 6; ++request) {
        CHECK(host.handle("GET", "/read", withApiKey()).status == 200);
    }
    CHECK(servers.front()->requestCount() == 0);
}

// Guards against a second execution through another host, and against a response that is lost because the caller changed hosts.
TEST_CASE("an idempotency key with a run token is executed only by the run that it names")
{
    const auto servers = serversOf(2, [](const ScriptedRequest &request) {
        return ScriptedReply { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(request.indexOnServer_) };
    });
    const auto peerAddress = testIp(9, 1) + ":19381";
    auto configuration = configurationFor(servers);
    configuration.entryHosts_ = { { "host", "zone", "127.0.0.1:1", peerAddress }, { "other", "zone", "127.0.0.1:1", "127.0.0.1:1" } };
    auto owner = Host(configuration);
    auto other = Host(configuration, nullptr, "other", "run2");
    const auto headers = withApiKey({ { "Idempotency-Key", idempotencyKey("run", absl::Minutes(1), "1") } });
    const auto unreachable = other.handle("POST", "/once", headers, "body");
    CHECK(unreachable.get_header_value("X-Refusal-Reason") == "run_unreachable");
    CHECK(unreachable.get_header_value("X-Request-Outcome") == "unknown");
    auto services = PeerServices {};
    services.requests_ = &owner.handler_;
    auto server = PeerServer(peerAddress, std::make_shared<peer::PeerProcessor>(std::make_shared<PeerHandler>(services)));
    REQUIRE(server.start());
    for (auto *host : { &other, &owner, &other }) {
        const auto response = host->handle("POST", "/once", headers, "body");
        CHECK(response.status == 200);
        CHECK(response.body == "0");
        CHECK(response.get_header_value_count("X-Request-Outcome") == 1);
        CHECK(response.get_header_value("X-Request-Outcome") == "ran");
    }
    const auto ended = other.handle("POST", "/once", withApiKey({ { "Idempotency-Key", idempotencyKey("earlier", absl::Minutes(1), "1") } }));
    CHECK(ended.get_header_value("X-Refusal-Reason") == "run_ended");
    CHECK(requestCountOf(servers) == 1);
    server.stop();
}

// Guards against a second execution through another host when the key has no run token, and against a key that stays claimed without having run.
TEST_CASE("an idempotency key without a run token is claimed in the store")
{
    auto store = standin::StoreServer(standin::StoreLimits {});
    REQUIRE(store.start("127.0.0.1:0"));
    auto client = StoreClient({ store.address(), absl::Milliseconds(500) });
    auto servers = serversOf(1, [](const ScriptedRequest &request) {
        const auto delay = request.head_.find("/once?late") != std::string::npos ? absl::Seconds(2) : absl::ZeroDuration();
        return ScriptedReply { "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + std::to_string(request.indexOnServer_), delay };
    });
    const auto configuration = configurationFor(servers);
    auto first = Host(configuration, &client);
    auto second = Host(configuration, &client, "host", "run2");
    const auto headers = withApiKey({ { "Idempotency-Key", "order-1" } });
    for (auto *host : { &first, &second, &first }) {
        const auto response = host->handle("POST", "/once", headers, "body");
        CHECK(response.status == 200);
        CHECK(response.body == "0");
        CHECK(response.get_header_value("X-Request-Outcome") == "ran");
    }
    CHECK(second.handle("POST", "/once", headers, "other").get_header_value("X-Refusal-Reason") == "idempotency_key_invalid");
    const auto lateHeaders = withApiKey({ { "Idempotency-Key", "order-2" } });
    CHECK(first.handle("POST", "/once?late", lateHeaders).get_header_value("X-Refusal-Reason") == "deadline_exceeded");
    const auto elsewhere = second.handle("POST", "/once?late", lateHeaders);
    CHECK(elsewhere.get_header_value("X-Refusal-Reason") == "claimed_elsewhere");
    CHECK(elsewhere.get_header_value("X-Request-Outcome") == "unknown");
    CHECK(requestCountOf(servers) == 2);
    auto control = httplib::Client("http://" + store.address());
    REQUIRE(control.Post("/control/lose-replies", R"({"count":1})", "application/json"));
    const auto lostHeaders = withApiKey({ { "Idempotency-Key", "order-3" } });
    CHECK(first.handle("POST", "/once", lostHeaders).status == 200);
    CHECK(second.handle("POST", "/once", lostHeaders).body == "2");
    CHECK(requestCountOf(servers) == 3);
    REQUIRE(control.Post("/control/outage", R"({"on":true})", "application/json"));
    const auto outage = first.handle("POST", "/once", withApiKey({ { "Idempotency-Key", "order-4" } }));
    CHECK(outage.get_header_value("X-Refusal-Reason") == "claim_unavailable");
    // Without the store, the host cannot tell whether an earlier request with the key has run: none has for this key, one has for the next.
    CHECK(outage.get_header_value("X-Request-Outcome") == "unknown");
    auto third = Host(configuration, &client, "host", "run3");
    CHECK(third.handle("POST", "/once", headers, "body").get_header_value("X-Request-Outcome") == "unknown");
    CHECK(requestCountOf(servers) == 3);
    REQUIRE(control.Post("/control/outage", R"({"on":false})", "application/json"));
    servers.clear();
    const auto unreachable = first.handle("POST", "/once", withApiKey({ { "Idempotency-Key", "order-5" } }));
    CHECK(unreachable.get_header_value("X-Refusal-Reason") == "backend_unreachable");
    const auto again = second.handle("POST", "/once", withApiKey({ { "Idempotency-Key", "order-5" } }));
    CHECK(again.get_header_value("X-Refusal-Reason") == "backend_unreachable");
}

// Guards against a shift or a failover that moves more than the cap, and against a request that is refused at the cap although its region has slots.
TEST_CASE("requests are moved to another region only within the cap")
{
    const auto servers = serversOf(2, replyOf(okResponse));
    auto configuration = configurationFor(servers);
    configuration.regions_ = { { "region", { "zone" } }, { "far", { "zone2" } } };
    configuration.pools_.front().backends_[1].zone_ = "zone2";
    configuration.shifts_ = { { "move", "pool", "region", "far", 1.0, 3, wallNow() - absl::Hours(1), absl::Minutes(1) } };
    auto host = Host(configuration);
    const auto startedAt = monotonicNow();
    const auto movedAtMost = [&] {
        constexpr auto cap = 3.0;
        return cap + cap * absl::ToDoubleSeconds(monotonicNow() - startedAt);
    };
    for (auto request = 0; request < 20; ++request) {
        CHECK(host.handle("GET", "/read", withApiKey()).status == 200);
    }
    CHECK(servers[1]->requestCount() >= 1);
    CHECK(servers[1]->requestCount() <= movedAtMost());
    host.handler_.setLeavingBackends({ "b0" });
    for (auto request = 0; request < 20; ++request) {
        host.handle("GET", "/read", withApiKey());
    }
    CHECK(servers[0]->requestCount() + servers[1]->requestCount() <= 20 + movedAtMost());
    CHECK(servers[1]->requestCount() <= movedAtMost());
}

// Guards against a late response that reaches the caller of a later request.
TEST_CASE("each caller gets the response to its own request when responses are late")
{
    const auto servers = serversOf(1, [](const ScriptedRequest &request) {
        const auto number = request.head_.substr(request.head_.find('?') + 1, 2);
        const auto delay = request.indexOnServer_ % 3 == 1 ? absl::Milliseconds(300) : absl::ZeroDuration();
        return ScriptedReply { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n" + number, delay };
    });
    auto configuration = configurationFor(servers);
    configuration.routes_[1].deadline_ = absl::Milliseconds(200);
    auto host = Host(configuration);
    auto late = 0;
    for (auto request = 10; request < 30; ++request) {
        const auto number = std::to_string(request);
        const auto response = host.handle("GET", "/read?" + number, withApiKey());
        late += response.status == 504 ? 1 : 0;
        if (response.status == 200) {
            CHECK(response.body == number);
        }
    }
    CHECK(late >= 1);
    CHECK(late < 20);
}
