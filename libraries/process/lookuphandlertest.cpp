#include "process/lookuphandler.h"

#include "core/clock.h"
#include "request/runtoken.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <set>

using namespace lycheecleat;

namespace
{

constexpr auto secret = "fleet-secret";

auto makeConfiguration() -> ConfigurationPointer
{
    auto configuration = Configuration {};
    configuration.revision_ = 9;
    configuration.regions_ = { Region { "north", { "n" } }, Region { "south", { "s" } } };
    configuration.entryHosts_ = { { "own", "n", "127.0.0.1:80", "127.0.0.1:90" }, { "other", "s", "127.0.0.2:80", "127.0.0.2:90" } };
    configuration.clientBlocks_ = { ClientBlocks { "south", "south", { "10.0.0.0/8" } } };
    return std::make_shared<const Configuration>(configuration);
}

/** A handler with one peer. */
struct LookupFixture
{
    LookupFixture()
        : membership_(MembershipServices { "own",
                                           &peers_,
                                           [] {
                                               return peer::HostState {};
                                           },
                                           [](const PeerUpdate &) {} })
        , handler_(LookupServices { "own", "run-own", "n", secret, absl::Seconds(5), &membership_, [this] {
                                       return leaving_;
                                   } })
    {
    }

    auto receiveState(const std::string &run, bool leaving) -> void
    {
        auto state = peer::HostState {};
        state.name = "other";
        state.run = run;
        state.leaving = leaving;
        membership_.receive(monotonicNow(), state);
    }

    auto lookUp(const std::string &query) -> httplib::Response
    {
        auto request = httplib::Request {};
        request.method = "GET";
        request.target = "/.well-known/lycheecleat/lookup" + query;
        request.remote_addr = "127.0.0.1";
        auto response = httplib::Response {};
        handler_.handle(request, response);
        return response;
    }

    PeerClients peers_;
    Membership membership_;
    LookupHandler handler_;
    bool leaving_ = false;
};

auto firstHost(const httplib::Response &response) -> std::string
{
    return nlohmann::json::parse(response.body).at("hosts").at(0).at("name").get<std::string>();
}

auto tokenOf(const httplib::Response &response) -> RunToken
{
    const auto prefix = nlohmann::json::parse(response.body).at("idempotency_key_prefix").get<std::string>();
    return parseIdempotencyKey(prefix + "suffix", secret).value().token_.value();
}

}

TEST_CASE("a lookup without a configuration is refused as not run")
{
    auto fixture = LookupFixture();
    const auto response = fixture.lookUp("");
    CHECK(response.status == 503);
    CHECK(response.get_header_value("X-Request-Outcome") == "not-run");
}

// Guards against a run token that names an earlier run of a host: every request under it would have an unknown outcome.
TEST_CASE("the run token names the first host returned and its current run")
{
    auto fixture = LookupFixture();
    fixture.membership_.setHosts(monotonicNow(), makeConfiguration()->entryHosts_);
    fixture.handler_.configure(makeConfiguration());
    fixture.receiveState("run-1", false);
    const auto south = fixture.lookUp("?organisation=none&client=10.1.2.3");
    CHECK(south.status == 200);
    CHECK(firstHost(south) == "other");
    CHECK(tokenOf(south).host_ == "other");
    CHECK(tokenOf(south).run_ == "run-1");
    CHECK(south.get_header_value("Cache-Control") == "max-age=5");
    CHECK(nlohmann::json::parse(south.body).at("revision") == 9);
    const auto own = fixture.lookUp("");
    CHECK(firstHost(own) == "own");
    CHECK(tokenOf(own).run_ == "run-own");
}

// Guards against lookups that return a host that is stopping.
TEST_CASE("leaving hosts are not returned")
{
    auto fixture = LookupFixture();
    fixture.membership_.setHosts(monotonicNow(), makeConfiguration()->entryHosts_);
    fixture.handler_.configure(makeConfiguration());
    fixture.receiveState("run-1", true);
    CHECK(firstHost(fixture.lookUp("?client=10.1.2.3")) == "own");
    fixture.leaving_ = true;
    CHECK(fixture.lookUp("").status == 503);
}

TEST_CASE("a malformed client address is refused")
{
    auto fixture = LookupFixture();
    fixture.handler_.configure(makeConfiguration());
    const auto response = fixture.lookUp("?client=nowhere");
    CHECK(response.status == 400);
    CHECK(response.get_header_value("X-Refusal-Reason") == "bad_client_address");
    CHECK(fixture.lookUp("?client=%31%30.1.2.3").status == 200);
}
