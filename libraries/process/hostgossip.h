/** Gossips heartbeats with other hosts over UDP, detects peers whose records are newer, and carries requests for permits and for admission. */
#pragma once

#include "connection/datagramsocket.h"
#include "core/error.h"
#include "process/fleetstate.h"
#include "process/hosttable.h"
#include "process/permitexchange.h"
#include "process/quotaexchange.h"
#include "request/crashsuspecttable.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lycheecleat
{

/** A peer whose records are newer than those of this host. */
struct NewerPeer
{
    std::string peerAddress_;
    StorePosition asOf_;
};

/** Dependencies of a HostGossip; all must outlive it. */
struct GossipServices
{
    fleet::HostIdentity self_;
    /** Gossip addresses of hosts through which this host discovers the others. */
    std::vector<std::string> seeds_;
    ZoneRegions zones_;
    FleetState *state_ = nullptr;
    std::function<HostStage()> stage_;
    /** Returns the crash records to send. */
    std::function<std::vector<CrashRecord>(absl::Time)> crashRecords_;
    /** Called with each received crash record. */
    std::function<void(absl::Time, const CrashRecord &)> addCrashRecord_;
    /** Returns what is known of backend servers' limits, to send. */
    std::function<std::vector<KnownLimit>(absl::Time)> limits_;
    /** Called with what a peer knows of a limit. */
    std::function<void(const std::string &peer, const KnownLimit &)> addLimit_;
    /** Answers a peer's request for a permit. */
    std::function<fleet::PermitReply(absl::Time, const fleet::PermitRequest &)> answerPermit_;
    /** Called with a peer's answer to a request for a permit. */
    std::function<void(absl::Time, const fleet::PermitReply &)> receivePermit_;
    /** Answers a peer's request for admission within a quota. */
    std::function<fleet::QuotaReply(absl::Time, const fleet::QuotaRequest &)> answerQuota_;
    /** Called with a peer's answer to a request for admission. */
    std::function<void(const fleet::QuotaReply &)> receiveQuota_;
    /** Called when a peer reports records newer than those of this host. */
    std::function<void(const NewerPeer &)> onNewerPeer_;
};

/** Sends and receives heartbeats in a thread of its own. Thread-safe. */
class HostGossip
{
public:
    explicit HostGossip(GossipServices services);
    ~HostGossip();
    HostGossip(const HostGossip &) = delete;
    auto operator=(const HostGossip &) -> HostGossip & = delete;

    /** Binds the socket and starts the thread. Errors: the address cannot be used. */
    [[nodiscard]] auto start() -> Result<void>;
    auto stop() -> void;

    /** Advances this host's heartbeat and sends all heartbeats to a few peers at once, for example when this host starts to leave. */
    auto announceHeartbeats(absl::Time now) -> void;

    /** Notifies a few other hosts of the region that this host has new records, so that they fetch them and notify others in turn. */
    auto announceRecords(absl::Time now) -> void;

    /** Tells hosts of the region at once that this host no longer reaches the store, so that another one watches it. */
    auto announceStoreLoss(absl::Time now) -> void;

    /** Sends a request for a permit to the gossip address of another host. */
    auto sendPermitRequest(const std::string &address, const fleet::PermitRequest &request) -> void;

    /** Sends a request for admission within a quota to the gossip address of another host. */
    auto sendQuotaRequest(const std::string &address, const fleet::QuotaRequest &request) -> void;

    /** The host that issues permits for a backend server: one of the server's zone, of its region if there is none, or else any. */
    [[nodiscard]] auto permitIssuer(absl::Time now, const std::string &zone, const std::string &backend) const -> std::optional<PermitIssuer>;

    /** See HostTable::isInformed(). */
    [[nodiscard]] auto isInformed(absl::Time now) const -> bool;

    /** Whether this host watches the store for its region; see HostTable::watchesStore(). */
    [[nodiscard]] auto watchesStore(absl::Time now) const -> bool;

    /** Other hosts that are alive. */
    [[nodiscard]] auto aliveHosts(absl::Time now) const -> std::vector<KnownHost>;

    /** Hosts that lookup responses may contain, including this one if it is ready. */
    [[nodiscard]] auto readyHosts(absl::Time now) const -> std::vector<KnownHost>;
    /** Hashes of the hosts among which cold allowances are divided; see HostTable::shareHolders(). */
    [[nodiscard]] auto shareHolders(absl::Time now) const -> std::vector<std::uint64_t>;
    /** The hosts among which quotas are divided. The same pointer is returned until one of them changes. */
    [[nodiscard]] auto shareHosts(absl::Time now) const -> ShareHostsPointer;

private:
    auto run() -> void;
    auto tick(absl::Time now) -> void;
    /** Returns whether the registrations have changed. */
    auto refreshRegistrations(absl::Time now) const -> bool;
    auto answerRequests(absl::Time now, const fleet::Gossip &gossip) -> void;
    auto receiveReplies(absl::Time now, const fleet::Gossip &gossip) -> void;
    auto applyGossip(absl::Time now, const std::string &data) -> void;
    auto applyLimits(absl::Time now, const fleet::Gossip &gossip) -> void;
    /** Which heartbeats a datagram contains. */
    enum class Scope {
        /** Those of all hosts. */
        All,
        /** Those of this host's region; hosts of other regions mostly receive these. */
        Region,
        /** None; the datagram reports the revision of the sender's records and its crash records only. */
        None,
    };
    struct Target
    {
        std::string address_;
        Scope scope_;
    };

    auto chooseTargets(absl::Time now) -> std::vector<Target>;
    auto announceHeartbeats(absl::Time now, Scope scope) -> void;
    auto buildGossip(absl::Time now, Scope scope) -> fleet::Gossip;
    /** A message with nothing but the sender and the position of its records. */
    auto buildBareGossip() -> fleet::Gossip;
    auto buildDatagram(absl::Time now, Scope scope) -> std::string;
    auto send(const std::string &address, const std::string &data) -> void;
    auto isInRegion(const KnownHost &host) const -> bool;

    const GossipServices services_;
    /** Zones of this host's region. */
    const std::vector<std::string> regionZones_;
    mutable absl::Mutex mutex_;
    mutable HostTable table_ ABSL_GUARDED_BY(mutex_);
    /** Position of the records from which the registrations in the table were last read; absent before the first time. */
    mutable std::optional<StorePosition> registrationsAsOf_ ABSL_GUARDED_BY(mutex_);
    mutable ShareHostsPointer shareHosts_ ABSL_GUARDED_BY(mutex_);
    mutable absl::Time shareHostsCheckedAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    std::mt19937_64 random_ ABSL_GUARDED_BY(mutex_);
    std::int64_t ticks_ ABSL_GUARDED_BY(mutex_) = 0;
    std::optional<DatagramSocket> socket_;
    std::atomic<bool> stopping_ = false;
    std::thread thread_;
};

}
