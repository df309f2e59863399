#include "process/hostregistration.h"

#include "core/socketaddress.h"
#include "process/hosttable.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>

namespace lycheecleat
{

namespace
{

/** Longest name of a host or availability zone. */
constexpr auto maximumNameBytes = std::size_t { 200 };

// Whole numbers from 0 on are unsigned once parsed, so negative ones are of another type.
auto readInteger(const nlohmann::json &json, std::int64_t maximum) -> std::optional<std::int64_t>
{
    if (!json.is_number_unsigned() || json.get<std::uint64_t>() > static_cast<std::uint64_t>(maximum)) {
        return std::nullopt;
    }
    return json.get<std::int64_t>();
}

auto isHostAddress(const std::string &text) -> bool
{
    const auto address = parseSocketAddress(text);
    return address && isUnicast(*address);
}

}

auto checkHostIdentity(const fleet::HostIdentity &identity) -> Result<void>
{
    constexpr auto step = "check host identity";
    if (identity.name.empty() || identity.name.size() > maximumNameBytes || identity.zone.empty() || identity.zone.size() > maximumNameBytes) {
        return makeError(step, identity.name.substr(0, maximumNameBytes), "the host or its zone has no usable name");
    }
    if (identity.incarnation < 0 || identity.incarnation > maximumIncarnation || identity.processorMillis < 0) {
        return makeError(step, identity.name, "the incarnation or processor time is out of range");
    }
    if (!isHostAddress(identity.callerAddress) || !isHostAddress(identity.peerAddress) || !isHostAddress(identity.gossipAddress)) {
        return makeError(step, identity.name, "an address is not the IP address of a host, with a port");
    }
    return {};
}

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
        const auto incarnation = readInteger(json.at("incarnation"), maximumIncarnation);
        const auto processorMillis = readInteger(json.value("processor_millis", nlohmann::json(0U)), std::numeric_limits<std::int32_t>::max());
        if (!incarnation || !processorMillis) {
            return makeError("decode host registration", name, "the incarnation or processor time is not a whole number in its range");
        }
        identity.incarnation = *incarnation;
        identity.processorMillis = static_cast<std::int32_t>(*processorMillis);
        identity.zone = json.at("zone").get<std::string>();
        identity.callerAddress = json.at("caller_address").get<std::string>();
        identity.peerAddress = json.at("peer_address").get<std::string>();
        identity.gossipAddress = json.at("gossip_address").get<std::string>();
        BOOST_LEAF_CHECK(checkHostIdentity(identity));
        return identity;
    } catch (const nlohmann::json::exception &exception) {
        return makeError("decode host registration", name, exception.what());
    }
}

}
