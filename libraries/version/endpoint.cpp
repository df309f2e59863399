#include "version/endpoint.h"

#include "version/addressblock.h"
#include "version/units.h"

#include <variant>

namespace lycheecleat
{

namespace
{

constexpr auto largestPort = 65535;

auto isPort(const std::string &text) -> bool
{
    const auto port = parseWholeNumber(text);
    return port && *port >= 1 && *port <= largestPort;
}

auto isAddress(const std::string &text) -> bool
{
    const auto outcome = attempt([&]() {
        return parseAddress(text);
    });
    return std::holds_alternative<absl::uint128>(outcome);
}

}

auto isEndpoint(const std::string &text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !isPort(text.substr(colon + 1))) {
        return false;
    }
    const auto address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']') {
        return isAddress(address.substr(1, address.size() - 2));
    }
    return address.find(':') == std::string::npos && isAddress(address);
}

}
