#include "process/ratelimiter.h"

#include "core/clock.h"
#include "core/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto firstBackoff = absl::Milliseconds(50);
constexpr auto longestBackoff = absl::Seconds(1);

/** How long rounds skip a peer that had nothing to lend. */
constexpr auto skipAfterRefusal = absl::Milliseconds(500);

/** How long rounds skip a peer that did not respond. */
constexpr auto skipAfterTimeout = absl::Seconds(2);

/** Maximum number of peers asked in one round. */
constexpr auto peersPerRound = std::size_t { 3 };

auto shareOf(const std::vector<HostShare> &split, const std::string &host) -> RateShare
{
    for (const auto &part : split) {
        if (part.host_ == host) {
            return part.share_;
        }
    }
    return {};
}

auto ownersOf(const std::vector<HostShare> &split) -> std::vector<std::string>
{
    auto owners = std::vector<std::string> {};
    for (const auto &part : split) {
        if (part.share_.burst_ > 0) {
            owners.push_back(part.host_);
        }
    }
    return owners;
}

}

auto organisationLimitName(const std::string &organisation) -> std::string
{
    return "organisation/" + organisation;
}

auto shiftLimitName(const std::string &shift) -> std::string
{
    return "shift/" + shift;
}

RateLimiter::RateLimiter(std::string hostName, LoanClient loanClient)
    : hostName_(std::move(hostName))
    , loanClient_(std::move(loanClient))
{
}

auto RateLimiter::currentTime(absl::Time now) const -> absl::Time
{
    return std::max(now, loanClient_.clock_());
}

auto RateLimiter::find(const std::string &limit) const -> Limit *
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    const auto found = limits_.find(limit);
    return found == limits_.end() ? nullptr : found->second.get();
}

auto RateLimiter::findOrAdd(const std::string &limit) -> Limit &
{
    const auto lock = absl::MutexLock(&mutex_);
    auto &entry = limits_[limit];
    if (entry == nullptr) {
        entry = std::make_unique<Limit>();
    }
    return *entry;
}

auto RateLimiter::configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration previousAge) -> void
{
    auto obsolete = std::set<std::string> {};
    auto change = ShareChange {};
    {
        const auto lock = absl::MutexLock(&mutex_);
        if (revision_ < 0) {
            platform_ = configuration->platform_;
        }
        const auto freshness = std::max(platform_.freshness_, configuration->platform_.freshness_);
        const auto loanDuration = std::max(platform_.loan_, configuration->platform_.loan_);
        change.propagationWait_ = std::max(freshness, loanDuration);
        change.isRejoin_ = previousAge > platform_.freshness_ && configuration->revision_ > revision_ + 1;
        revision_ = configuration->revision_;
        platform_ = configuration->platform_;
        for (const auto &entry : limits_) {
            obsolete.insert(entry.first);
        }
    }
    for (const auto &organisation : configuration->organisations_) {
        const auto name = organisationLimitName(organisation.name_);
        configureLimit(now, *configuration, change, name, organisationShares(*configuration, organisation));
        obsolete.erase(name);
    }
    for (const auto &shift : configuration->shifts_) {
        const auto name = shiftLimitName(shift.name_);
        configureLimit(now, *configuration, change, name, shiftShares(*configuration, shift));
        obsolete.erase(name);
    }
    for (const auto &removed : obsolete) {
        configureLimit(now, *configuration, change, removed, {});
    }
}

auto RateLimiter::configureLimit(absl::Time now,
                                 const Configuration &configuration,
                                 const ShareChange &change,
                                 const std::string &name,
                                 std::vector<HostShare> split) -> void
{
    auto lenders = orderLenders(configuration, hostName_, ownersOf(split));
    auto &limit = findOrAdd(name);
    const auto lock = absl::MutexLock(&limit.mutex_);
    if (configuration.revision_ < limit.revision_) {
        return;
    }
    const auto time = currentTime(now);
    if (limit.split_ != split || change.isRejoin_) {
        // A lender may no longer own the share that it lent, and the new owner does not account for the loan.
        dropBorrowed(limit.bucket_, time);
    }
    if (change.isRejoin_) {
        dropOwn(limit.bucket_, time);
    }
    setShare(limit.bucket_, time, shareOf(split, hostName_), time + withClockDriftMargin(change.propagationWait_));
    limit.revision_ = configuration.revision_;
    limit.split_ = std::move(split);
    limit.lenders_ = std::move(lenders);
    limit.loanDuration_ = configuration.platform_.loan_;
}

auto RateLimiter::takeToken(absl::Time now, const std::string &name) -> bool
{
    auto *limit = find(name);
    if (limit == nullptr) {
        return false;
    }
    {
        const auto lock = absl::MutexLock(&limit->mutex_);
        const auto time = currentTime(now);
        recordDemand(limit->bucket_, time);
        if (take(limit->bucket_, time)) {
            return true;
        }
    }
    return borrowAndTake(*limit, name, now);
}

auto RateLimiter::borrowAndTake(Limit &limit, const std::string &name, absl::Time now) -> bool
{
    auto round = BorrowRound {};
    {
        const auto lock = absl::MutexLock(&limit.mutex_);
        if (limit.isBorrowing_) {
            limit.borrowEnded_.WaitWithTimeout(&limit.mutex_, borrowRoundBudget);
            return take(limit.bucket_, currentTime(now));
        }
        round = planBorrowRound(limit, currentTime(now));
        if (round.lenders_.empty()) {
            return false;
        }
        limit.isBorrowing_ = true;
    }
    const auto isLent = runBorrowRound(limit, name, round);
    const auto lock = absl::MutexLock(&limit.mutex_);
    limit.isBorrowing_ = false;
    limit.backoff_ = isLent ? firstBackoff : std::clamp(limit.backoff_ * 2, firstBackoff, longestBackoff);
    limit.nextRoundAt_ = currentTime(now) + limit.backoff_;
    const auto isTaken = take(limit.bucket_, currentTime(now));
    limit.borrowEnded_.SignalAll();
    return isTaken;
}

auto RateLimiter::planBorrowRound(Limit &limit, absl::Time now) const -> BorrowRound
{
    limit.mutex_.AssertHeld();
    auto round = BorrowRound { {}, limit.revision_, loanToRequest(limit.bucket_, now), limit.loanDuration_, now + borrowRoundBudget };
    if (now < limit.nextRoundAt_) {
        return round;
    }
    std::erase_if(limit.skipUntil_, [&](const auto &entry) {
        return entry.second <= now;
    });
    for (const auto &lender : limit.lenders_) {
        if (limit.skipUntil_.count(lender.host_.name_) == 0) {
            round.lenders_.push_back(lender);
        }
    }
    std::stable_partition(round.lenders_.begin(), round.lenders_.end(), [&](const Lender &lender) {
        return lender.host_.name_ == limit.lastLender_;
    });
    round.lenders_.resize(std::min(peersPerRound, round.lenders_.size()));
    return round;
}

auto RateLimiter::runBorrowRound(Limit &limit, const std::string &name, const BorrowRound &round) -> bool
{
    for (const auto &lender : round.lenders_) {
        const auto sentAt = loanClient_.clock_();
        if (sentAt >= round.endsAt_) {
            return false;
        }
        const auto loan = loanClient_.borrowRate_(lender.host_, round.revision_, name, round.wanted_, round.endsAt_ - sentAt);
        if (acceptLoan(limit, round, lender, sentAt, loan)) {
            logLine(wallNow(),
                    LogLevel::Debug,
                    "rate borrowed",
                    { { "limit", name },
                      { "lender", lender.host_.name_ },
                      { "rate", fmt::format("{}", loan->rate) },
                      { "burst", fmt::format("{}", loan->burst) } });
            return true;
        }
    }
    return false;
}

auto RateLimiter::acceptLoan(Limit &limit, const BorrowRound &round, const Lender &lender, absl::Time sentAt, const std::optional<peer::RateLoan> &loan) -> bool
{
    const auto lock = absl::MutexLock(&limit.mutex_);
    const auto now = loanClient_.clock_();
    if (!loan.has_value()) {
        limit.skipUntil_[lender.host_.name_] = now + skipAfterTimeout;
        return false;
    }
    // A loan from an earlier revision is discarded: its lender may no longer own the share.
    if (limit.revision_ != round.revision_) {
        return false;
    }
    if (loan->rate <= 0 && loan->burst <= 0) {
        limit.skipUntil_[lender.host_.name_] = now + skipAfterRefusal;
        return false;
    }
    borrow(limit.bucket_, now, { { loan->rate, loan->burst }, loan->tokens }, sentAt + round.loanDuration_);
    limit.lastLender_ = lender.host_.name_;
    advance(limit.bucket_, now);
    return limit.bucket_.tokens_ >= 1;
}

auto RateLimiter::lendRate(absl::Time now, std::int64_t revision, const std::string &name, const RateShare &wanted) -> RateLoanGrant
{
    auto *limit = find(name);
    if (limit == nullptr) {
        return {};
    }
    const auto lock = absl::MutexLock(&limit->mutex_);
    if (limit->revision_ != revision) {
        return {};
    }
    const auto time = currentTime(now);
    return lend(limit->bucket_, time, wanted, time + withClockDriftMargin(limit->loanDuration_));
}

auto RateLimiter::bucketOf(const std::string &name) const -> ShareBucket
{
    const auto *limit = find(name);
    if (limit == nullptr) {
        return {};
    }
    const auto lock = absl::MutexLock(&limit->mutex_);
    return limit->bucket_;
}

}
