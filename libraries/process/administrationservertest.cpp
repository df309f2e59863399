#include "process/administrationserver.h"

#include "core/clock.h"
#include "core/testaddress.h"

#include <doctest/doctest.h>
#include <httplib.h>

#include <memory>

using namespace lycheecleat;

namespace
{

constexpr auto adminPort = 19081;
constexpr auto operatorKey = "operator-secret";

auto adminIp() -> std::string
{
    return testIp(8, 1);
}

struct AuthorizationCase
{
    std::string description_;
    std::string operatorKey_;
    std::string authorization_;
    std::string remoteAddress_;
    bool expected_;
};

auto makeConfiguration() -> Configuration
{
    auto configuration = Configuration {};
    configuration.revision_ = 3;
    configuration.regions_ = { Region { "north", { "a", "b", "c" } } };
    configuration.entryHosts_ = { { "h1", "a", "127.0.0.1:1", "127.0.0.1:2" },
                                  { "h2", "b", "127.0.0.1:3", "127.0.0.1:4" },
                                  { "h3", "c", "127.0.0.1:5", "127.0.0.1:6" } };
    configuration.keys_ = { Key { "key-1", "org", "digest-1", true }, Key { "key-2", "org", "digest-2", false } };
    auto pool = Pool {};
    pool.name_ = "pool";
    pool.backends_ = { { "b1", "a", "127.0.0.1:7" }, { "b2", "a", "127.0.0.1:8" } };
    configuration.pools_ = { pool };
    auto route = Route {};
    route.name_ = "route";
    route.file_ = "60-route.yaml";
    route.host_ = "*";
    route.pathPrefix_ = "/tides";
    route.pool_ = "pool";
    configuration.routes_ = { route };
    configuration.drains_ = { Drain { "drain", DrainTarget::Backend, "b2" } };
    return configuration;
}

/** An administration server with a fixed configuration and an unreachable store. */
struct TestServer
{
    TestServer()
        : membership_(MembershipServices { "h1",
                                           &peers_,
                                           [] {
                                               return peer::HostState {};
                                           },
                                           [](const PeerUpdate &) {} })
        , administration_(AdministrationServerServices { adminIp() + ":" + std::to_string(adminPort),
                                                         operatorKey,
                                                         "a",
                                                         &configuration_,
                                                         &freshness_,
                                                         &membership_,
                                                         &store_,
                                                         [] {
                                                             return nlohmann::json { { "host", "h1" } };
                                                         },
                                                         [] {
                                                             return std::string("metric 1\n");
                                                         },
                                                         [] {
                                                             return std::vector<std::string> { "b1" };
                                                         },
                                                         [] {
                                                             return true;
                                                         } })
    {
        configuration_.advance(std::make_shared<const Configuration>(makeConfiguration()));
        membership_.setHosts(monotonicNow(), configuration_.get()->entryHosts_);
        REQUIRE(administration_.start());
    }

    PeerClients peers_;
    StoreClient store_ { StoreSettings { testIp(8, 2) + ":19082", absl::Milliseconds(100) } };
    CurrentConfiguration configuration_;
    FreshnessTracker freshness_;
    Membership membership_;
    AdministrationServer administration_;
};

auto makeClient() -> httplib::Client
{
    auto client = httplib::Client(adminIp(), adminPort);
    client.set_connection_timeout(2);
    client.set_read_timeout(5);
    client.set_default_headers({ { "Authorization", std::string("Bearer ") + operatorKey } });
    return client;
}

auto reasonOf(const httplib::Result &result) -> std::string
{
    return nlohmann::json::parse(result->body).at("error").at("reason").get<std::string>();
}

auto peerWithWithdrawal(const std::string &zone, const std::string &digest) -> PeerView
{
    auto withdrawal = peer::Withdrawal {};
    withdrawal.digest = digest;
    auto view = PeerView {};
    view.host_.zone_ = zone;
    view.state_.withdrawals = { withdrawal };
    return view;
}

}

// Guards against an operator interface that is open to anyone who can connect to the port.
TEST_CASE("the operator interface requires the operator key, or a loopback address if no key is set")
{
    const auto cases = std::vector<AuthorizationCase> {
        { "right key", "secret", "Bearer secret", "10.0.0.1", true },
        { "wrong key", "secret", "Bearer secreT", "10.0.0.1", false },
        { "prefix of the key", "secret", "Bearer secre", "10.0.0.1", false },
        { "no key", "secret", "", "10.0.0.1", false },
        { "loopback address without the key", "secret", "", "127.0.0.1", false },
        { "key without the Bearer scheme", "secret", "secret", "10.0.0.1", false },
        { "no key set, loopback address", "", "", "127.0.0.1", true },
        { "no key set, IPv6 loopback address", "", "", "::1", true },
        { "no key set, other address", "", "", "10.0.0.1", false },
        { "no key set, other address, empty bearer token", "", "Bearer ", "10.127.0.1", false },
    };
    for (const auto &authorizationCase : cases) {
        CAPTURE(authorizationCase.description_);
        CHECK(isAuthorizedOperator(authorizationCase.operatorKey_, authorizationCase.authorization_, authorizationCase.remoteAddress_)
              == authorizationCase.expected_);
    }
}

// Guards against a withdrawal that is reported as accepted although it may never reach a host that serves keyed requests.
TEST_CASE("a withdrawal is accepted once more than half of the zones hold it")
{
    const auto configuration = makeConfiguration();
    const auto &key = configuration.keys_[0];
    auto freshness = FreshnessTracker();
    auto withdrawal = peer::Withdrawal {};
    withdrawal.digest = key.digest_;
    freshness.addWithdrawals({ withdrawal });
    CHECK_FALSE(isAccepted(withdrawalPropagation(configuration, freshness, {}, key, "a")));
    CHECK_FALSE(isAccepted(withdrawalPropagation(configuration, freshness, { peerWithWithdrawal("a", key.digest_) }, key, "a")));
    CHECK_FALSE(isAccepted(withdrawalPropagation(configuration, freshness, { peerWithWithdrawal("b", "other") }, key, "a")));
    CHECK_FALSE(isAccepted(withdrawalPropagation(configuration, freshness, { peerWithWithdrawal("elsewhere", key.digest_) }, key, "a")));
    const auto propagation = withdrawalPropagation(configuration, freshness, { peerWithWithdrawal("b", key.digest_) }, key, "a");
    CHECK(propagation.confirmedZones_ == std::vector<std::string> { "a", "b" });
    CHECK(isAccepted(propagation));
    CHECK(isAccepted(withdrawalPropagation(configuration, FreshnessTracker(), {}, configuration.keys_[1], "a")));
}

TEST_CASE("an explanation contains the route, its file and the state of each backend server")
{
    const auto configuration = makeConfiguration();
    const auto explanation = explainRoute(configuration, FreshnessState::Isolated, { "b1" }, "any", "/tides/today");
    CHECK(explanation.at("matched") == true);
    CHECK(explanation.at("route").at("file") == "60-route.yaml");
    CHECK(explanation.at("refused_as_isolated") == true);
    CHECK(explanation.at("pool").at("backends").at(0).at("leaving") == true);
    CHECK(explanation.at("pool").at("backends").at(1).at("drained") == true);
    CHECK(explainRoute(configuration, FreshnessState::Fresh, {}, "any", "/other").at("matched") == false);
}

TEST_CASE("requests over HTTP are authorised, validated and answered")
{
    auto server = TestServer();
    auto client = makeClient();
    auto unauthorizedClient = httplib::Client(adminIp(), adminPort);
    CHECK(unauthorizedClient.Get("/health")->status == 200);
    CHECK(unauthorizedClient.Get("/metrics")->body == "metric 1\n");
    for (const auto *path : { "/v1/status", "/v1/explain?host=a&path=/", "/v1/withdrawals?key=key-1" }) {
        CAPTURE(path);
        CHECK(unauthorizedClient.Get(path)->status == 401);
        CHECK(client.Get(path)->status == 200);
    }
    CHECK(reasonOf(unauthorizedClient.Post("/v1/withdrawals", R"({"key":"key-1"})", "application/json")) == "operator_key_required");
    CHECK_FALSE(server.freshness_.isWithdrawn("digest-1"));
    CHECK(reasonOf(client.Get("/v1/explain?host=a")) == "parameter_missing");
    CHECK(reasonOf(client.Get("/nothing")) == "not_served");
    CHECK(reasonOf(client.Post("/v1/withdrawals", R"({"key":"none"})", "application/json")) == "unknown_key");
    CHECK(reasonOf(client.Post("/v1/withdrawals", "{", "application/json")) == "malformed_withdrawal");
    CHECK(reasonOf(client.Post("/v1/changes", R"({"id":"c1","edits":[{"name":1}]})", "application/json")) == "malformed_change");
    for (const auto *name : { "../a.yaml", "/a.yaml", ".a.yaml", "a.txt" }) {
        CAPTURE(name);
        const auto change = nlohmann::json { { "id", "c1" }, { "edits", { { { "name", name }, { "after", "kind: region" } } } } };
        CHECK(reasonOf(client.Post("/v1/changes", change.dump(), "application/json")) == "wrong_rules");
    }
    // No server listens at the store's address.
    CHECK(reasonOf(client.Post("/v1/changes", R"({"id":"c1","edits":[]})", "application/json")) == "store_unavailable");
    CHECK(client.Post("/v1/withdrawals", R"({"key":"key-2"})", "application/json")->status == 200);
}

// Guards against a withdrawal that is lost when no peer responds: it must take effect on this host at once and be reported as not accepted yet.
TEST_CASE("a withdrawal takes effect at once on the host that received it")
{
    auto server = TestServer();
    auto client = makeClient();
    const auto response = client.Post("/v1/withdrawals", R"({"key":"key-1"})", "application/json");
    REQUIRE(response);
    CHECK(response->status == 202);
    CHECK(nlohmann::json::parse(response->body).at("accepted") == false);
    CHECK(server.freshness_.isWithdrawn("digest-1"));
}
