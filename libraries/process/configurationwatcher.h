/** Follows the store and the peers for new configuration revisions and puts them in force. */
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

/** Live hosts of each zone that follow the store. */
inline constexpr auto storeWatchersPerZone = 2;

/** Longest wait of one long poll of the head record. */
inline constexpr auto headWatchTimeout = absl::Seconds(1);

/** Time between two readings of the host list by a follower. */
inline constexpr auto hostListReadInterval = absl::Seconds(1);

/** What decides whether a host follows the store. */
struct StoreWatchInputs
{
    /** Revision in force; 0 when none is. */
    std::int64_t revision_ = 0;
    /** Whether the configuration declares this host. */
    bool declared_ = false;
    /** Live hosts of the zone that are declared before this one and are not leaving. */
    int precedingLiveHosts_ = 0;
    bool inStoreZone_ = false;
    absl::Duration knowledgeAge_;
    absl::Duration freshness_;
};

/**
 * Whether a host follows the store. Hosts in the store's zones also do so once their knowledge is older than half the freshness bound:
 * their report that the store is unreachable decides whether keyed service goes on everywhere, so it must come from a try of their own.
 */
[[nodiscard]] auto shouldWatchStore(const StoreWatchInputs &inputs) -> bool;

/** A revision with the digest of its head record. */
struct HeadIdentity
{
    std::int64_t revision_ = 0;
    std::string digest_;

    auto operator==(const HeadIdentity &other) const -> bool = default;
};

/** How an offered head compares with the one in force. */
enum class HeadComparison {
    Same,
    /** To be fetched, checked and put in force. */
    Newer,
    /** Never put in force. */
    Older,
    /** Another digest for the same revision: never put in force. */
    Conflict,
};

/** Compares an offered head with the one in force. */
[[nodiscard]] auto compareHeads(const HeadIdentity &currentHead, const HeadIdentity &offered) -> HeadComparison;

/** Names and addresses of the machines that a host list shows as leaving, sorted. Exchanged as they are, since peers may hold other revisions. */
[[nodiscard]] auto leavingMachines(const HostList &list) -> std::vector<std::string>;

/** Names of the configuration's backend servers whose name or address is among the leaving machines. */
[[nodiscard]] auto leavingBackendsOf(const std::vector<std::string> &machines, const Configuration &configuration) -> std::vector<std::string>;

/** The store calls that the follower needs, so that tests can stand in for the store. */
struct StoreReadFunctions
{
    std::function<Result<StoreEntry>(const std::string &key)> get_;
    std::function<Result<StoreEntry>(const std::string &key, std::int64_t knownVersion, absl::Duration wait)> watch_;
    std::function<Result<HostList>()> hostList_;
};

/** The functions of a client, which outlives them. */
[[nodiscard]] auto storeReadFunctions(StoreClient &store) -> StoreReadFunctions;

/** What the follower needs; all outlive it. */
struct ConfigurationWatcherServices
{
    std::string hostName_;
    std::string zone_;
    StoreReadFunctions store_;
    CurrentConfiguration *configuration_ = nullptr;
    FreshnessTracker *knowledge_ = nullptr;
    Membership *membership_ = nullptr;
    PeerClients *peers_ = nullptr;
    /** Prepares the other parts for a configuration, just before it is put in force. */
    std::function<void(const ConfigurationPointer &)> beforeActivation_;
    /** Takes the names of the backend servers that are leaving, when they may have changed. */
    std::function<void(std::vector<std::string>)> onLeavingBackends_;
};

/** Counts, for metrics. */
struct ConfigurationWatcherCounts
{
    std::int64_t activated_ = 0;
    /** Heads that were refused because they were older, conflicting or wrong. */
    std::int64_t rejectedHeads_ = 0;
    std::int64_t headWatches_ = 0;
    std::int64_t chunkReads_ = 0;
    std::int64_t hostListReads_ = 0;
    std::int64_t storeFailures_ = 0;
    std::int64_t bundleFetches_ = 0;
};

/** Follows the store and the peers. Thread-safe. */
class ConfigurationWatcher
{
public:
    explicit ConfigurationWatcher(ConfigurationWatcherServices services);
    ~ConfigurationWatcher();
    ConfigurationWatcher(const ConfigurationWatcher &) = delete;
    auto operator=(const ConfigurationWatcher &) -> ConfigurationWatcher & = delete;

    auto start() -> void;

    /** Ends the threads. Waits at most for the calls in progress. */
    auto stop() -> void;

    /** Takes what a peer said of its revision and of the host list. Says whether the peer's knowledge age counts for this host. */
    auto handlePeerState(const PeerUpdate &news) -> bool;

    /** The configuration in force for a peer that wants at least this revision; revision 0 when this host doesn't have it. */
    [[nodiscard]] auto bundleFor(std::int64_t revision) const -> peer::ConfigurationBundle;

    /** Names of the backend servers that the newest host list shows as leaving, under a configuration. */
    [[nodiscard]] auto leavingBackends(const Configuration &configuration) const -> std::vector<std::string>;

    /** Fills in the host list's part of this host's state. */
    auto fillHostListState(peer::HostState &state) const -> void;

    [[nodiscard]] auto counts() const -> ConfigurationWatcherCounts;

    /** Processor time of the threads that follow. Not to be called during start and stop. */
    [[nodiscard]] auto processorTime() -> absl::Duration;

private:
    /** What became of an offered configuration. */
    enum class ApplyResult {
        Current,
        Older,
        Rejected,
    };

    /** A peer that has a newer revision. */
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
    /** Held while a configuration is checked and put in force, so that revisions come in order. */
    absl::Mutex applyMutex_;
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::shared_ptr<const Bundle> bundle_ ABSL_GUARDED_BY(mutex_) = std::make_shared<const Bundle>();
    std::optional<FetchTarget> fetchTarget_ ABSL_GUARDED_BY(mutex_);
    /** A head that failed its check; it is not fetched again. */
    HeadIdentity invalidHead_ ABSL_GUARDED_BY(mutex_);
    /** The last alarm, so that a lasting fault is logged once and not with every poll. */
    std::string lastRejection_ ABSL_GUARDED_BY(mutex_);
    absl::Time lastRejectionLoggedAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    std::int64_t hostListSequence_ ABSL_GUARDED_BY(mutex_) = 0;
    std::vector<std::string> leavingMachines_ ABSL_GUARDED_BY(mutex_);
    ConfigurationWatcherCounts counts_ ABSL_GUARDED_BY(mutex_);
    /** Store version of the head last read; used by the store thread only. */
    std::int64_t knownVersion_ = 0;
    /** Used by the store thread only. */
    absl::Time hostListReadAt_ = absl::InfinitePast();
    std::vector<std::thread> threads_;
};

}
