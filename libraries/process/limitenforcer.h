/** This host's shares of rates, caps and slots, with the loans it has given and taken. */
#pragma once

#include "connection/peerclients.h"
#include "generated/peer_types.h"
#include "process/loanclient.h"
#include "process/ratelimiter.h"
#include "process/slotallocator.h"
#include "process/slotgrant.h"
#include "version/configuration.h"

#include <absl/time/time.h>

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace lycheecleat
{

/**
 * Keeps shares in shards, each under its own lock, and borrows from peers when a share runs out. Thread-safe. Times are monotonic.
 *
 * The first configuration of a run counts as a growth from nothing, so a restarted host outwaits the loans and requests of its earlier
 * run, and the hosts that do not know of a change of shares yet. Until then it admits what it can borrow.
 */
class LimitEnforcer
{
public:
    /** The host's declared name, the time at which the process started, and the means to call peers. */
    LimitEnforcer(const std::string &hostName, absl::Time startedAt, PeerClients *peers);

    /** For tests: the clock and the calls to peers as functions. */
    LimitEnforcer(std::string hostName, LoanClient loanClient);
    ~LimitEnforcer();
    LimitEnforcer(const LimitEnforcer &) = delete;
    auto operator=(const LimitEnforcer &) -> LimitEnforcer & = delete;

    /**
     * Takes over a configuration. Shares that shrink do so at once; shares that grow wait for the freshness bound and the margin.
     * The age is that of the knowledge held just before the configuration was learnt. A host that was isolated, so that the age exceeds the
     * freshness bound, and that has missed a revision starts over as after a restart: its shares may have changed hands twice.
     */
    auto configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration previousAge = absl::ZeroDuration()) -> void;

    /** Takes one token of a limit, borrowing if needed; false when the limit is used up. */
    [[nodiscard]] auto takeToken(absl::Time now, const std::string &limit) -> bool;

    /** Takes a slot, waiting and borrowing if needed; none when there is none in time. */
    [[nodiscard]] auto acquireSlot(absl::Time now, const SlotRequest &request) -> std::optional<SlotGrant>;

    /** Gives a slot back. With certainlyEnded false, the backend server may still be busy, and the slot stays in use until the grant's deadline. */
    auto releaseSlot(absl::Time now, const SlotGrant &grant, bool certainlyEnded) -> void;

    /** Answers a peer that asks for part of a rate share. */
    [[nodiscard]] auto lendRate(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &limit, double rate, double burst)
        -> peer::RateLoan;

    /** Answers a peer that asks for slots of a pool. */
    [[nodiscard]] auto lendSlots(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &pool, int count) -> peer::SlotLoan;

    /** Gives borrowed slots that are no longer needed back early. Calls peers; a thread of the host runs it every few milliseconds. */
    auto returnIdleSlots(absl::Time now) -> void;

    /** Takes what a borrower no longer keeps of a loan of slots. */
    auto acceptReturnedSlots(absl::Time now, const std::string &pool, std::int64_t loan, const std::map<std::string, int> &kept) -> void;

    /** A copy of a limit's bucket, for status answers and tests. */
    [[nodiscard]] auto bucketOf(const std::string &limit) const -> ShareBucket;

    /** A copy of the slots of one backend server, for status answers and tests. */
    [[nodiscard]] auto slotsOf(const std::string &pool, const std::string &backend) const -> SlotShare;

private:
    RateLimiter rates_;
    SlotAllocator slots_;
};

}
