/** What one host knows of its deployment at one moment. */
#pragma once

#include "version/discoveredbackend.h"
#include "version/policyindex.h"

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

/** A backend server with what follows from where and when it was seen. */
struct FleetBackend
{
    DiscoveredBackend registration_;
    std::string region_;
    /** Stable hash of the name, for rankings that are the same on every host. */
    std::uint64_t hash_ = 0;
    /** Monotonic time until which it counts as cold. */
    absl::Time coldUntil_ = absl::InfinitePast();
    /** Relative share of the objects of this host's region for which it is first. */
    double weight_ = 1;
    /** Monotonic time from which it gets no new requests, since its registration is missing. */
    absl::Time usableUntil_ = absl::InfiniteFuture();

    auto operator==(const FleetBackend &other) const -> bool = default;
};

/** An immutable view of the deployment; shared by the requests that use it. */
struct FleetView
{
    /** Complete up to this revision of the store. */
    std::int64_t asOf_ = 0;
    /** Null until a policy is known. */
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
