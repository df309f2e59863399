#include "connection/administrationclient.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

namespace lycheecleat
{

namespace
{

constexpr auto callStep = "call administration API";
constexpr auto statusOk = 200;
constexpr auto statusAccepted = 202;

/** A daemon responds to a withdrawal once it is confirmed, after 2 s at the latest. */
constexpr auto withdrawalWait = absl::Seconds(2);

auto makeClient(const AdministrationEndpoint &daemon, absl::Duration timeout) -> httplib::Client
{
    auto client = httplib::Client("http://" + daemon.address_);
    const auto milliseconds = absl::ToChronoMilliseconds(timeout);
    client.set_connection_timeout(milliseconds);
    client.set_read_timeout(milliseconds);
    client.set_write_timeout(milliseconds);
    if (!daemon.operatorKey_.empty()) {
        client.set_bearer_token_auth(daemon.operatorKey_);
    }
    return client;
}

auto responseBody(const AdministrationEndpoint &daemon, const httplib::Result &response) -> Result<std::string>
{
    if (!response) {
        return makeError(callStep, daemon.address_, "no response: " + httplib::to_string(response.error()));
    }
    if (response->status != statusOk && response->status != statusAccepted) {
        return makeError(callStep, daemon.address_, fmt::format("status {}: {}", response->status, response->body));
    }
    return response->body;
}

}

auto fetchHostStatus(const AdministrationEndpoint &daemon) -> Result<HostStatus>
{
    auto client = makeClient(daemon, daemon.timeout_);
    BOOST_LEAF_AUTO(body, responseBody(daemon, client.Get("/v1/status")));
    return parseHostStatus(body);
}

auto fetchExplanation(const AdministrationEndpoint &daemon, const ExplanationRequest &request) -> Result<std::string>
{
    auto client = makeClient(daemon, daemon.timeout_);
    const auto parameters =
        httplib::Params { { "host", request.host_ }, { "path", request.path_ }, { "object", request.object_ }, { "organisation", request.organisation_ } };
    return responseBody(daemon, client.Get("/v1/explain", parameters, httplib::Headers {}));
}

auto submitWithdrawal(const AdministrationEndpoint &daemon, const std::string &keyName) -> Result<WithdrawalStatus>
{
    auto client = makeClient(daemon, daemon.timeout_ + withdrawalWait);
    const auto body = nlohmann::json { { "key", keyName } }.dump();
    BOOST_LEAF_AUTO(response, responseBody(daemon, client.Post("/v1/withdrawals", body, "application/json")));
    return parseWithdrawalStatus(response);
}

}
