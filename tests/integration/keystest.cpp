#include "support/caller.h"
#include "support/controlcall.h"
#include "support/deployment.h"
#include "support/invariants.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace integration;

namespace
{

using Headers = std::vector<std::pair<std::string, std::string>>;

constexpr auto statusOk = 200;

/** A request that contains keys in some place, and the expected result. */
struct KeyCase
{
    std::string name_;
    std::string path_;
    Headers headers_;
    std::string body_ = {};
    std::string method_ = "GET";
    /** The organisation that the backend server must receive; none if the request must be refused. */
    std::optional<std::string> organisation_ = std::nullopt;
    /** Reason of the refusal. */
    std::string reason_ = {};
};

/** Percent-encodes every character. */
auto percentEncoded(const std::string &text) -> std::string
{
    auto encoded = std::string {};
    for (const auto character : text) {
        encoded += fmt::format("%{:02X}", static_cast<unsigned char>(character));
    }
    return encoded;
}

/** The organisations that backend servers received with the request with an X-Test-Id. */
auto organisationsReceived(Deployment &deployment, const std::string &testId) -> std::vector<std::string>
{
    auto received = std::vector<std::string> {};
    for (const auto &backend : deployment.backends()) {
        const auto record = readControl(backend.listen_, "/control/record");
        for (const auto &request : record.at("requests")) {
            if (request.at("id") == testId) {
                received.push_back(request.at("organisation").get<std::string>());
            }
        }
    }
    return received;
}

/** Sends each case to each host and checks the response and the organisation that backend servers received. */
auto checkCases(Deployment &deployment, Caller &caller, const std::vector<KeyCase> &cases) -> void
{
    for (const auto &keyCase : cases) {
        for (auto &host : deployment.hosts()) {
            CAPTURE(keyCase.name_);
            CAPTURE(host.name_);
            auto request = CallerRequest {};
            request.method_ = keyCase.method_;
            request.path_ = keyCase.path_;
            request.headers_ = keyCase.headers_;
            request.body_ = keyCase.body_;
            request.testId_ = makeTestId();
            const auto response = caller.send(host.address_, request);
            CAPTURE(response.error_);
            CAPTURE(response.body_);
            CHECK(response.isComplete_);
            CHECK((response.status_ == statusOk) == keyCase.organisation_.has_value());
            CHECK(response.reason_ == keyCase.reason_);
            CHECK(response.outcome_ == (keyCase.organisation_ ? "ran" : "not-run"));
            const auto expected = keyCase.organisation_ ? std::vector<std::string> { *keyCase.organisation_ } : std::vector<std::string> {};
            CHECK(organisationsReceived(deployment, request.testId_) == expected);
        }
    }
}

/** Requests with one key in each accepted location, from which it must be removed before forwarding. */
auto keyLocationCases(const std::string &key) -> std::vector<KeyCase>
{
    const auto encoded = percentEncoded(key);
    auto cases = std::vector<KeyCase> {
        { "bearer", "/dives", { { "Authorization", "Bearer " + key } } },
        { "bearer in lower case", "/dives", { { "authorization", "bearer " + key } } },
        { "bearer in upper case", "/dives", { { "AUTHORIZATION", "BEARER   " + key } } },
        { "bearer twice", "/dives", { { "Authorization", "Bearer " + key }, { "authorization", "bearer " + key } } },
        { "header", "/dives", { { "X-Api-Key", key } } },
        { "header in other case", "/dives", { { "x-aPI-kEY", key } } },
        { "header list", "/dives", { { "X-Api-Key", key + ", " + key } } },
        { "query", "/dives?depth=3&api_key=" + key + "&boat=2", {} },
        { "query in upper case", "/dives?API_KEY=" + key, {} },
        { "query repeated", "/dives?api_key=" + key + "&Api_Key=" + key, {} },
        { "query encoded", "/dives?api_key=" + encoded, {} },
        { "query with an encoded name", "/dives?" + percentEncoded("api_key") + "=" + key, {} },
        { "query after a semicolon", "/dives?a=1;api_key=" + key, {} },
        { "cookie", "/dives", { { "Cookie", "theme=blue; api_key=" + key + "; lang=rw" } } },
        { "cookie in other case, quoted", "/dives", { { "cookie", "Api_Key=\"" + key + "\"" } } },
        { "cookie encoded", "/dives", { { "Cookie", "api_key=" + encoded } } },
        { "cookie twice", "/dives", { { "Cookie", "api_key=" + key }, { "Cookie", "API_KEY=" + key } } },
        { "every key location", "/dives?api_key=" + key, { { "Authorization", "Bearer " + key }, { "X-Api-Key", key }, { "Cookie", "api_key=" + key } } },
        { "another authorization scheme in addition to the key", "/dives", { { "Authorization", "Basic " + key }, { "X-Api-Key", key } } },
        { "organisation header of another organisation sent by the caller", "/dives", { { "X-Api-Key", key }, { "X-Organisation", "beta" } } },
        { "organisation header listed in Connection by the caller", "/dives", { { "X-Api-Key", key }, { "Connection", "X-Organisation" } } },
        { "POST", "/dives", { { "X-Api-Key", key } }, "{\"depth\": 3}", "POST" },
    };
    for (auto &keyCase : cases) {
        keyCase.organisation_ = "alpha";
    }
    return cases;
}

/** Requests with two different keys in various pairs of locations. */
auto ambiguousCases(const std::string &first, const std::string &second) -> std::vector<KeyCase>
{
    const auto bearer = std::pair<std::string, std::string> { "Authorization", "Bearer " + first };
    auto cases = std::vector<KeyCase> {
        { "two bearers", "/dives", { bearer, { "Authorization", "Bearer " + second } } },
        { "two keys in one bearer", "/dives", { { "Authorization", "Bearer " + first + " " + second } } },
        { "bearer and header", "/dives", { bearer, { "x-api-key", second } } },
        { "bearer and query", "/dives?api_key=" + second, { bearer } },
        { "bearer and encoded query", "/dives?API_KEY=" + percentEncoded(second), { bearer } },
        { "bearer and cookie", "/dives", { bearer, { "Cookie", "api_key=" + second } } },
        { "two query parameters", "/dives?api_key=" + first + "&api_key=" + second, {} },
        { "two cookies", "/dives", { { "Cookie", "api_key=" + first + "; api_key=" + second } } },
        { "open route", "/open/prices?api_key=" + second, { bearer } },
    };
    for (auto &keyCase : cases) {
        keyCase.reason_ = "key_ambiguous";
    }
    return cases;
}

/** Requests with a key outside the accepted locations; `keyHeaders` may be empty, or contain the same or another key in an accepted location. */
auto contentCases(const std::string &label, const std::string &route, const std::string &key, const Headers &keyHeaders) -> std::vector<KeyCase>
{
    const auto withHeader = [&](const std::string &name, const std::string &value) {
        auto headers = keyHeaders;
        headers.emplace_back(name, value);
        return headers;
    };
    const auto encoded = percentEncoded(key);
    auto cases = std::vector<KeyCase> {
        { "path", route + key, keyHeaders },
        { "encoded path", route + encoded, keyHeaders },
        { "path parameter", route + "prices;key=" + key, keyHeaders },
        { "another query parameter", route + "prices?token=" + key, keyHeaders },
        { "twice encoded query", route + "prices?token=" + percentEncoded(encoded), keyHeaders },
        { "another header", route, withHeader("X-Trace", "from " + key) },
        { "encoded in another header", route, withHeader("Referer", "http://x/?api_key=" + encoded) },
        { "another cookie", route, withHeader("Cookie", "session=" + key) },
        { "header name", route, withHeader(key, "1") },
        { "idempotency key", route, withHeader("Idempotency-Key", key) },
        { "body", route, keyHeaders, "{\"key\": \"" + key + "\"}", "POST" },
        { "encoded body", route, keyHeaders, "key=" + encoded, "POST" },
        { "method", route, keyHeaders, "", key },
    };
    for (auto &keyCase : cases) {
        keyCase.name_ = label + ": " + keyCase.name_;
        keyCase.reason_ = "key_in_content";
    }
    return cases;
}

auto proxiedSettings() -> DeploymentSettings
{
    auto settings = DeploymentSettings {};
    settings.usesFaultProxy_ = true;
    return settings;
}

}

// Guards against a key location that is not recognised or not removed before forwarding, and against a request attributed to another organisation.
TEST_CASE("a key is accepted in every key location and never forwarded")
{
    auto deployment = Deployment(proxiedSettings());
    const auto first = deployment.grantKey("alpha").key_;
    const auto second = deployment.grantKey("beta").key_;
    deployment.waitUntilKeyAccepted(first);
    deployment.waitUntilKeyAccepted(second);
    auto caller = Caller {};
    checkCases(deployment, caller, keyLocationCases(first));
    checkCases(deployment, caller, ambiguousCases(first, second));
    checkCases(deployment,
               caller,
               {
                   { "open route with a key", "/open/prices?api_key=" + first, { { "X-Api-Key", first } }, "", "GET", "" },
                   { "open route with an organisation header", "/open/prices", { { "X-Organisation", "beta" } }, "", "GET", "" },
                   { "other key", "/dives", { { "X-Api-Key", second } }, "", "GET", "beta" },
                   { "no key, but an organisation header", "/dives", { { "X-Organisation", "beta" } }, "", "GET", std::nullopt, "key_missing" },
               });
    CHECK(findViolations(deployment, caller.records(), { first, second }) == "");
}

// Guards against forwarding a key that is outside the accepted locations, also on open routes and in addition to another organisation's key.
TEST_CASE("a request with a key outside the accepted key locations is refused")
{
    auto deployment = Deployment(proxiedSettings());
    const auto first = deployment.grantKey("alpha").key_;
    const auto second = deployment.grantKey("beta").key_;
    deployment.waitUntilKeyAccepted(first);
    deployment.waitUntilKeyAccepted(second);
    auto caller = Caller {};
    checkCases(deployment, caller, contentCases("same key", "/dives/", first, { { "X-Api-Key", first } }));
    checkCases(deployment, caller, contentCases("another key", "/dives/", second, { { "X-Api-Key", first } }));
    checkCases(deployment, caller, contentCases("same key, open route", "/open/", first, { { "X-Api-Key", first } }));
    checkCases(deployment, caller, contentCases("no key in an accepted location, open route", "/open/", first, {}));
    CHECK(findViolations(deployment, caller.records(), { first, second }) == "");
}
