#include "version/routelookup.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

/** The host without its port, in lower case. */
auto normalizeHost(std::string_view host) -> std::string
{
    const auto colon = host.rfind(':');
    const auto hasPort = colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos;
    auto name = std::string(hasPort ? host.substr(0, colon) : host);
    std::transform(name.begin(), name.end(), name.begin(), [](char character) {
        return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
    });
    return name;
}

}

auto matchesPath(std::string_view prefix, std::string_view path) -> bool
{
    if (prefix == "/") {
        return true;
    }
    return path.substr(0, prefix.size()) == prefix && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

auto findRoute(const Configuration &configuration, std::string_view host, std::string_view path) -> const Route *
{
    const auto hostName = normalizeHost(host);
    for (const auto &route : configuration.routes_) {
        if ((route.host_ == "*" || route.host_ == hostName) && matchesPath(route.pathPrefix_, path)) {
            return &route;
        }
    }
    return nullptr;
}

}
