/** What a daemon's administration API says about itself and its peers, and which zones have adopted a revision. */
#pragma once

#include "core/error.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Peers not heard for longer than this are taken for stopped if the daemon does not say; peers exchange every 500 ms. */
inline constexpr auto peerLivenessTimeout = absl::Seconds(3);

/** A peer as one daemon last heard it. */
struct PeerStatus
{
    std::string name_;
    std::string zone_;
    std::int64_t revision_ = 0;
    /** Time since the daemon last heard the peer. */
    absl::Duration age_ = absl::ZeroDuration();
    /** What the daemon says, which knows how often it hears its peers; absent when it does not say. */
    std::optional<bool> isLive_ = std::nullopt;

    auto operator==(const PeerStatus &other) const -> bool = default;
};

/** The answer to `GET /v1/status`. */
struct HostStatus
{
    std::string host_;
    std::string zone_;
    std::int64_t revision_ = 0;
    std::vector<PeerStatus> peers_;

    auto operator==(const HostStatus &other) const -> bool = default;
};

/** The answer to `POST /v1/withdrawals`. */
struct WithdrawalStatus
{
    /** Whether hosts in more than half of the zones hold the withdrawal, or the configuration shows it. */
    bool accepted_ = false;
    std::vector<std::string> confirmedZones_;
    std::vector<std::string> zones_;

    auto operator==(const WithdrawalStatus &other) const -> bool = default;
};

/** Parses a status. Errors: malformed text. */
[[nodiscard]] auto parseHostStatus(const std::string &text) -> Result<HostStatus>;

/** Parses a withdrawal's answer. Errors: malformed text. */
[[nodiscard]] auto parseWithdrawalStatus(const std::string &text) -> Result<WithdrawalStatus>;

/** The zones in which no live host is known, or a live host has an older revision. In the order of `zones`. */
[[nodiscard]] auto unconfirmedZones(const std::vector<std::string> &zones, const std::vector<HostStatus> &statuses, std::int64_t revision)
    -> std::vector<std::string>;

}
