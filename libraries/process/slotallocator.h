/** Allocation of this host's slots of the backend servers, with a fair queue and with slots borrowed from peers. */
#pragma once

#include "process/loanclient.h"
#include "process/slotgrant.h"
#include "request/fairqueue.h"
#include "request/slotshare.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Slots lent, by backend server name, and the identifier of the loan; 0 if nothing was lent. */
struct LentSlots
{
    std::map<std::string, int> slots_;
    std::int64_t loanId_ = 0;
};

/** Allocates the slots of each pool under the pool's own lock. Thread-safe. Calls no peer while it holds a lock. */
class SlotAllocator
{
public:
    SlotAllocator(std::string hostName, LoanClient loanClient);

    /** Applies a configuration. previousAge is the age of this host's store state just before; see LimitEnforcer::configure(). */
    auto configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration previousAge) -> void;

    /** Acquires a slot, waiting in the fair queue and borrowing if necessary. At least one borrow round is tried, even if there is no time to wait. */
    [[nodiscard]] auto acquireSlot(absl::Time now, const SlotRequest &request) -> std::optional<SlotGrant>;

    /** Releases a slot, see LimitEnforcer. */
    auto releaseSlot(absl::Time now, const SlotGrant &grant, bool certainlyEnded) -> void;

    /**
     * Lends free slots that this host owns to a peer that has the same revision. Lends nothing while requests wait here, and keeps enough for the recent
     * peak of use.
     */
    [[nodiscard]] auto lendSlots(absl::Time now, std::int64_t revision, const std::string &pool, int count) -> LentSlots;

    /** Stops using idle borrowed slots and returns them to their lenders. Calls peers. */
    auto returnIdle(absl::Time now) -> void;

    /** Takes back the slots of a loan that the borrower has returned; see LimitEnforcer::acceptReturnedSlots(). */
    auto acceptReturn(absl::Time now, const std::string &pool, std::int64_t loanId, const std::map<std::string, int> &keptSlots) -> void;

    /** A copy of the slots of one backend server, for status responses and tests. */
    [[nodiscard]] auto slotsOf(const std::string &pool, const std::string &backend) const -> SlotShare;

private:
    /** How shares change when a new configuration is applied. */
    struct ShareChange
    {
        /** Time after which every host has applied the configuration or stopped keyed service. */
        absl::Duration propagationWait_;
        /** This host was isolated and has missed a revision, so it discards its own shares. */
        bool isRejoin_ = false;
    };

    /** A backend server, its proximity to this host, and this host's slots of it. */
    struct Backend
    {
        BackendServer server_;
        std::string region_;
        Proximity proximity_ = Proximity::OtherRegion;
        /** Part of the pool and not drained by a rule. */
        bool isUsable_ = false;
        SlotShare share_;
    };

    /** A peer that owns slots of a pool, and the regions of their backend servers. */
    struct SlotLender
    {
        Lender lender_;
        std::set<std::string> regions_;
    };

    /** A request in the fair queue. */
    struct Waiter
    {
        const SlotRequest *request_ = nullptr;
        std::optional<SlotGrant> grant_;
        /** Signalled when grant_ is set. */
        absl::CondVar granted_;
    };

    /** How a pool's slots are assigned to hosts. Loans made under another assignment serve no new requests. */
    struct SlotAssignment
    {
        Pool pool_;
        /** Hosts that own slots of each backend server of pool_, in its order. */
        std::vector<std::vector<std::string>> owners_;

        auto operator==(const SlotAssignment &other) const -> bool = default;
    };

    struct PoolSlots
    {
        mutable absl::Mutex mutex_;
        std::int64_t revision_ ABSL_GUARDED_BY(mutex_) = -1;
        SlotAssignment assignment_ ABSL_GUARDED_BY(mutex_);
        std::map<std::string, Backend> backends_ ABSL_GUARDED_BY(mutex_);
        std::vector<SlotLender> lenders_ ABSL_GUARDED_BY(mutex_);
        /** Longest deadline of the routes to this pool. */
        absl::Duration longestDeadline_ ABSL_GUARDED_BY(mutex_);
        /** The platform's loan duration plus longestDeadline_. */
        absl::Duration loanDuration_ ABSL_GUARDED_BY(mutex_);
        std::map<std::string, double> weights_ ABSL_GUARDED_BY(mutex_);
        std::uint64_t lastGrantId_ ABSL_GUARDED_BY(mutex_) = 0;
        FairQueue queue_ ABSL_GUARDED_BY(mutex_);
        std::map<std::uint64_t, Waiter *> waiters_ ABSL_GUARDED_BY(mutex_);
        /** Time since which requests have found no free slot; infinite future while a slot is free. */
        absl::Time exhaustedSince_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
        /** Recent peak of the number of slots in use; decays exponentially. */
        double peakUse_ ABSL_GUARDED_BY(mutex_) = 0;
        absl::Time peakUpdatedAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
        bool isBorrowing_ ABSL_GUARDED_BY(mutex_) = false;
        /** Earliest time of the next round. Rounds without success back off exponentially. */
        absl::Time nextRoundAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
        absl::Duration backoff_ ABSL_GUARDED_BY(mutex_);
        /** Peers that lent nothing or did not respond, and the time until which rounds skip them. */
        std::map<std::string, absl::Time> skipUntil_ ABSL_GUARDED_BY(mutex_);
    };

    /** One round of borrow calls, planned under the lock and run without it. */
    struct BorrowRound
    {
        std::vector<Lender> lenders_;
        std::int64_t revision_ = 0;
        int count_ = 0;
        absl::Duration loanDuration_;
        absl::Time endsAt_;
    };

    [[nodiscard]] auto find(const std::string &pool) const -> PoolSlots *;
    [[nodiscard]] auto findOrAdd(const std::string &pool) -> PoolSlots &;
    auto configurePool(absl::Time now, const Configuration &configuration, const ShareChange &change, const Pool &pool) -> void;
    auto removePool(absl::Time now, std::int64_t revision, const std::string &name) -> void;
    /** The later of the clock's time and the caller's, since the thread may have been paused after its caller read the time. */
    [[nodiscard]] auto currentTime(absl::Time now) const -> absl::Time;
    /** Grants free slots to waiting requests in fair order. */
    auto serveWaiters(PoolSlots &slots, absl::Time now) const -> void;
    /** Updates the recent peak of slots in use to a time. */
    auto updatePeak(PoolSlots &slots, absl::Time now) const -> void;
    [[nodiscard]] auto tryGrant(PoolSlots &slots, absl::Time now, std::uint64_t id, const SlotRequest &request, absl::Time deadline) const
        -> std::optional<SlotGrant>;
    [[nodiscard]] auto planBorrowRound(PoolSlots &slots, absl::Time now, const SlotRequest &request) const -> BorrowRound;
    /** One return call, planned under the lock and made without it. */
    struct SlotReturn
    {
        EntryHost lender_;
        std::int64_t loanId_ = 0;
        std::map<std::string, int> keptSlots_;
    };

    [[nodiscard]] auto planReturns(PoolSlots &slots, absl::Time now) const -> std::vector<SlotReturn>;
    auto runBorrowRound(PoolSlots &slots, const std::string &pool, const BorrowRound &round, const Waiter &waiter) const -> void;
    auto acceptLoan(PoolSlots &slots, const BorrowRound &round, const Lender &lender, absl::Time sentAt, const std::optional<peer::SlotLoan> &loan) const
        -> bool;

    const std::string hostName_;
    const std::uint64_t seed_;
    const LoanClient loanClient_;
    /** Identifier of the last loan granted. Starts at a random value, so that a return meant for a previous run of this host matches no loan of this run. */
    std::atomic<std::int64_t> lastLoanId_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<std::string, std::unique_ptr<PoolSlots>> pools_ ABSL_GUARDED_BY(mutex_);
    /** Settings of the active configuration. Growth of a share waits for the larger of the old and the new freshness bound and loan duration. */
    Platform platform_ ABSL_GUARDED_BY(mutex_);
    std::int64_t revision_ ABSL_GUARDED_BY(mutex_) = -1;
};

}
