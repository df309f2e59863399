/** Periodic state exchange with the other declared entry hosts, and detection of hosts that are down. */
#pragma once

#include "connection/peerclients.h"
#include "generated/peer_types.h"
#include "process/exchangeschedule.h"
#include "version/configuration.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lycheecleat
{

/** Time without contact after which a peer is no longer live. In large fleets it is longer, see isLive. */
inline constexpr auto livenessTimeout = absl::Seconds(2);

/** Timeout of one exchange. Covers a new connection and a call between regions 110 ms apart (two round trips) with margin. */
inline constexpr auto exchangeTimeout = absl::Milliseconds(500);

/**
 * Number of exchange threads. At 110 ms an exchange, 32 peers in 500 ms need 7 of them; the maximumSuspectExchanges exchanges with peers that failed
 * last time come on top.
 */
inline constexpr auto exchangeThreads = 10;

/** A declared peer and its last received state. */
struct PeerView
{
    EntryHost host_;
    /** State that the peer sent last; its run is empty if none has been received. */
    peer::HostState state_;
    /** Monotonic time of the last contact: when the peer's state arrived, or when this host sent the exchange to which the peer responded. */
    absl::Time lastSeenAt_ = absl::InfinitePast();
};

/** Whether a peer last seen at a time is live. The timeout is livenessTimeout or four exchange intervals for this number of peers, whichever is longer. */
[[nodiscard]] auto isLive(absl::Time seenAt, absl::Time now, std::size_t peers) -> bool;

/** State received from a peer. */
struct PeerUpdate
{
    peer::HostState state_;
    /** Address for calls to the peer; empty if it is unknown. */
    std::string address_;
    /** When this host sent the exchange to which the peer responded; none if the peer started the exchange. */
    std::optional<absl::Time> sentAt_;
};

/** Dependencies of Membership; all must outlive it. */
struct MembershipServices
{
    /** Declared name of this host. */
    std::string hostName_;
    PeerClients *peers_ = nullptr;
    /** Returns the current state of this host. */
    std::function<peer::HostState()> ownState_;
    /** Called with each state received from a peer, from several threads. */
    std::function<void(const PeerUpdate &)> onUpdate_;
};

/** Exchanges state with all declared peers at regular intervals and records what they send. Thread-safe. */
class Membership
{
public:
    explicit Membership(MembershipServices services);
    ~Membership();
    Membership(const Membership &) = delete;
    auto operator=(const Membership &) -> Membership & = delete;

    /** Starts the exchange threads. */
    auto start() -> void;

    /** Stops the exchange threads. Waits at most for the exchanges in progress. */
    auto stop() -> void;

    /** Sets the declared hosts; this host is skipped. A peer whose declaration changed is not live until it is seen again. */
    auto setHosts(absl::Time now, const std::vector<EntryHost> &hosts) -> void;

    /** Records the state that a peer sent. The sender need not be declared. */
    auto receive(absl::Time now, const peer::HostState &sender) -> void;

    /** Makes exchanges with peers due at once, in a large fleet with a random sample of them, to propagate a change of this host's state. */
    auto triggerExchange(absl::Time now) -> void;

    /** The state that this host sends to peers. */
    [[nodiscard]] auto ownState() const -> peer::HostState;

    /** All declared peers, sorted by name. */
    [[nodiscard]] auto views() const -> std::vector<PeerView>;

    /** Names of the peers that are live at a time. */
    [[nodiscard]] auto liveNames(absl::Time now) const -> std::vector<std::string>;

    /** Processor time used by the exchange threads. Must not be called during start and stop. */
    [[nodiscard]] auto processorTime() -> absl::Duration;

private:
    auto run() -> void;
    auto waitForPeer() -> std::optional<PeerView>;
    auto exchangeWith(const PeerView &peer) -> void;
    auto record(absl::Time seenAt, const peer::HostState &state) -> std::string;

    MembershipServices services_;
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    std::map<std::string, PeerView> views_ ABSL_GUARDED_BY(mutex_);
    ExchangeSchedule schedule_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::thread> threads_;
};

}
