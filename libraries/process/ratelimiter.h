/** Fleet-wide rate limits, enforced with this host's share of each and with shares borrowed from peers. */
#pragma once

#include "process/loanclient.h"
#include "request/sharebucket.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lycheecleat
{

/** Name of the limit on an organisation's rate. */
[[nodiscard]] auto organisationLimitName(const std::string &organisation) -> std::string;

/** Name of the limit that enforces a shift's cap. */
[[nodiscard]] auto shiftLimitName(const std::string &shift) -> std::string;

/** Holds one token bucket for each limit, each with its own lock. Thread-safe. Calls no peer while it holds a lock. */
class RateLimiter
{
public:
    RateLimiter(std::string hostName, LoanClient loanClient);

    /** Applies a configuration. previousAge is the age of this host's store state just before; see LimitEnforcer::configure(). */
    auto configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration previousAge) -> void;

    /** Takes one token of a limit, borrowing if necessary. Returns false if the limit is exhausted or unknown. */
    [[nodiscard]] auto takeToken(absl::Time now, const std::string &limit) -> bool;

    /** Lends part of this host's own share to a peer that has the same revision; nothing if the revisions differ. */
    [[nodiscard]] auto lendRate(absl::Time now, std::int64_t revision, const std::string &limit, const RateShare &wanted) -> RateLoanGrant;

    /** A copy of a limit's bucket, for status responses and tests. */
    [[nodiscard]] auto bucketOf(const std::string &limit) const -> ShareBucket;

private:
    /** How shares change when a new configuration is applied. */
    struct ShareChange
    {
        /** Time after which every host has applied the configuration or stopped keyed service. */
        absl::Duration propagationWait_;
        /** This host was isolated and has missed a revision, so it discards its own shares. */
        bool isRejoin_ = false;
    };

    struct Limit
    {
        mutable absl::Mutex mutex_;
        ShareBucket bucket_ ABSL_GUARDED_BY(mutex_);
        /** Revision that split_ and lenders_ belong to. */
        std::int64_t revision_ ABSL_GUARDED_BY(mutex_) = -1;
        std::vector<HostShare> split_ ABSL_GUARDED_BY(mutex_);
        std::vector<Lender> lenders_ ABSL_GUARDED_BY(mutex_);
        absl::Duration loanDuration_ ABSL_GUARDED_BY(mutex_);
        bool isBorrowing_ ABSL_GUARDED_BY(mutex_) = false;
        /** Signalled when a borrow round ends. */
        absl::CondVar borrowEnded_;
        /**
         * Earliest time of the next round. Rounds without success back off exponentially, so that a limit exhausted on all hosts does not cause
         * endless calls.
         */
        absl::Time nextRoundAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
        absl::Duration backoff_ ABSL_GUARDED_BY(mutex_);
        /** The peer that lent last; it is asked first. */
        std::string lastLender_ ABSL_GUARDED_BY(mutex_);
        /** Peers that lent nothing or did not respond, and the time until which rounds skip them. */
        std::map<std::string, absl::Time> skipUntil_ ABSL_GUARDED_BY(mutex_);
    };

    /** One round of borrow calls, planned under the lock and run without it. */
    struct BorrowRound
    {
        std::vector<Lender> lenders_;
        std::int64_t revision_ = 0;
        RateShare wanted_;
        absl::Duration loanDuration_;
        absl::Time endsAt_;
    };

    [[nodiscard]] auto find(const std::string &limit) const -> Limit *;
    [[nodiscard]] auto findOrAdd(const std::string &limit) -> Limit &;
    auto configureLimit(absl::Time now, const Configuration &configuration, const ShareChange &change, const std::string &name, std::vector<HostShare> split)
        -> void;
    /** The later of the clock's time and the caller's, since the thread may have been paused after its caller read the time. */
    [[nodiscard]] auto currentTime(absl::Time now) const -> absl::Time;
    [[nodiscard]] auto planBorrowRound(Limit &limit, absl::Time now) const -> BorrowRound;
    [[nodiscard]] auto runBorrowRound(Limit &limit, const std::string &name, const BorrowRound &round) -> bool;
    [[nodiscard]] auto acceptLoan(Limit &limit, const BorrowRound &round, const Lender &lender, absl::Time sentAt, const std::optional<peer::RateLoan> &loan)
        -> bool;
    [[nodiscard]] auto borrowAndTake(Limit &limit, const std::string &name, absl::Time now) -> bool;

    const std::string hostName_;
    const LoanClient loanClient_;
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<std::string, std::unique_ptr<Limit>> limits_ ABSL_GUARDED_BY(mutex_);
    /** Settings of the active configuration. Growth of a share waits for the larger of the old and the new freshness bound and loan duration. */
    Platform platform_ ABSL_GUARDED_BY(mutex_);
    std::int64_t revision_ ABSL_GUARDED_BY(mutex_) = -1;
};

}
