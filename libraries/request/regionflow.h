/** Splits the requests of each region over the regions' backend servers. */
#pragma once

#include <map>
#include <string>

namespace lycheecleat
{

/** Amounts by region. */
using RegionAmounts = std::map<std::string, double>;

/**
 * The part of a region's requests that each region should handle, so that all regions are loaded in proportion to their capacity while requests
 * stay in their own region as far as that allows. Demands and capacities are relative; the parts add up to 1 unless there is no capacity.
 */
[[nodiscard]] auto regionFlow(const RegionAmounts &demands, const RegionAmounts &capacities, const std::string &region) -> RegionAmounts;

}
