/** Exchanges state with the other declared entry hosts and knows which of them are live. */
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

/** Time without a sign of life after which a peer is taken to be gone. */
inline constexpr auto livenessTimeout = absl::Seconds(2);

/** Longest time of one exchange. Covers a new connection and a call between regions 110 ms apart (two round trips) with margin. */
inline constexpr auto exchangeTimeout = absl::Milliseconds(500);

/** Threads that exchange. At 110 ms an exchange, 32 peers in 500 ms need 7 of them; the suspects' share comes on top. */
inline constexpr auto exchangeThreads = 10;

/** What is known of a declared peer. */
struct PeerView
{
    EntryHost host_;
    /** What the peer last said; its run is empty when it has never been heard. */
    peer::HostState state_;
    /** Monotonic time of the last sign of life. */
    absl::Time lastSeenAt_ = absl::InfinitePast();
};

/** Whether a peer heard at a time is live, in a fleet with this number of peers. */
[[nodiscard]] auto isLive(absl::Time seenAt, absl::Time now, std::size_t peers) -> bool;

/** Something heard from a peer. */
struct PeerUpdate
{
    peer::HostState state_;
    /** Address for calls to the peer; empty when it is not known. */
    std::string address_;
    /** When this host sent the exchange that the peer answered; none when the peer sent the exchange. */
    std::optional<absl::Time> sentAt_;
};

/** What the membership needs; all outlive it. */
struct MembershipServices
{
    /** Declared name of this host. */
    std::string hostName_;
    PeerClients *peers_ = nullptr;
    /** Gives this host's present state. */
    std::function<peer::HostState()> ownState_;
    /** Takes what was heard. Called from several threads. */
    std::function<void(const PeerUpdate &)> onUpdate_;
};

/** Keeps up the exchanges. Thread-safe. */
class Membership
{
public:
    explicit Membership(MembershipServices services);
    ~Membership();
    Membership(const Membership &) = delete;
    auto operator=(const Membership &) -> Membership & = delete;

    /** Starts the threads that exchange. */
    auto start() -> void;

    /** Ends them. Waits at most for the exchanges in progress. */
    auto stop() -> void;

    /** Takes over the declared hosts; this host is left out. */
    auto setHosts(absl::Time now, const std::vector<EntryHost> &hosts) -> void;

    /** Takes what a peer sent. */
    auto receive(absl::Time now, const peer::HostState &sender) -> void;

    /** Exchanges with peers at once, since this host has something new to say. */
    auto triggerExchange(absl::Time now) -> void;

    /** What this host tells peers. */
    [[nodiscard]] auto ownState() const -> peer::HostState;

    /** All declared peers, by name. */
    [[nodiscard]] auto views() const -> std::vector<PeerView>;

    /** Names of the peers that are live at a time. */
    [[nodiscard]] auto liveNames(absl::Time now) const -> std::vector<std::string>;

    /** Processor time of the threads that exchange. Not to be called during start and stop. */
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
