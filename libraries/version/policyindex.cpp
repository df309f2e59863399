#include "version/policyindex.h"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <utility>

namespace lycheecleat
{

PolicyIndex::PolicyIndex(TrafficPolicy policy)
    : policy_(std::move(policy))
{
    for (const auto &route : policy_.routes_) {
        routes_[route.host_].push_back(&route);
    }
    for (auto &[host, routes] : routes_) {
        std::stable_sort(routes.begin(), routes.end(), [](const PolicyRoute *left, const PolicyRoute *right) {
            return left->prefix_.size() > right->prefix_.size();
        });
    }
    for (const auto &organisation : policy_.organisations_) {
        organisations_[organisation.limits_.name_] = &organisation;
        for (const auto &key : organisation.keys_) {
            organisationsByKey_[key] = &organisation;
        }
    }
    for (const auto &service : policy_.services_) {
        services_[service.name_] = &service;
    }
}

auto PolicyIndex::policy() const -> const TrafficPolicy &
{
    return policy_;
}

auto PolicyIndex::findRoute(const std::string &host, std::string_view path) const -> const PolicyRoute *
{
    const auto hostName = absl::AsciiStrToLower(host.substr(0, host.find(':')));
    const auto found = routes_.find(hostName);
    if (found == routes_.end()) {
        return nullptr;
    }
    for (const auto *route : found->second) {
        if (path.starts_with(route->prefix_)) {
            return route;
        }
    }
    return nullptr;
}

auto PolicyIndex::findByKey(const std::string &key) const -> const PolicyOrganisation *
{
    const auto found = organisationsByKey_.find(key);
    return found == organisationsByKey_.end() ? nullptr : found->second;
}

auto PolicyIndex::findOrganisation(const std::string &name) const -> const PolicyOrganisation *
{
    const auto found = organisations_.find(name);
    return found == organisations_.end() ? nullptr : found->second;
}

auto PolicyIndex::findService(const std::string &name) const -> const PolicyService *
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

}
