/** This host's shares of rates, caps and slots, with the loans it has given and taken. */
#pragma once

#include "connection/peerclients.h"
#include "generated/peer_types.h"
#include "version/configuration.h"

#include <absl/time/time.h>

#include <memory>
#include <optional>
#include <string>

namespace lycheecleat
{

/** Permission to run one request on one backend server until a deadline. */
struct SlotGrant
{
    std::string pool_;
    BackendServer backend_;
    /** Monotonic time after which the backend server must have stopped the request. */
    absl::Time deadline_;
    /** Identifies the grant to the ShareKeeper that gave it. */
    std::uint64_t id_ = 0;
};

/** Which backend servers of a pool may be chosen for a request. */
struct SlotRequest
{
    std::string pool_;
    std::string organisation_;
    /** Region to take a slot in; empty: own zone, then own region, then other regions. */
    std::string region_;
    /** Backend servers to leave out: drained, leaving, ejected, or already tried. */
    std::vector<std::string> excludedBackends_;
    /** Monotonic time by which the request must be done. */
    absl::Time deadline_;
    /** Longest wait for a slot. */
    absl::Time waitUntil_;
};

/** Limit name of an organisation's rate. */
[[nodiscard]] auto organisationLimit(const std::string &organisation) -> std::string;

/** Limit name of a shift's cap. */
[[nodiscard]] auto shiftLimit(const std::string &shift) -> std::string;

/** Keeps shares in shards, each under its own lock, and borrows from peers when a share runs out. Thread-safe. Times are monotonic. */
class ShareKeeper
{
public:
    /** The host's declared name, the time at which the process started, and the means to call peers. */
    ShareKeeper(std::string hostName, absl::Time startedAt, PeerClients *peers);
    ~ShareKeeper();
    ShareKeeper(const ShareKeeper &) = delete;
    auto operator=(const ShareKeeper &) -> ShareKeeper & = delete;

    /** Takes over a configuration. Shares that shrink do so at once; shares that grow wait for the freshness bound and the margin. */
    auto configure(absl::Time now, ConfigurationPointer configuration) -> void;

    /** Takes one token of a limit, borrowing if needed; false when the limit is used up. */
    [[nodiscard]] auto takeToken(absl::Time now, const std::string &limit) -> bool;

    /** Takes a slot, waiting and borrowing if needed; none when there is none in time. */
    [[nodiscard]] auto takeSlot(absl::Time now, const SlotRequest &request) -> std::optional<SlotGrant>;

    /** Gives a slot back. With certainlyEnded false, the backend server may still be busy, and the slot stays in use until the grant's deadline. */
    auto returnSlot(absl::Time now, const SlotGrant &grant, bool certainlyEnded) -> void;

    /** Answers a peer that asks for part of a rate share. */
    [[nodiscard]] auto lendRate(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &limit, double rate, double burst)
        -> peer::RateLoan;

    /** Answers a peer that asks for slots of a pool. */
    [[nodiscard]] auto lendSlots(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &pool, int count) -> peer::SlotLoan;

private:
    struct State;
    std::unique_ptr<State> state_;
};

}
