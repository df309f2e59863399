/** One host's view of its deployment at a point in time. */
#pragma once

#include "version/discoveredbackend.h"
#include "version/policyindex.h"
#include "version/storeposition.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheecleat
{

/** A registered backend server with the attributes that this host derives from its registration. */
struct FleetBackend
{
    DiscoveredBackend registration_;
    std::string region_;
    /** Stable hash of the name, for rankings that are the same on every host. */
    std::uint64_t hash_ = 0;
    /** Monotonic time at which its cold start ends. */
    absl::Time coldUntil_ = absl::InfinitePast();
    /** Ranking weight: its relative share of the objects for which it is ranked first in this host's region. */
    double weight_ = 1;
    /** Monotonic time from which it gets no new requests because its registration is missing; infinite while it is registered. */
    absl::Time usableUntil_ = absl::InfiniteFuture();

    auto operator==(const FleetBackend &other) const -> bool = default;
};

/** An immutable view of the deployment, shared by the requests that use it. */
struct FleetView
{
    /** Includes all changes up to this position of the store. */
    StorePosition asOf_;
    /** Null until a policy has been received. */
    PolicyPointer policy_;
    /** Backend servers that may take new requests, by service, sorted by name. */
    absl::flat_hash_map<std::string, std::vector<FleetBackend>> backends_;
    absl::flat_hash_set<std::string> evacuatedZones_;
};

/** A view shared between threads. */
using FleetViewPointer = std::shared_ptr<const FleetView>;

/** Availability zones and the region of each. */
using ZoneRegions = std::map<std::string, std::string>;

}
