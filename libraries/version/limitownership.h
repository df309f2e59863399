/** Which entry host owns which part of each counted limit and which slots of each backend server. */
#pragma once

#include "version/configuration.h"

#include <string>
#include <vector>

namespace lycheecleat
{

/** A rate with its burst: a whole limit or one host's part of it. */
struct RateShare
{
    /** Tokens a second. */
    double rate_ = 0;
    double burst_ = 0;

    auto operator==(const RateShare &other) const -> bool = default;
};

/** The part of a limit that one declared entry host owns. */
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
 * Splits a limit over owners. Bursts are whole numbers as far as possible, since a bucket with a burst below 1 never admits a request;
 * when the burst has fewer than four tokens for each owner, the last owners get nothing and borrow. The parts add up exactly to the limit.
 */
[[nodiscard]] auto splitLimit(const std::vector<std::string> &owners, const RateShare &limit) -> std::vector<HostShare>;

/** The entry hosts of a region that serve an organisation, best first. Includes drained hosts; empty for an unknown organisation or region. */
[[nodiscard]] auto organisationHosts(const Configuration &configuration, const std::string &organisation, const std::string &region) -> std::vector<EntryHost>;

/** The parts of an organisation's rate and burst. */
[[nodiscard]] auto organisationShares(const Configuration &configuration, const Organisation &organisation) -> std::vector<HostShare>;

/**
 * The rate and burst that keep a shift within its cap. Both together allow no more than the cap in any window of at least one second
 * (ten seconds divided by the cap, when the cap is below 10/s).
 */
[[nodiscard]] auto shiftLimitOf(const Shift &shift) -> RateShare;

/** The parts of a shift's cap. They belong to the hosts of the region that requests leave, or to all hosts when that region has none. */
[[nodiscard]] auto shiftShares(const Configuration &configuration, const Shift &shift) -> std::vector<HostShare>;

/** The hosts that own a backend server's slots, by rank: slot i belongs to the host of rank i modulo their number. */
[[nodiscard]] auto slotOwners(const Configuration &configuration, const BackendServer &backend) -> std::vector<std::string>;

/** The slots of each backend server of a pool that a host owns; backend servers of which it owns none are included with 0. */
[[nodiscard]] auto slotsOwned(const Configuration &configuration, const Pool &pool, const std::string &host) -> std::vector<SlotOwnership>;

}
