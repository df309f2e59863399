/** Membership of the deployment: which entry hosts are known, alive and ready, according to gossiped heartbeats. */
#pragma once

#include "generated/fleet_types.h"
#include "request/quotapartition.h"
#include "version/fleetview.h"
#include "version/storeposition.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Readiness that a host reports in its heartbeats. */
enum class HostStage : std::int8_t {
    Starting = 0,
    Ready = 1,
    Leaving = 2,
};

/** Largest incarnation, far above the milliseconds since the epoch that hosts use. A host can still exceed one that it hears of itself. */
inline constexpr auto maximumIncarnation = std::int64_t { 1 } << 53;

/** State of one host of the deployment, as last received by this host. */
struct KnownHost
{
    /** Absent until it is received from the host itself or from its registration in the store. */
    std::optional<fleet::HostIdentity> identity_;
    std::int64_t incarnation_ = 0;
    std::int32_t sequence_ = 0;
    HostStage stage_ = HostStage::Starting;
    /** Whether its last store call succeeded. */
    bool reachesStore_ = false;
    /** Position of the store up to which its records are complete, as last received directly from it. */
    StorePosition recordsAsOf_;
    /** Monotonic time at which its heartbeat last advanced. */
    absl::Time lastHeartbeatAt_ = absl::InfinitePast();
    /** Monotonic time at which its registration was last read from the records. */
    absl::Time registeredAt_ = absl::InfinitePast();
};

/** Stable hash that identifies a host in heartbeats. */
[[nodiscard]] auto hostHash(const std::string &name) -> std::int32_t;

/** Table of hosts. Not thread-safe. Times are monotonic. */
class HostTable
{
public:
    explicit HostTable(const fleet::HostIdentity &self);

    /** Advances this host's own heartbeat. */
    auto advanceHeartbeat(absl::Time now, HostStage stage, bool reachesStore) -> void;

    /** Merges the heartbeats of a datagram. Of two heartbeats of a host, the one with the higher incarnation and sequence number wins. */
    auto applyGossip(absl::Time now, const fleet::Gossip &gossip) -> void;

    /** Merges registrations from the store. They contain addresses, but do not show whether a host is alive. */
    auto applyRegistrations(absl::Time now, const std::vector<fleet::HostIdentity> &registered) -> void;

    /** Heartbeats to send: those of live hosts in the given zones, or of all live hosts if no zone is given. */
    [[nodiscard]] auto heartbeats(absl::Time now, const std::vector<std::string> &zones = {}) const -> std::vector<fleet::Heartbeat>;

    /**
     * Whether this host is one of the few that watch the store for the given zones. These are the hosts with the most available processor time among the
     * live hosts there that reach the store and are not leaving; every host ranks them the same way. If there is no such host, every host watches the store.
     */
    [[nodiscard]] auto watchesStore(absl::Time now, const std::vector<std::string> &zones) const -> bool;

    /** Other hosts with a recent heartbeat and a known identity. */
    [[nodiscard]] auto alive(absl::Time now) const -> std::vector<KnownHost>;

    /** Hosts that lookup responses may contain, including this one if it is ready. */
    [[nodiscard]] auto ready(absl::Time now) const -> std::vector<KnownHost>;

    /** Other hosts whose addresses are known, whether they are alive or not. */
    [[nodiscard]] auto withKnownAddress() const -> std::vector<KnownHost>;

    /**
     * Hashes of all hosts that may admit requests, including this one: those with a heartbeat or a registration received within the retention time.
     * A host that has just started counts the others by their registrations before it receives their heartbeats.
     */
    [[nodiscard]] auto shareHolders(absl::Time now) const -> std::vector<std::uint64_t>;

    /** The same hosts with their places and addresses, for limits that few of them hold. */
    [[nodiscard]] auto shareHosts(absl::Time now, const ZoneRegions &zones) const -> ShareHosts;

    /**
     * The host that issues permits for a backend server: the first ready one in the server's order among the live hosts of the given zones, or this one if it
     * is ready there. None if there is no such host.
     */
    [[nodiscard]] auto permitIssuer(absl::Time now, const std::vector<std::string> &zones, std::uint64_t backendHash) const
        -> std::optional<fleet::HostIdentity>;

    /** Whether this host has listened for long enough, without a gap, to know which hosts are alive. */
    [[nodiscard]] auto isInformed(absl::Time now) const -> bool;

    [[nodiscard]] auto self() const -> const KnownHost &;

private:
    [[nodiscard]] auto holdsShare(absl::Time now, std::int32_t hash, const KnownHost &host) const -> bool;
    auto applyHeartbeat(absl::Time now, const fleet::Heartbeat &heartbeat) -> void;
    auto logLiveness(absl::Time now) -> void;

    std::int32_t selfHash_;
    /** Since when this host has advanced its heartbeat without a gap. */
    absl::Time listeningSince_ = absl::InfiniteFuture();
    std::map<std::int32_t, KnownHost> hosts_;
    /** Whether each host was alive when its liveness was last logged. */
    std::map<std::int32_t, bool> loggedAlive_;
};

}
