#include "process/hostregistration.h"

#include <nlohmann/json.hpp>

namespace lycheecleat
{

auto encodeHostRegistration(const fleet::HostIdentity &identity) -> std::string
{
    return nlohmann::json {
        { "incarnation", identity.incarnation },      { "zone", identity.zone },
        { "caller_address", identity.callerAddress }, { "peer_address", identity.peerAddress },
        { "gossip_address", identity.gossipAddress }, { "processor_millis", identity.processorMillis },
    }
        .dump();
}

auto decodeHostRegistration(const std::string &name, const std::string &value) -> Result<fleet::HostIdentity>
{
    const auto json = nlohmann::json::parse(value, nullptr, false);
    try {
        auto identity = fleet::HostIdentity {};
        identity.name = name;
        identity.incarnation = json.at("incarnation").get<std::int64_t>();
        identity.zone = json.at("zone").get<std::string>();
        identity.callerAddress = json.at("caller_address").get<std::string>();
        identity.peerAddress = json.at("peer_address").get<std::string>();
        identity.gossipAddress = json.at("gossip_address").get<std::string>();
        identity.processorMillis = json.value("processor_millis", std::int32_t { 0 });
        return identity;
    } catch (const nlohmann::json::exception &exception) {
        return makeError("decode host registration", name, exception.what());
    }
}

}
