/** Fleet-wide limits on rates, shift caps and slots, enforced with this host's shares and with loans between hosts. */
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
 * Admits requests within this host's shares of the limits, and borrows from peers when a share is exhausted. Each limit and each pool has its own
 * lock. Thread-safe. Times are monotonic.
 *
 * A share is the part of a limit, or the slots of a backend server, that the configuration assigns to a host. A loan is a part of the lender's own
 * share that the borrower may use for a limited time. Each side measures this time on its own clock: the borrower from when it sent its request, the
 * lender from when it lent, with a margin for clock drift on top. So no capacity is in use on both hosts at once.
 *
 * The first configuration of a run counts as growth from zero: a restarted host waits until the loans and requests of its previous run have ended
 * and until no other host uses shares of an older configuration. Until then it admits only what it can borrow.
 */
class LimitEnforcer
{
public:
    /** Takes the host's declared name, the time at which the process started, and the clients for calls to peers. */
    LimitEnforcer(const std::string &hostName, absl::Time startedAt, PeerClients *peers);

    /** For tests: takes the clock and the calls to peers as functions. */
    LimitEnforcer(std::string hostName, LoanClient loanClient);
    ~LimitEnforcer();
    LimitEnforcer(const LimitEnforcer &) = delete;
    auto operator=(const LimitEnforcer &) -> LimitEnforcer & = delete;

    /**
     * Applies a configuration. Shares shrink at once. They grow after the freshness bound or the duration of a loan, whichever is longer, and the
     * margin for clock drift; slots wait for the longest request deadline as well.
     * previousAge is the age of this host's store state just before. If it exceeds the freshness bound, this host was isolated. If the host has missed a
     * revision as well, it discards its own shares as after a restart, since they may have been assigned to another host and back.
     */
    auto configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration previousAge = absl::ZeroDuration()) -> void;

    /** Takes one token of a limit, borrowing if necessary. Returns false if the limit is exhausted or unknown. */
    [[nodiscard]] auto takeToken(absl::Time now, const std::string &limit) -> bool;

    /** Acquires a slot, waiting and borrowing if necessary; none if none becomes available in time. */
    [[nodiscard]] auto acquireSlot(absl::Time now, const SlotRequest &request) -> std::optional<SlotGrant>;

    /**
     * Releases a slot. If certainlyEnded is false, the backend server may still run the request, and the slot stays in use until the grant's deadline
     * and the margin for clock drift are over.
     */
    auto releaseSlot(absl::Time now, const SlotGrant &grant, bool certainlyEnded) -> void;

    /** Handles a peer's request to borrow part of a rate share. */
    [[nodiscard]] auto lendRate(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &limit, double rate, double burst)
        -> peer::RateLoan;

    /** Handles a peer's request to borrow slots of a pool. */
    [[nodiscard]] auto lendSlots(absl::Time now, const std::string &borrower, std::int64_t revision, const std::string &pool, int count) -> peer::SlotLoan;

    /** Returns idle borrowed slots to their lenders before the loans expire. Calls peers; a thread of the host runs it every few milliseconds. */
    auto returnIdleSlots(absl::Time now) -> void;

    /**
     * Takes back the slots of a loan that the borrower has returned. The map contains, by backend server name, the number of slots that the borrower
     * keeps; of a backend server that it does not contain, all slots are kept. Repeated, late or reordered returns free no slot twice.
     */
    auto acceptReturnedSlots(absl::Time now, const std::string &pool, std::int64_t loanId, const std::map<std::string, int> &keptSlots) -> void;

    /** A copy of a limit's bucket, for status responses and tests. */
    [[nodiscard]] auto bucketOf(const std::string &limit) const -> ShareBucket;

    /** A copy of the slots of one backend server, for status responses and tests. */
    [[nodiscard]] auto slotsOf(const std::string &pool, const std::string &backend) const -> SlotShare;

private:
    RateLimiter rates_;
    SlotAllocator slots_;
};

}
