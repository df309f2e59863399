/** Lookup indexes over a traffic policy. */
#pragma once

#include "version/trafficpolicy.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/**
 * Looks up routes, keys and services of one policy version. Immutable, so safe to use from several threads. Returned pointers are valid as long as the
 * index.
 */
class PolicyIndex
{
public:
    explicit PolicyIndex(TrafficPolicy policy);

    [[nodiscard]] auto policy() const -> const TrafficPolicy &;

    /** The route with the longest matching prefix for a Host header, in any letter case and with or without a port; null if there is none. */
    [[nodiscard]] auto findRoute(const std::string &host, std::string_view path) const -> const PolicyRoute *;

    /** The organisation that lists a key; null if there is none. */
    [[nodiscard]] auto findByKey(const std::string &key) const -> const PolicyOrganisation *;

    /** The organisation with a name; null if there is none. */
    [[nodiscard]] auto findOrganisation(const std::string &name) const -> const PolicyOrganisation *;

    /** The service with a name; null if there is none. */
    [[nodiscard]] auto findService(const std::string &name) const -> const PolicyService *;

private:
    TrafficPolicy policy_;
    /** Routes of a host, longest prefix first. */
    absl::flat_hash_map<std::string, std::vector<const PolicyRoute *>> routes_;
    absl::flat_hash_map<std::string, const PolicyOrganisation *> organisationsByKey_;
    absl::flat_hash_map<std::string, const PolicyOrganisation *> organisations_;
    absl::flat_hash_map<std::string, const PolicyService *> services_;
};

/** A policy version, kept alive by the requests that started with it. */
using PolicyPointer = std::shared_ptr<const PolicyIndex>;

}
