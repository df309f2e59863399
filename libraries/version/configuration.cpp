#include "version/configuration.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

auto hasDrain(const Configuration &configuration, DrainTarget kind, const std::string &target) -> bool
{
    return std::any_of(configuration.drains_.begin(), configuration.drains_.end(), [&](const Drain &drain) {
        return drain.targetKind_ == kind && drain.target_ == target;
    });
}

}

auto regionOfZone(const Configuration &configuration, const std::string &zone) -> std::string
{
    for (const auto &region : configuration.regions_) {
        if (std::find(region.zones_.begin(), region.zones_.end(), zone) != region.zones_.end()) {
            return region.name_;
        }
    }
    return {};
}

auto isDrained(const Configuration &configuration, const BackendServer &backend) -> bool
{
    return hasDrain(configuration, DrainTarget::Backend, backend.name_) || hasDrain(configuration, DrainTarget::Zone, backend.zone_);
}

auto isDrained(const Configuration &configuration, const EntryHost &host) -> bool
{
    return hasDrain(configuration, DrainTarget::EntryHost, host.name_) || hasDrain(configuration, DrainTarget::Zone, host.zone_);
}

}
