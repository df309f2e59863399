/** A traffic policy with the indexes that requests need. */
#pragma once

#include "version/trafficpolicy.h"

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** Looks up routes, keys and services of one policy version. Immutable. */
class PolicyIndex
{
public:
    explicit PolicyIndex(TrafficPolicy policy);

    [[nodiscard]] auto policy() const -> const TrafficPolicy &;

    /** The route of a Host header and a path; null when there is none. */
    [[nodiscard]] auto findRoute(const std::string &host, std::string_view path) const -> const PolicyRoute *;

    /** The organisation that holds a key; null when none does. */
    [[nodiscard]] auto findByKey(const std::string &key) const -> const PolicyOrganisation *;

    /** The service with a name; null when there is none. */
    [[nodiscard]] auto findService(const std::string &name) const -> const PolicyService *;

private:
    TrafficPolicy policy_;
    /** Routes of a host, longest prefix first. */
    absl::flat_hash_map<std::string, std::vector<const PolicyRoute *>> routes_;
    absl::flat_hash_map<std::string, const PolicyOrganisation *> organisations_;
    absl::flat_hash_map<std::string, const PolicyService *> services_;
};

/** A policy version shared by the requests that began under it. */
using PolicyPointer = std::shared_ptr<const PolicyIndex>;

}
