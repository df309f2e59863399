#include "version/policycheck.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace lycheecleat
{

namespace
{

auto findDestinationFault(const PolicyRoute &route, const std::set<std::string> &services) -> std::optional<std::string>
{
    for (const auto &destination : route.destinations_) {
        if (services.count(destination.service_) == 0) {
            return fmt::format("route {} names the unknown service {}", route.name_, destination.service_);
        }
        if (!std::isfinite(destination.weight_) || destination.weight_ < 0) {
            return fmt::format("route {} has an invalid weight", route.name_);
        }
    }
    const auto hasWeight = std::any_of(route.destinations_.begin(), route.destinations_.end(), [](const Destination &destination) {
        return destination.weight_ > 0;
    });
    return hasWeight ? std::nullopt : std::optional(fmt::format("route {} has no destination with a weight above 0", route.name_));
}

auto findRouteFault(const TrafficPolicy &policy) -> std::optional<std::string>
{
    auto services = std::set<std::string> {};
    for (const auto &service : policy.services_) {
        services.insert(service.name_);
    }
    auto places = std::set<std::pair<std::string, std::string>> {};
    for (const auto &route : policy.routes_) {
        if (route.maximumAttempts_ < 1) {
            return fmt::format("route {} allows no attempt", route.name_);
        }
        if (!places.emplace(route.host_, route.prefix_).second) {
            return fmt::format("route {} has the host and prefix of another route", route.name_);
        }
        if (auto fault = findDestinationFault(route, services)) {
            return fault;
        }
    }
    return std::nullopt;
}

auto findKeyFault(const TrafficPolicy &policy) -> std::optional<std::string>
{
    auto holders = std::map<std::string, const PolicyOrganisation *> {};
    for (const auto &organisation : policy.organisations_) {
        for (const auto &key : organisation.keys_) {
            const auto holder = holders.emplace(key, &organisation).first->second;
            if (holder != &organisation) {
                return fmt::format("organisations {} and {} hold the same key", holder->limits_.name_, organisation.limits_.name_);
            }
        }
    }
    return std::nullopt;
}

}

auto findPolicyFault(const TrafficPolicy &policy) -> std::optional<std::string>
{
    auto fault = findRouteFault(policy);
    return fault ? fault : findKeyFault(policy);
}

}
