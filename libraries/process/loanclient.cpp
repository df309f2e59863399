#include "process/loanclient.h"

#include "core/digest.h"

#include <algorithm>
#include <tuple>

namespace lycheecleat
{

auto proximityOf(const Configuration &configuration, const std::string &zone, const std::string &otherZone) -> Proximity
{
    if (zone == otherZone) {
        return Proximity::SameZone;
    }
    const auto region = regionOfZone(configuration, zone);
    const auto isSameRegion = !region.empty() && region == regionOfZone(configuration, otherZone);
    return isSameRegion ? Proximity::SameRegion : Proximity::OtherRegion;
}

auto orderLenders(const Configuration &configuration, const std::string &borrower, const std::vector<std::string> &names) -> std::vector<Lender>
{
    const auto *self = findByName(configuration.entryHosts_, borrower);
    const auto zone = self == nullptr ? std::string {} : self->zone_;
    auto lenders = std::vector<Lender> {};
    for (const auto &name : names) {
        const auto *host = findByName(configuration.entryHosts_, name);
        if (host != nullptr && name != borrower) {
            lenders.push_back({ *host, proximityOf(configuration, zone, host->zone_) });
        }
    }
    const auto seed = stableHash(borrower);
    std::sort(lenders.begin(), lenders.end(), [&](const Lender &left, const Lender &right) {
        const auto leftHash = stableHash(left.host_.name_, seed);
        const auto rightHash = stableHash(right.host_.name_, seed);
        return std::tie(left.proximity_, leftHash) < std::tie(right.proximity_, rightHash);
    });
    return lenders;
}

}
