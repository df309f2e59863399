/** Static partitioning of rate limits and backend slots among entry hosts. */
#pragma once

#include "version/configuration.h"

#include <string>
#include <vector>

namespace lycheecleat
{

/** Token bucket parameters of a whole limit or of one host's share. */
struct RateShare
{
    /** Tokens per second. */
    double rate_ = 0;
    double burst_ = 0;

    auto operator==(const RateShare &other) const -> bool = default;
};

/** The share of a limit that a declared entry host owns. */
struct HostShare
{
    std::string host_;
    RateShare share_;

    auto operator==(const HostShare &other) const -> bool = default;
};

/** The slots of one backend server that one entry host owns. */
struct SlotOwnership
{
    BackendServer backend_;
    int slots_ = 0;

    auto operator==(const SlotOwnership &other) const -> bool = default;
};

/**
 * Splits a limit among owners, in their order. Bursts are whole numbers, since a bucket with a burst below 1 never admits a request; only the first owner's
 * burst includes the fractional part of the limit's burst. If the burst has fewer than four tokens per owner, the last owners get a share of zero and have to
 * borrow. The shares add up exactly to the limit.
 */
[[nodiscard]] auto splitLimit(const std::vector<std::string> &owners, const RateShare &limit) -> std::vector<HostShare>;

/**
 * The entry hosts of a region among which an organisation's limit is split, highest-ranked first. Includes drained hosts; empty for an unknown organisation
 * or region.
 */
[[nodiscard]] auto organisationHosts(const Configuration &configuration, const std::string &organisation, const std::string &region) -> std::vector<EntryHost>;

/** The hosts' shares of an organisation's rate and burst. */
[[nodiscard]] auto organisationShares(const Configuration &configuration, const Organisation &organisation) -> std::vector<HostShare>;

/**
 * The token bucket parameters that keep a shift within its cap. They admit no more than the cap in any window of at least one second (ten seconds
 * divided by the cap if the cap is below 10/s).
 */
[[nodiscard]] auto shiftLimitOf(const Shift &shift) -> RateShare;

/** The hosts' shares of a shift's cap. The hosts of the source region own them, or all hosts if that region has none. */
[[nodiscard]] auto shiftShares(const Configuration &configuration, const Shift &shift) -> std::vector<HostShare>;

/**
 * The hosts that own a backend server's slots, in rank order: slot i belongs to the host with rank i modulo the number of hosts. These are the hosts of
 * its zone; if there are none, those of its region; else all hosts.
 */
[[nodiscard]] auto slotOwners(const Configuration &configuration, const BackendServer &backend) -> std::vector<std::string>;

/** The number of slots that a host owns on each backend server of a pool; backend servers on which it owns none are included with 0. */
[[nodiscard]] auto slotsOwned(const Configuration &configuration, const Pool &pool, const std::string &host) -> std::vector<SlotOwnership>;

}
