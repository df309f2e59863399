/** Status responses of a daemon's administration API, and which zones have applied a revision. */
#pragma once

#include "core/error.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** A peer whose state was received longer ago counts as stopped if the daemon does not report the peer's liveness. Peers exchange state every 500 ms. */
inline constexpr auto peerLivenessTimeout = absl::Seconds(3);

/** The state of a peer that a daemon last received. */
struct PeerStatus
{
    std::string name_;
    std::string zone_;
    std::int64_t revision_ = 0;
    /** Time since the daemon last received the peer's state. */
    absl::Duration age_ = absl::ZeroDuration();
    /** Liveness as reported by the daemon, whose exchange interval may differ from the default; absent when it is not reported. */
    std::optional<bool> isLive_ = std::nullopt;

    auto operator==(const PeerStatus &other) const -> bool = default;
};

/** The response to `GET /v1/status`. */
struct HostStatus
{
    std::string host_;
    std::string zone_;
    std::int64_t revision_ = 0;
    std::vector<PeerStatus> peers_;

    auto operator==(const HostStatus &other) const -> bool = default;
};

/** The response to `POST /v1/withdrawals`. */
struct WithdrawalStatus
{
    /** Whether hosts in more than half of the zones have stored the withdrawal, or the configuration contains it. */
    bool accepted_ = false;
    std::vector<std::string> confirmedZones_;
    std::vector<std::string> zones_;

    auto operator==(const WithdrawalStatus &other) const -> bool = default;
};

/** Parses a status response. Errors: malformed text. */
[[nodiscard]] auto parseHostStatus(const std::string &text) -> Result<HostStatus>;

/** Parses a withdrawal response. Errors: malformed text. */
[[nodiscard]] auto parseWithdrawalStatus(const std::string &text) -> Result<WithdrawalStatus>;

/** The zones without a live host, or with a live host that has an older revision, in the order of `zones`. */
[[nodiscard]] auto unconfirmedZones(const std::vector<std::string> &zones, const std::vector<HostStatus> &statuses, std::int64_t revision)
    -> std::vector<std::string>;

}
