/** Watches the store and the peers for new configuration revisions, validates them and activates them. */
#pragma once

#include "connection/peerclients.h"
#include "connection/storeclient.h"
#include "generated/peer_types.h"
#include "process/currentconfiguration.h"
#include "process/freshnesstracker.h"
#include "process/membership.h"
#include "version/bundle.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lycheecleat
{

/** Number of live hosts per zone that watch the store. */
inline constexpr auto storeWatchersPerZone = 2;

/** Longest time for which the store holds one long poll of the head record. */
inline constexpr auto headWatchTimeout = absl::Seconds(1);

/** Time between two reads of the host list by a host that watches the store. */
inline constexpr auto hostListReadInterval = absl::Seconds(1);

/** The state from which a host decides whether to watch the store. */
struct StoreWatchInputs
{
    /** Current configuration revision; 0 when there is none. */
    std::int64_t revision_ = 0;
    /** Whether the configuration declares this host. */
    bool declared_ = false;
    /** Number of live hosts of the zone that are declared before this one and are not leaving. */
    int precedingLiveHosts_ = 0;
    bool inStoreZone_ = false;
    /** Age of the newest store state that this host knows. */
    absl::Duration storeStateAge_;
    /** Freshness bound of the platform. */
    absl::Duration freshness_;
};

/**
 * Whether a host watches the store. Hosts in the store's zones also do so once their store state is older than half the freshness bound: their
 * report that the store is unreachable decides whether all hosts go on serving keyed requests, so it must be based on calls of their own.
 */
[[nodiscard]] auto shouldWatchStore(const StoreWatchInputs &inputs) -> bool;

/** A revision number and the digest of its head record. */
struct HeadIdentity
{
    std::int64_t revision_ = 0;
    std::string digest_;

    auto operator==(const HeadIdentity &other) const -> bool = default;
};

/** How an offered head compares with the current one. */
enum class HeadComparison {
    Same,
    /** To be fetched, validated and activated. */
    Newer,
    /** Never activated. */
    Older,
    /** Another digest for the same revision: never activated. */
    Conflict,
};

/** Compares an offered head with the current one. */
[[nodiscard]] auto compareHeads(const HeadIdentity &currentHead, const HeadIdentity &offered) -> HeadComparison;

/**
 * Names and addresses of the machines that a host list marks as leaving, sorted. Exchanges carry these instead of backend server names, since peers
 * may have other revisions.
 */
[[nodiscard]] auto leavingMachines(const HostList &list) -> std::vector<std::string>;

/** Names of the backend servers in a configuration whose name or address is among the leaving machines, sorted. */
[[nodiscard]] auto leavingBackendsOf(const std::vector<std::string> &machines, const Configuration &configuration) -> std::vector<std::string>;

/** The store calls that the watcher uses; tests replace them. */
struct StoreReadFunctions
{
    std::function<Result<StoreEntry>(const std::string &key)> get_;
    std::function<Result<StoreEntry>(const std::string &key, std::int64_t knownVersion, absl::Duration wait)> watch_;
    std::function<Result<HostList>()> hostList_;
};

/** The functions of a store client, which must outlive them. */
[[nodiscard]] auto storeReadFunctions(StoreClient &store) -> StoreReadFunctions;

/** The dependencies of the watcher; all must outlive it. */
struct ConfigurationWatcherServices
{
    std::string hostName_;
    std::string zone_;
    StoreReadFunctions store_;
    CurrentConfiguration *configuration_ = nullptr;
    FreshnessTracker *freshness_ = nullptr;
    Membership *membership_ = nullptr;
    PeerClients *peers_ = nullptr;
    /** Prepares the other components for a configuration; called just before it becomes current. */
    std::function<void(const ConfigurationPointer &)> beforeActivation_;
    /** Receives the names of the backend servers that are leaving, whenever they may have changed. */
    std::function<void(std::vector<std::string>)> onLeavingBackends_;
};

/** Counters for metrics. */
struct ConfigurationWatcherCounts
{
    std::int64_t activated_ = 0;
    /** Rejected heads: older, conflicting, damaged or with invalid rules. */
    std::int64_t rejectedHeads_ = 0;
    std::int64_t headWatches_ = 0;
    std::int64_t chunkReads_ = 0;
    std::int64_t hostListReads_ = 0;
    std::int64_t storeFailures_ = 0;
    std::int64_t bundleFetches_ = 0;
};

/**
 * Watches the store, if this host is to do so, and fetches from peers the newer revisions that they announce. Activates revisions in increasing order
 * only, each after its chunks and rules have been checked. Thread-safe.
 */
class ConfigurationWatcher
{
public:
    explicit ConfigurationWatcher(ConfigurationWatcherServices services);
    ~ConfigurationWatcher();
    ConfigurationWatcher(const ConfigurationWatcher &) = delete;
    auto operator=(const ConfigurationWatcher &) -> ConfigurationWatcher & = delete;

    auto start() -> void;

    /** Stops the threads. Waits at most for the calls in progress. */
    auto stop() -> void;

    /**
     * Processes the revision and the host list in a peer's state. Returns whether the peer's state has the current revision and digest, so that the age
     * of its store state also holds for this host.
     */
    auto handlePeerState(const PeerUpdate &update) -> bool;

    /** The current configuration if its revision is at least the given one; otherwise an empty bundle with revision 0. */
    [[nodiscard]] auto bundleFor(std::int64_t revision) const -> peer::ConfigurationBundle;

    /** Names of the backend servers in a configuration that the newest host list marks as leaving. */
    [[nodiscard]] auto leavingBackends(const Configuration &configuration) const -> std::vector<std::string>;

    /** Sets the fields of the state of this host that come from the host list. */
    auto fillHostListState(peer::HostState &state) const -> void;

    [[nodiscard]] auto counts() const -> ConfigurationWatcherCounts;

    /** Processor time of the watcher's threads. Must not be called during start and stop. */
    [[nodiscard]] auto processorTime() -> absl::Duration;

private:
    /** The result of applying an offered configuration. */
    enum class ApplyResult {
        Current,
        Older,
        Rejected,
    };

    /** A peer that has announced a newer revision. */
    struct FetchTarget
    {
        std::string address_;
        std::int64_t revision_ = 0;
    };

    auto watchStore() -> void;
    auto fetchFromPeers() -> void;
    [[nodiscard]] auto shouldWatchStoreAt(absl::Time now) const -> bool;
    auto watchHead() -> void;
    auto handleStoredHead(absl::Time sentAt, std::int64_t revisionBefore, const StoreEntry &entry) -> void;
    [[nodiscard]] auto readChunks(const Head &head) -> Result<Bundle>;
    auto readHostList() -> void;
    auto updateHostList(std::int64_t sequence, const std::vector<std::string> &machines) -> void;
    auto waitForFetchTarget() -> std::optional<FetchTarget>;
    auto fetchFromPeer(const FetchTarget &target) -> void;
    auto apply(Bundle bundle, const std::string &source) -> ApplyResult;
    auto activate(Bundle bundle, const HeadIdentity &identity, const std::string &source) -> ApplyResult;
    auto reportRejection(const char *reason, const HeadIdentity &offered, const std::string &source, const std::string &detail) -> void;
    [[nodiscard]] auto currentHead() const -> HeadIdentity;
    auto pause(absl::Duration time) -> void;
    [[nodiscard]] auto isStopping() const -> bool;

    ConfigurationWatcherServices services_;
    /** Held while a configuration is validated and activated, so that revisions are activated in order. */
    absl::Mutex applyMutex_;
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::shared_ptr<const Bundle> bundle_ ABSL_GUARDED_BY(mutex_) = std::make_shared<const Bundle>();
    std::optional<FetchTarget> fetchTarget_ ABSL_GUARDED_BY(mutex_);
    /** The last head whose rules were invalid; it is not fetched again. */
    HeadIdentity invalidHead_ ABSL_GUARDED_BY(mutex_);
    /** The last rejection, so that a lasting fault isn't logged with every poll. */
    std::string lastRejection_ ABSL_GUARDED_BY(mutex_);
    absl::Time lastRejectionLoggedAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    std::int64_t hostListSequence_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<std::string> leavingMachines_ ABSL_GUARDED_BY(mutex_);
    ConfigurationWatcherCounts counts_ ABSL_GUARDED_BY(mutex_);
    /** Store version of the head last read; used only by the thread that watches the store. */
    std::int64_t lastHeadVersion_ = 0;
    /** Used only by the thread that watches the store. */
    absl::Time hostListReadAt_ = absl::InfinitePast();
    std::vector<std::thread> threads_;
};

}
