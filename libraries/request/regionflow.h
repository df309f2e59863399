/** Distribution of each region's requests over the regions, by demand and capacity. */
#pragma once

#include <map>
#include <string>

namespace lycheecleat
{

/** Amounts by region. */
using RegionAmounts = std::map<std::string, double>;

/**
 * The fraction of a region's requests that each region should handle, so that all regions are loaded in proportion to their capacity and as many
 * requests as possible stay in their own region. Only the ratios between the demands and between the capacities matter. The fractions add up to 1; the
 * result is empty when there is no capacity.
 */
[[nodiscard]] auto regionFlow(const RegionAmounts &demands, const RegionAmounts &capacities, const std::string &region) -> RegionAmounts;

}
