#include "request/claimrecord.h"

#include "core/digest.h"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace lycheecleat
{

namespace
{

using Json = nlohmann::json;

// No organisation has this name, since rule names start with a letter or digit.
constexpr auto openRouteOrganisation = "_open";

auto stateName(ClaimState state) -> const char *
{
    switch (state) {
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::Released:
        return "released";
    case ClaimState::Done:
        return "done";
    }
    return "claimed";
}

auto parseState(const std::string &name) -> std::optional<ClaimState>
{
    for (const auto state : { ClaimState::Claimed, ClaimState::Released, ClaimState::Done }) {
        if (name == stateName(state)) {
            return state;
        }
    }
    return std::nullopt;
}

// Header values and bodies may contain arbitrary bytes, which JSON strings cannot represent.
auto base64Encoded(const std::string &bytes) -> std::string
{
    return absl::Base64Escape(bytes);
}

auto base64Decoded(const Json &text) -> std::string
{
    auto bytes = std::string {};
    if (!absl::Base64Unescape(text.get<std::string>(), &bytes)) {
        throw Json::other_error::create(0, "invalid base64", &text);
    }
    return bytes;
}

auto toJson(const HttpResponse &response) -> Json
{
    auto headers = Json::array();
    for (const auto &header : response.headers_) {
        headers.push_back({ header.name_, base64Encoded(header.value_) });
    }
    return { { "status", response.status_ }, { "headers", std::move(headers) }, { "body", base64Encoded(response.body_.text()) } };
}

auto responseFrom(const Json &value) -> HttpResponse
{
    auto response = HttpResponse { value.at("status").get<int>(), {}, base64Decoded(value.at("body")) };
    for (const auto &header : value.at("headers")) {
        response.headers_.push_back({ header.at(0).get<std::string>(), base64Decoded(header.at(1)) });
    }
    return response;
}

}

auto claimKey(const std::string &organisation, const std::string &idempotencyKey) -> std::string
{
    return "once/" + (organisation.empty() ? std::string(openRouteOrganisation) : organisation) + "/" + sha256Hex(idempotencyKey);
}

auto serializeClaim(const ClaimRecord &record) -> std::string
{
    auto value = Json { { "state", stateName(record.state_) }, { "claim", record.id_ }, { "request", record.requestDigest_ } };
    if (record.state_ == ClaimState::Done) {
        value["answer"] = toJson(record.response_);
    }
    return value.dump();
}

auto parseClaim(const std::string &text) -> std::optional<ClaimRecord>
{
    try {
        const auto value = Json::parse(text);
        const auto state = parseState(value.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        auto record = ClaimRecord { *state, value.at("claim").get<std::string>(), value.at("request").get<std::string>(), {} };
        if (record.state_ == ClaimState::Done) {
            record.response_ = responseFrom(value.at("answer"));
        }
        return record;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

}
