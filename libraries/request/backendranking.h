/** Ranks the backend servers of a service for one object by weighted rendezvous hashing; equal on every host that has the same servers and weights. */
#pragma once

#include "version/fleetview.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** A backend server with the share of objects for which it should rank first. */
struct WeightedBackend
{
    const FleetBackend *backend_ = nullptr;
    /** Relative to the weights of the other servers; at least 0. */
    double weight_ = 0;
};

/** Stable hash of the object that a request concerns; equal on all hosts, so that requests for the same object go to the same servers. */
[[nodiscard]] auto objectHash(std::string_view service, std::string_view route, std::string_view object) -> std::uint64_t;

/**
 * Weighted rendezvous hashing (Thaler and Ravishankar, 1998, with the weights of Schindelhauer and Schomaker, 2005): each backend server ranks first
 * for a fraction of the objects in proportion to its weight, and a change of one server moves only the objects that it gains or loses.
 * Servers of weight 0 rank last. The result doesn't depend on the order of the argument.
 */
[[nodiscard]] auto rankBackends(std::uint64_t object, const std::vector<WeightedBackend> &backends) -> std::vector<const FleetBackend *>;

}
