/** Divides an organisation's fleet quota among hosts. A few hosts of each zone hold it, so that each holds enough for uneven demand; the others ask them. */
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace lycheecleat
{

/** A host among which limits are divided. */
struct ShareHost
{
    /** Stable hash of the host's name. */
    std::uint64_t hash_ = 0;
    /** Empty while it is not known. */
    std::string zone_ = {};
    std::string region_ = {};
    /** Address for datagrams; empty while it is not known. */
    std::string address_ = {};
    /** Whether the host may respond: it is alive, or nothing has been heard of it yet. */
    bool mayRespond_ = true;
    /** Whether it has run for much longer than the host that has this list. */
    bool isEstablished_ = false;

    auto operator==(const ShareHost &other) const -> bool = default;
};

using ShareHosts = std::vector<ShareHost>;
using ShareHostsPointer = std::shared_ptr<const ShareHosts>;

/** How far a holder is from a host that asks it. */
enum class HolderDistance {
    Self,
    Zone,
    Region,
    Remote,
};

/** A host that holds a part of a quota. */
struct QuotaHolder
{
    ShareHost host_;
    /** Requests of a window that it may admit. */
    std::int64_t limit_ = 0;
    HolderDistance distance_ = HolderDistance::Self;

    auto operator==(const QuotaHolder &other) const -> bool = default;
};

/**
 * All holders of a quota. Each zone has a part in proportion to its hosts, held by as few of them as its size allows. The parts add up to the quota, and every
 * host with the same host list computes the same ones. Distances are not set.
 */
[[nodiscard]] auto partitionQuota(std::int64_t quota, const ShareHosts &hosts, std::uint64_t organisation) -> std::vector<QuotaHolder>;

/** The part of one host; 0 if it is no holder. */
[[nodiscard]] auto partOf(const std::vector<QuotaHolder> &holders, std::uint64_t host) -> std::int64_t;

/**
 * The holders that a host asks, nearest first, without itself. Hosts ask the holders of a zone in different orders, and only a few of the many holders of a
 * large quota.
 */
[[nodiscard]] auto holdersToAsk(const std::vector<QuotaHolder> &holders, const ShareHost &asker, std::uint64_t organisation) -> std::vector<QuotaHolder>;

}
