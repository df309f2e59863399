/** Orders the backend servers of a service for one object, alike on every host that knows the same servers. */
#pragma once

#include "version/fleetview.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** A backend server with the share of objects that it should be first for. */
struct WeightedBackend
{
    const FleetBackend *backend_ = nullptr;
    /** Relative to the weights of the others; at least 0. */
    double weight_ = 0;
};

/** A stable hash of what a request is about, so that requests about the same object are handled alike. */
[[nodiscard]] auto objectHash(std::string_view service, std::string_view route, std::string_view object) -> std::uint64_t;

/**
 * Weighted rendezvous hashing (Thaler and Ravishankar, 1998, with the weights of Schindelhauer and Schomaker, 2005): each backend server is first
 * for a part of the objects in proportion to its weight, and a change of one server moves only the objects that it gains or loses.
 * Servers of weight 0 come last.
 */
[[nodiscard]] auto rankBackends(std::uint64_t object, const std::vector<WeightedBackend> &backends) -> std::vector<const FleetBackend *>;

}
