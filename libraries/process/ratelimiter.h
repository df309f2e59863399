/** This host's shares of counted limits, with borrowing. */
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

/** Limit name of an organisation's rate. */
[[nodiscard]] auto organisationLimitName(const std::string &organisation) -> std::string;

/** Limit name of a shift's cap. */
[[nodiscard]] auto shiftLimitName(const std::string &shift) -> std::string;

/** Keeps one bucket for each limit, each under its own lock. Thread-safe. Calls no peer while it holds a lock. */
class RateLimiter
{
public:
    RateLimiter(std::string hostName, LoanClient loanClient);

    /** Takes over a configuration, learnt when the earlier knowledge had the given age. */
    auto configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration previousAge) -> void;

    /** Takes one token of a limit, borrowing if needed. */
    [[nodiscard]] auto takeToken(absl::Time now, const std::string &limit) -> bool;

    /** Lends part of the own share to a peer that has the same revision. */
    [[nodiscard]] auto lendRate(absl::Time now, std::int64_t revision, const std::string &limit, const RateShare &wanted) -> RateLoanGrant;

    /** A copy of a limit's bucket, for status answers and tests. */
    [[nodiscard]] auto bucketOf(const std::string &limit) const -> ShareBucket;

private:
    /** How shares change to a new configuration. */
    struct ShareChange
    {
        /** Time by which every host has learnt of the configuration or stopped keyed service. */
        absl::Duration propagationWait_;
        /** Own shares start over. */
        bool isRejoin_ = false;
    };

    struct Limit
    {
        mutable absl::Mutex mutex_;
        ShareBucket bucket_ ABSL_GUARDED_BY(mutex_);
        /** Revision whose split is in force. */
        std::int64_t revision_ ABSL_GUARDED_BY(mutex_) = -1;
        std::vector<HostShare> split_ ABSL_GUARDED_BY(mutex_);
        std::vector<Lender> lenders_ ABSL_GUARDED_BY(mutex_);
        absl::Duration loan_ ABSL_GUARDED_BY(mutex_);
        bool isBorrowing_ ABSL_GUARDED_BY(mutex_) = false;
        /** Signalled when a borrow round ends. */
        absl::CondVar borrowEnded_;
        /** Rounds without success wait longer each time, so that a limit used up everywhere does not cause calls without end. */
        absl::Time nextRoundAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
        absl::Duration backoff_ ABSL_GUARDED_BY(mutex_);
        /** The peer that lent last is asked first. */
        std::string lastLender_ ABSL_GUARDED_BY(mutex_);
        /** Peers that lent nothing or did not answer, and until when they are left out. */
        std::map<std::string, absl::Time> skipUntil_ ABSL_GUARDED_BY(mutex_);
    };

    /** One round of borrow calls, decided under the lock and run without it. */
    struct BorrowRound
    {
        std::vector<Lender> lenders_;
        std::int64_t revision_ = 0;
        RateShare wanted_;
        absl::Duration loan_;
        absl::Time endsAt_;
    };

    [[nodiscard]] auto find(const std::string &limit) const -> Limit *;
    [[nodiscard]] auto findOrAdd(const std::string &limit) -> Limit &;
    auto configureLimit(absl::Time now, const Configuration &configuration, const ShareChange &change, const std::string &name, std::vector<HostShare> split)
        -> void;
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
    /** Settings of the configuration in force; a growth outwaits the larger of the old and the new. */
    Platform platform_ ABSL_GUARDED_BY(mutex_);
    std::int64_t revision_ ABSL_GUARDED_BY(mutex_) = -1;
};

}
