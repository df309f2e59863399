/** This host's slots of the backend servers, with borrowing and a fair queue. */
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

/** Slots lent, by backend server name, and the name of the loan. */
struct LentSlots
{
    std::map<std::string, int> slots_;
    std::int64_t loan_ = 0;
};

/** Keeps the slots of each pool under the pool's own lock. Thread-safe. Calls no peer while it holds a lock. */
class SlotAllocator
{
public:
    SlotAllocator(std::string hostName, LoanClient loanClient);

    /** Takes over a configuration, learnt when the earlier knowledge had the given age. */
    auto configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration previousAge) -> void;

    /** Takes a slot, waiting in the fair queue and borrowing if needed. At least one borrow round is tried, even when there is no time to wait. */
    [[nodiscard]] auto acquireSlot(absl::Time now, const SlotRequest &request) -> std::optional<SlotGrant>;

    /** Gives a slot back. */
    auto releaseSlot(absl::Time now, const SlotGrant &grant, bool certainlyEnded) -> void;

    /** Lends free slots, by backend server name, to a peer that has the same revision. */
    [[nodiscard]] auto lendSlots(absl::Time now, std::int64_t revision, const std::string &pool, int count) -> LentSlots;

    /** Gives borrowed slots that are no longer needed back to their lenders, after it has stopped using them. Calls peers. */
    auto returnIdle(absl::Time now) -> void;

    /** Takes back what a borrower no longer keeps of a loan. */
    auto acceptReturn(absl::Time now, const std::string &pool, std::int64_t loan, const std::map<std::string, int> &kept) -> void;

    /** A copy of the slots of one backend server, for status answers and tests. */
    [[nodiscard]] auto slotsOf(const std::string &pool, const std::string &backend) const -> SlotShare;

private:
    /** How shares change to a new configuration. */
    struct ShareChange
    {
        /** Time by which every host has learnt of the configuration or stopped keyed service. */
        absl::Duration propagationWait_;
        /** Own shares start over. */
        bool isRejoin_ = false;
    };

    /** A backend server as seen from this host. */
    struct Backend
    {
        BackendServer server_;
        std::string region_;
        Proximity proximity_ = Proximity::OtherRegion;
        /** Part of the pool and not drained by a rule. */
        bool isUsable_ = false;
        SlotShare share_;
    };

    /** A peer that owns slots of a pool, and the regions they are in. */
    struct SlotLender
    {
        Lender lender_;
        std::set<std::string> regions_;
    };

    struct Waiter
    {
        const SlotRequest *request_ = nullptr;
        std::optional<SlotGrant> grant_;
        /** Signalled when the grant is there. */
        absl::CondVar granted_;
    };

    /** How a pool's slots are divided; loans of another division are not used. */
    struct SlotAssignment
    {
        Pool pool_;
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
        /** Longest deadline of a route to this pool. */
        absl::Duration longestDeadline_ ABSL_GUARDED_BY(mutex_);
        /** Length of a slot loan. */
        absl::Duration loan_ ABSL_GUARDED_BY(mutex_);
        std::map<std::string, double> weights_ ABSL_GUARDED_BY(mutex_);
        std::uint64_t lastGrant_ ABSL_GUARDED_BY(mutex_) = 0;
        FairQueue queue_ ABSL_GUARDED_BY(mutex_);
        std::map<std::uint64_t, Waiter *> waiters_ ABSL_GUARDED_BY(mutex_);
        /** Since when requests have found no free slot; infinite future while there is one. */
        absl::Time exhaustedSince_ ABSL_GUARDED_BY(mutex_) = absl::InfiniteFuture();
        /** Own slots in use at the recent peak, which decays. */
        double peakUse_ ABSL_GUARDED_BY(mutex_) = 0;
        absl::Time peakAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
        bool isBorrowing_ ABSL_GUARDED_BY(mutex_) = false;
        /** Rounds without success wait longer each time. */
        absl::Time nextRoundAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
        absl::Duration backoff_ ABSL_GUARDED_BY(mutex_);
        std::map<std::string, absl::Time> skipUntil_ ABSL_GUARDED_BY(mutex_);
    };

    /** One round of borrow calls, decided under the lock and run without it. */
    struct BorrowRound
    {
        std::vector<Lender> lenders_;
        std::int64_t revision_ = 0;
        int count_ = 0;
        absl::Duration loan_;
        absl::Time endsAt_;
    };

    [[nodiscard]] auto find(const std::string &pool) const -> PoolSlots *;
    [[nodiscard]] auto findOrAdd(const std::string &pool) -> PoolSlots &;
    auto configurePool(absl::Time now, const Configuration &configuration, const ShareChange &change, const Pool &pool) -> void;
    auto removePool(absl::Time now, std::int64_t revision, const std::string &name) -> void;
    [[nodiscard]] auto currentTime(absl::Time now) const -> absl::Time;
    /** Serves waiting requests in fair order while slots last. */
    auto serveWaiters(PoolSlots &slots, absl::Time now) const -> void;
    /** Brings the recent peak of slots in use to a time. */
    auto updatePeak(PoolSlots &slots, absl::Time now) const -> void;
    [[nodiscard]] auto tryGrant(PoolSlots &slots, absl::Time now, std::uint64_t id, const SlotRequest &request, absl::Time deadline) const
        -> std::optional<SlotGrant>;
    [[nodiscard]] auto planBorrowRound(PoolSlots &slots, absl::Time now, const SlotRequest &request) const -> BorrowRound;
    /** One return call, decided under the lock and run without it. */
    struct SlotReturn
    {
        EntryHost lender_;
        std::int64_t loan_ = 0;
        std::map<std::string, int> kept_;
    };

    [[nodiscard]] auto planReturns(PoolSlots &slots, absl::Time now) const -> std::vector<SlotReturn>;
    auto runBorrowRound(PoolSlots &slots, const std::string &pool, const BorrowRound &round, const Waiter &waiter) const -> void;
    auto acceptLoan(PoolSlots &slots, const BorrowRound &round, const Lender &lender, absl::Time sentAt, const std::optional<peer::SlotLoan> &loan) const
        -> bool;

    const std::string hostName_;
    const std::uint64_t seed_;
    const LoanClient loanClient_;
    /** Name of the last loan given. It starts at a random value, so that a return to an earlier run of this host names no loan of this one. */
    std::atomic<std::int64_t> lastLoanId_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<std::string, std::unique_ptr<PoolSlots>> pools_ ABSL_GUARDED_BY(mutex_);
    /** Settings of the configuration in force; a growth outwaits the larger of the old and the new. */
    Platform platform_ ABSL_GUARDED_BY(mutex_);
    std::int64_t revision_ ABSL_GUARDED_BY(mutex_) = -1;
};

}
