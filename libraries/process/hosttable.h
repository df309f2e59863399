/** Which entry hosts are known, alive and ready, from heartbeats that hosts pass on. */
#pragma once

#include "generated/fleet_types.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** What a host says of its readiness. */
enum class HostStage : std::int8_t {
    Starting = 0,
    Ready = 1,
    Leaving = 2,
};

/** One host of the deployment, as this host knows it. */
struct KnownHost
{
    /** Absent until the host itself or the store has told its addresses. */
    std::optional<fleet::HostIdentity> identity_;
    std::int64_t incarnation_ = 0;
    std::int32_t sequence_ = 0;
    HostStage stage_ = HostStage::Starting;
    /** Whether the store answered its last call. */
    bool reachesStore_ = false;
    /** Revision of the store up to which its records are complete, as it last told this host itself. */
    std::int64_t recordsAsOf_ = 0;
    /** Monotonic time at which its heartbeat last advanced. */
    absl::Time lastHeartbeatAt_ = absl::InfinitePast();
    /** Monotonic time at which it was last known to be registered in the store. */
    absl::Time registeredAt_ = absl::InfinitePast();
};

/** Stable hash that names a host in heartbeats. */
[[nodiscard]] auto hostHash(const std::string &name) -> std::int32_t;

/** Table of hosts. Not thread-safe. Times are monotonic. */
class HostTable
{
public:
    explicit HostTable(const fleet::HostIdentity &self);

    /** This host's own heartbeat advances. */
    auto advanceHeartbeat(absl::Time now, HostStage stage, bool reachesStore) -> void;

    /** Takes over the heartbeats of a datagram. */
    auto applyGossip(absl::Time now, const fleet::Gossip &gossip) -> void;

    /** Takes over registrations from the store, which tell addresses but nothing about liveness. */
    auto applyRegistrations(absl::Time now, const std::vector<fleet::HostIdentity> &registered) -> void;

    /** Heartbeats to pass on, of hosts in the given zones, or of all hosts without zones. */
    [[nodiscard]] auto heartbeats(absl::Time now, const std::vector<std::string> &zones = {}) const -> std::vector<fleet::Heartbeat>;

    /**
     * Whether this host is one of those that watch the store for the given zones: of the live hosts there that reach the store, the few that have most
     * processor time, in an order alike everywhere. Without any such host, every host tries.
     */
    [[nodiscard]] auto watchesStore(absl::Time now, const std::vector<std::string> &zones) const -> bool;

    /** Hosts whose heartbeat is recent, without this one. */
    [[nodiscard]] auto alive(absl::Time now) const -> std::vector<KnownHost>;

    /** Hosts that callers may be sent to, including this one if it is ready. */
    [[nodiscard]] auto ready(absl::Time now) const -> std::vector<KnownHost>;

    /** Other hosts whose addresses are known, whether they are alive or not. */
    [[nodiscard]] auto withKnownAddress() const -> std::vector<KnownHost>;

    /**
     * Hashes of all hosts, including this one, that may admit requests: those heard of or registered within the retention time. A host that has
     * just started knows the others by their registrations before it hears them.
     */
    [[nodiscard]] auto shareHolders(absl::Time now) const -> std::vector<std::uint64_t>;

    [[nodiscard]] auto self() const -> const KnownHost &;

private:
    auto applyHeartbeat(absl::Time now, const fleet::Heartbeat &heartbeat) -> void;
    auto logLiveness(absl::Time now) -> void;

    std::int32_t selfHash_;
    std::map<std::int32_t, KnownHost> hosts_;
    /** Hosts that were alive when last logged. */
    std::map<std::int32_t, bool> loggedAlive_;
};

}
