#include "request/quotapartition.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <map>
#include <tuple>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Requests of a window that one holder should have, so that chance seldom exhausts it while others have room. */
constexpr auto preferredPart = std::int64_t { 16 };

/** Holders that one host asks, by their distance. */
constexpr auto maximumZoneHolders = std::size_t { 6 };
constexpr auto maximumRegionHolders = std::size_t { 6 };
constexpr auto maximumRemoteHolders = std::size_t { 12 };

/** Divides a quota into parts in proportion to counts, which are consumed one after the other; the parts add up to the quota. */
class ProportionalParts
{
public:
    /** The offset decides which parts the remainders go to. */
    ProportionalParts(std::int64_t quota, std::int64_t totalCount, std::uint64_t offset)
        : quota_(quota)
        , totalCount_(totalCount)
        , offset_(static_cast<std::int64_t>(offset % static_cast<std::uint64_t>(totalCount)))
    {
    }

    auto next(std::int64_t count) -> std::int64_t
    {
        const auto begin = upTo(consumed_);
        consumed_ += count;
        return upTo(consumed_) - begin;
    }

private:
    [[nodiscard]] auto upTo(std::int64_t count) const -> std::int64_t
    {
        return (quota_ * count + offset_) / totalCount_;
    }

    std::int64_t quota_;
    std::int64_t totalCount_;
    std::int64_t offset_;
    std::int64_t consumed_ = 0;
};

auto distanceOf(const ShareHost &holder, const ShareHost &asker) -> HolderDistance
{
    if (holder.hash_ == asker.hash_) {
        return HolderDistance::Self;
    }
    if (holder.zone_ == asker.zone_) {
        return HolderDistance::Zone;
    }
    return holder.region_ == asker.region_ ? HolderDistance::Region : HolderDistance::Remote;
}

auto maximumHolders(HolderDistance distance) -> std::size_t
{
    switch (distance) {
    case HolderDistance::Self:
        return 0;
    case HolderDistance::Zone:
        return maximumZoneHolders;
    case HolderDistance::Region:
        return maximumRegionHolders;
    case HolderDistance::Remote:
        return maximumRemoteHolders;
    }
    return 0;
}

}

auto partitionQuota(std::int64_t quota, const ShareHosts &hosts, std::uint64_t organisation) -> std::vector<QuotaHolder>
{
    auto holders = std::vector<QuotaHolder> {};
    auto zones = std::map<std::string, std::vector<const ShareHost *>> {};
    for (const auto &host : hosts) {
        zones[host.zone_].push_back(&host);
    }
    if (zones.empty()) {
        return holders;
    }
    auto parts = ProportionalParts(quota, static_cast<std::int64_t>(hosts.size()), organisation);
    for (auto &[zone, zoneHosts] : zones) {
        const auto size = static_cast<std::int64_t>(zoneHosts.size());
        const auto part = parts.next(size);
        if (part <= 0) {
            continue;
        }
        const auto holderCount = std::clamp(part / preferredPart, std::int64_t { 1 }, size);
        std::partial_sort(zoneHosts.begin(), zoneHosts.begin() + holderCount, zoneHosts.end(), [&](const ShareHost *left, const ShareHost *right) {
            return std::pair(rendezvousRank(left->hash_, organisation), left->hash_) < std::pair(rendezvousRank(right->hash_, organisation), right->hash_);
        });
        for (auto index = std::int64_t { 0 }; index < holderCount; ++index) {
            const auto limit = part / holderCount + (index < part % holderCount ? 1 : 0);
            holders.push_back({ *zoneHosts[static_cast<std::size_t>(index)], limit });
        }
    }
    return holders;
}

auto partOf(const std::vector<QuotaHolder> &holders, std::uint64_t host) -> std::int64_t
{
    const auto found = std::find_if(holders.begin(), holders.end(), [&](const QuotaHolder &holder) {
        return holder.host_.hash_ == host;
    });
    return found == holders.end() ? 0 : found->limit_;
}

auto holdersToAsk(const std::vector<QuotaHolder> &holders, const ShareHost &asker, std::uint64_t organisation) -> std::vector<QuotaHolder>
{
    using Candidate = std::tuple<HolderDistance, std::uint64_t, const QuotaHolder *>;
    auto candidates = std::vector<Candidate> {};
    for (const auto &holder : holders) {
        const auto distance = distanceOf(holder.host_, asker);
        if (distance != HolderDistance::Self && !holder.host_.address_.empty()) {
            candidates.emplace_back(distance, rendezvousRank(holder.host_.hash_, organisation ^ asker.hash_), &holder);
        }
    }
    std::sort(candidates.begin(), candidates.end());
    auto asked = std::vector<QuotaHolder> {};
    auto counts = std::array<std::size_t, static_cast<std::size_t>(HolderDistance::Remote) + 1> {};
    for (const auto &[distance, rank, holder] : candidates) {
        auto &count = counts[static_cast<std::size_t>(distance)];
        if (count < maximumHolders(distance)) {
            count += 1;
            asked.push_back({ holder->host_, holder->limit_, distance });
        }
    }
    return asked;
}

}
