#include "request/regionflow.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

auto sumOf(const RegionAmounts &amounts) -> double
{
    auto sum = 0.0;
    for (const auto &[region, amount] : amounts) {
        sum += amount;
    }
    return sum;
}

auto fractionOf(const RegionAmounts &amounts, const std::string &region, double sum) -> double
{
    const auto found = amounts.find(region);
    return found == amounts.end() || sum <= 0 ? 0 : found->second / sum;
}

}

auto regionFlow(const RegionAmounts &demands, const RegionAmounts &capacities, const std::string &region) -> RegionAmounts
{
    const auto capacitySum = sumOf(capacities);
    const auto demandSum = sumOf(demands);
    auto flow = RegionAmounts {};
    if (capacitySum <= 0) {
        return flow;
    }
    const auto demandFraction = fractionOf(demands, region, demandSum);
    const auto capacityFraction = fractionOf(capacities, region, capacitySum);
    const auto inRegionFraction = demandFraction > 0 ? std::min(1.0, capacityFraction / demandFraction) : 0;
    // Demand beyond the region's own capacity is distributed over the other regions in proportion to their spare capacity.
    auto spareCapacities = RegionAmounts {};
    for (const auto &[other, capacity] : capacities) {
        spareCapacities[other] = std::max(0.0, capacity / capacitySum - fractionOf(demands, other, demandSum));
    }
    spareCapacities[region] = 0;
    const auto spareSum = sumOf(spareCapacities);
    for (const auto &[other, spare] : spareCapacities) {
        flow[other] = spareSum > 0 ? (1 - inRegionFraction) * spare / spareSum : 0;
    }
    flow[region] += spareSum > 0 ? inRegionFraction : 1;
    return flow;
}

}
