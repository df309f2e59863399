#include "process/slotallocator.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "request/clockdriftmargin.h"
#include "version/limitownership.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto firstBackoff = absl::Milliseconds(20);
constexpr auto longestBackoff = absl::Milliseconds(200);

/** How long rounds skip a peer that had no free slot. */
constexpr auto skipAfterRefusal = absl::Milliseconds(200);

/** How long rounds skip a peer that did not respond. */
constexpr auto skipAfterTimeout = absl::Seconds(2);

/** Maximum number of peers of one proximity asked in one round. */
constexpr auto peersPerProximity = 2;

/** Maximum number of slots requested from a peer in one call. */
constexpr auto maximumSlotsPerLoan = 16;

/** A borrow call requests one extra slot per this many slots in use, since demand that exhausts the slots tends to keep growing. */
constexpr auto usesPerExtraSlot = 8;

/** Time constant of the exponential decay of the peak of slots in use. */
constexpr auto peakDecayTime = absl::Milliseconds(500);

/**
 * How long requests must have found no free slot before a peer is asked. A lent slot is unavailable to its owner for seconds, while own slots
 * become free within a service time, so it is better to wait out a short shortage.
 */
constexpr auto borrowDelay = absl::Milliseconds(20);

/** How long a borrowed slot stays idle before it is returned. Twice borrowDelay, so that slots are not returned only to be borrowed again. */
constexpr auto idleBeforeReturn = absl::Milliseconds(40);

/** The random initial loan identifier is below this, which leaves enough identifiers for any run. */
constexpr auto initialLoanIdRange = std::int64_t { 1 } << 62;

/** Interval at which a waiting request checks again for a slot, since slots freed by the end of a loan or of a deadline signal no waiter. */
constexpr auto recheckInterval = absl::Milliseconds(20);

/** Longest request deadline assumed for a pool that no route uses. */
constexpr auto defaultDeadline = absl::Seconds(2);

auto longestDeadlineOf(const Configuration &configuration, const std::string &pool) -> absl::Duration
{
    auto longest = absl::ZeroDuration();
    for (const auto &route : configuration.routes_) {
        if (route.pool_ == pool) {
            longest = std::max(longest, route.deadline_);
        }
    }
    return longest > absl::ZeroDuration() ? longest : defaultDeadline;
}

auto contains(const std::vector<std::string> &names, const std::string &name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

}

SlotAllocator::SlotAllocator(std::string hostName, LoanClient loanClient)
    : hostName_(std::move(hostName))
    , seed_(stableHash(hostName_))
    , loanClient_(std::move(loanClient))
    , lastLoanId_(static_cast<std::int64_t>(stableHash(randomHex(sizeof(std::int64_t))) % initialLoanIdRange))
{
}

auto SlotAllocator::currentTime(absl::Time now) const -> absl::Time
{
    return std::max(now, loanClient_.clock_());
}

auto SlotAllocator::find(const std::string &pool) const -> PoolSlots *
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    const auto found = pools_.find(pool);
    return found == pools_.end() ? nullptr : found->second.get();
}

auto SlotAllocator::findOrAdd(const std::string &pool) -> PoolSlots &
{
    const auto lock = absl::MutexLock(&mutex_);
    auto &entry = pools_[pool];
    if (entry == nullptr) {
        entry = std::make_unique<PoolSlots>();
    }
    return *entry;
}

auto SlotAllocator::configure(absl::Time now, const ConfigurationPointer &configuration, absl::Duration previousAge) -> void
{
    auto removed = std::set<std::string> {};
    auto change = ShareChange {};
    {
        const auto lock = absl::MutexLock(&mutex_);
        if (revision_ < 0) {
            platform_ = configuration->platform_;
        }
        const auto freshness = std::max(platform_.freshness_, configuration->platform_.freshness_);
        change.propagationWait_ = std::max({ freshness, platform_.loan_, configuration->platform_.loan_ });
        change.isRejoin_ = previousAge > platform_.freshness_ && configuration->revision_ > revision_ + 1;
        revision_ = configuration->revision_;
        platform_ = configuration->platform_;
        for (const auto &entry : pools_) {
            removed.insert(entry.first);
        }
    }
    for (const auto &pool : configuration->pools_) {
        configurePool(now, *configuration, change, pool);
        removed.erase(pool.name_);
    }
    for (const auto &name : removed) {
        removePool(now, configuration->revision_, name);
    }
}

auto SlotAllocator::configurePool(absl::Time now, const Configuration &configuration, const ShareChange &change, const Pool &pool) -> void
{
    auto assignment = SlotAssignment { pool, {} };
    auto regionsOf = std::map<std::string, std::set<std::string>> {};
    for (const auto &backend : pool.backends_) {
        assignment.owners_.push_back(slotOwners(configuration, backend));
        for (const auto &owner : assignment.owners_.back()) {
            regionsOf[owner].insert(regionOfZone(configuration, backend.zone_));
        }
    }
    auto ownerNames = std::vector<std::string> {};
    for (const auto &entry : regionsOf) {
        ownerNames.push_back(entry.first);
    }
    const auto owned = slotsOwned(configuration, pool, hostName_);
    const auto *self = findByName(configuration.entryHosts_, hostName_);
    const auto zone = self == nullptr ? std::string {} : self->zone_;

    auto &slots = findOrAdd(pool.name_);
    const auto lock = absl::MutexLock(&slots.mutex_);
    if (configuration.revision_ < slots.revision_) {
        return;
    }
    const auto time = currentTime(now);
    const auto longestDeadline = longestDeadlineOf(configuration, pool.name_);
    // A previous owner starts requests until its store state is stale, and the last of them runs until its deadline.
    const auto growsAt = time + withClockDriftMargin(change.propagationWait_ + std::max(slots.longestDeadline_, longestDeadline));
    const auto isNewAssignment = slots.assignment_ != assignment || change.isRejoin_;
    for (auto &[name, backend] : slots.backends_) {
        backend.isUsable_ = false;
        if (isNewAssignment) {
            dropBorrowed(backend.share_, time);
        }
        if (change.isRejoin_) {
            dropOwn(backend.share_, time);
        }
    }
    for (const auto &part : owned) {
        auto &backend = slots.backends_[part.backend_.name_];
        backend.server_ = part.backend_;
        backend.region_ = regionOfZone(configuration, part.backend_.zone_);
        backend.proximity_ = proximityOf(configuration, zone, part.backend_.zone_);
        backend.isUsable_ = !isDrained(configuration, part.backend_);
        setSlots(backend.share_, time, part.slots_, growsAt);
    }
    for (auto &[name, backend] : slots.backends_) {
        if (findByName(pool.backends_, name) == nullptr) {
            setSlots(backend.share_, time, 0, absl::InfiniteFuture());
        }
    }
    slots.lenders_.clear();
    for (auto &lender : orderLenders(configuration, hostName_, ownerNames)) {
        const auto &regions = regionsOf[lender.host_.name_];
        slots.lenders_.push_back({ std::move(lender), regions });
    }
    slots.weights_.clear();
    for (const auto &organisation : configuration.organisations_) {
        slots.weights_[organisation.name_] = organisation.weight_;
    }
    slots.assignment_ = std::move(assignment);
    slots.longestDeadline_ = longestDeadline;
    slots.loanDuration_ = configuration.platform_.loan_ + longestDeadline;
    slots.revision_ = configuration.revision_;
    serveWaiters(slots, time);
}

auto SlotAllocator::removePool(absl::Time now, std::int64_t revision, const std::string &name) -> void
{
    auto &slots = findOrAdd(name);
    const auto lock = absl::MutexLock(&slots.mutex_);
    if (revision < slots.revision_) {
        return;
    }
    const auto time = currentTime(now);
    for (auto &[backendName, backend] : slots.backends_) {
        backend.isUsable_ = false;
        dropBorrowed(backend.share_, time);
        setSlots(backend.share_, time, 0, absl::InfiniteFuture());
    }
    slots.assignment_ = {};
    slots.lenders_.clear();
    slots.revision_ = revision;
}

auto SlotAllocator::acquireSlot(absl::Time now, const SlotRequest &request) -> std::optional<SlotGrant>
{
    auto *slots = find(request.pool_);
    if (slots == nullptr) {
        return std::nullopt;
    }
    auto waiter = Waiter { &request, std::nullopt, {} };
    auto hasTriedBorrowing = false;
    const auto lock = absl::MutexLock(&slots->mutex_);
    const auto id = ++slots->lastGrantId_;
    const auto weight = slots->weights_.find(request.organisation_);
    enqueue(slots->queue_, request.organisation_, weight == slots->weights_.end() ? 1 : weight->second, id);
    slots->waiters_[id] = &waiter;
    while (true) {
        auto time = currentTime(now);
        serveWaiters(*slots, time);
        if (waiter.grant_.has_value()) {
            return waiter.grant_;
        }
        const auto round = slots->isBorrowing_ ? BorrowRound {} : planBorrowRound(*slots, time, request);
        if (!round.lenders_.empty() && (time < request.waitUntil_ || !hasTriedBorrowing)) {
            hasTriedBorrowing = true;
            slots->isBorrowing_ = true;
            slots->mutex_.Unlock();
            runBorrowRound(*slots, request.pool_, round, waiter);
            slots->mutex_.Lock();
            slots->isBorrowing_ = false;
            const auto isGranted = waiter.grant_.has_value();
            slots->backoff_ = isGranted ? firstBackoff : std::clamp(slots->backoff_ * 2, firstBackoff, longestBackoff);
            slots->nextRoundAt_ = isGranted ? absl::InfinitePast() : currentTime(now) + slots->backoff_;
            continue;
        }
        time = currentTime(now);
        if (time >= request.waitUntil_) {
            cancel(slots->queue_, request.organisation_, id);
            slots->waiters_.erase(id);
            return std::nullopt;
        }
        waiter.granted_.WaitWithTimeout(&slots->mutex_, std::min(recheckInterval, request.waitUntil_ - time));
    }
}

auto SlotAllocator::serveWaiters(PoolSlots &slots, absl::Time now) const -> void
{
    slots.mutex_.AssertHeld();
    auto hasFree = false;
    for (auto &[name, backend] : slots.backends_) {
        advance(backend.share_, now);
        hasFree = hasFree || freeSlotsUntil(backend.share_, now) > 0;
    }
    updatePeak(slots, now);
    if (hasFree && slots.waiters_.empty()) {
        slots.exhaustedSince_ = absl::InfiniteFuture();
    }
    if (!hasFree || slots.waiters_.empty()) {
        return;
    }
    for (const auto id : serviceOrder(slots.queue_)) {
        auto *waiter = slots.waiters_.at(id);
        const auto deadline = std::min(waiter->request_->deadline_, now + slots.longestDeadline_);
        auto grant = tryGrant(slots, now, id, *waiter->request_, deadline);
        if (!grant.has_value()) {
            // If no free slot lasts until the deadline, a borrowed one that lasts for half of the remaining time is used. The grant then has that earlier
            // deadline.
            grant = tryGrant(slots, now, id, *waiter->request_, now + (deadline - now) / 2);
        }
        if (!grant.has_value()) {
            continue;
        }
        serve(slots.queue_, waiter->request_->organisation_, id);
        slots.waiters_.erase(id);
        waiter->grant_ = std::move(grant);
        waiter->granted_.Signal();
    }
}

auto SlotAllocator::updatePeak(PoolSlots &slots, absl::Time now) const -> void
{
    slots.mutex_.AssertHeld();
    auto uses = 0.0;
    for (const auto &[name, backend] : slots.backends_) {
        uses += static_cast<double>(backend.share_.uses_.size());
    }
    if (slots.peakUpdatedAt_ != absl::InfinitePast() && now > slots.peakUpdatedAt_) {
        slots.peakUse_ *= std::exp(-absl::FDivDuration(now - slots.peakUpdatedAt_, peakDecayTime));
    }
    slots.peakUpdatedAt_ = std::max(slots.peakUpdatedAt_, now);
    slots.peakUse_ = std::max(slots.peakUse_, uses);
}

auto SlotAllocator::tryGrant(PoolSlots &slots, absl::Time now, std::uint64_t id, const SlotRequest &request, absl::Time deadline) const
    -> std::optional<SlotGrant>
{
    slots.mutex_.AssertHeld();
    if (deadline <= now) {
        return std::nullopt;
    }
    Backend *best = nullptr;
    auto bestRank = std::tuple<Proximity, double, std::uint64_t> {};
    for (auto &[name, backend] : slots.backends_) {
        const auto isRequestedRegion = request.region_.empty() || backend.region_ == request.region_;
        if (!backend.isUsable_ || !isRequestedRegion || contains(request.excludedBackends_, name) || freeSlotsUntil(backend.share_, deadline) <= 0) {
            continue;
        }
        const auto usedFraction = static_cast<double>(backend.share_.uses_.size()) / std::max(1, heldSlots(backend.share_));
        const auto rank = std::tuple(backend.proximity_, usedFraction, stableHash(name, seed_ + id));
        if (best == nullptr || rank < bestRank) {
            best = &backend;
            bestRank = rank;
        }
    }
    if (best == nullptr || !take(best->share_, now, id, deadline)) {
        return std::nullopt;
    }
    return SlotGrant { request.pool_, best->server_, deadline, id };
}

auto SlotAllocator::planBorrowRound(PoolSlots &slots, absl::Time now, const SlotRequest &request) const -> BorrowRound
{
    slots.mutex_.AssertHeld();
    auto uses = 0;
    auto held = 0;
    // While only slots that this request can't use are free, exhaustedSince_ doesn't show for how long usable ones have been missing. The request then doesn't
    // wait for borrowDelay.
    auto hasUnsuitableFreeSlot = false;
    for (const auto &[name, backend] : slots.backends_) {
        uses += static_cast<int>(backend.share_.uses_.size());
        const auto isRequestedRegion = request.region_.empty() || backend.region_ == request.region_;
        const auto isUsable = backend.isUsable_ && isRequestedRegion && !contains(request.excludedBackends_, name);
        held += isUsable ? heldSlots(backend.share_) : 0;
        hasUnsuitableFreeSlot = hasUnsuitableFreeSlot || freeSlotsUntil(backend.share_, now) > 0;
    }
    slots.exhaustedSince_ = std::min(slots.exhaustedSince_, now);
    const auto count = std::min(maximumSlotsPerLoan, static_cast<int>(slots.waiters_.size()) + uses / usesPerExtraSlot);
    auto round = BorrowRound { {}, slots.revision_, count, slots.loanDuration_, now + borrowRoundBudget };
    const auto mayBecomeFree = held > 0 && !hasUnsuitableFreeSlot && now < slots.exhaustedSince_ + borrowDelay;
    if (now < slots.nextRoundAt_ || mayBecomeFree) {
        return round;
    }
    std::erase_if(slots.skipUntil_, [&](const auto &entry) {
        return entry.second <= now;
    });
    auto chosen = std::map<Proximity, int> {};
    for (const auto &candidate : slots.lenders_) {
        const auto &lender = candidate.lender_;
        const auto isRequestedRegion = request.region_.empty() || candidate.regions_.count(request.region_) > 0;
        if (isRequestedRegion && slots.skipUntil_.count(lender.host_.name_) == 0 && chosen[lender.proximity_] < peersPerProximity) {
            ++chosen[lender.proximity_];
            round.lenders_.push_back(lender);
        }
    }
    return round;
}

auto SlotAllocator::runBorrowRound(PoolSlots &slots, const std::string &pool, const BorrowRound &round, const Waiter &waiter) const -> void
{
    for (const auto &lender : round.lenders_) {
        const auto sentAt = loanClient_.clock_();
        if (sentAt >= round.endsAt_) {
            return;
        }
        const auto loan = loanClient_.borrowSlots_(lender.host_, round.revision_, pool, round.count_, round.endsAt_ - sentAt);
        const auto isLent = acceptLoan(slots, round, lender, sentAt, loan);
        logLine(wallNow(), LogLevel::Debug, isLent ? "slots borrowed" : "no slots borrowed", { { "pool", pool }, { "lender", lender.host_.name_ } });
        const auto lock = absl::MutexLock(&slots.mutex_);
        if (waiter.grant_.has_value()) {
            return;
        }
    }
}

auto SlotAllocator::acceptLoan(PoolSlots &slots,
                               const BorrowRound &round,
                               const Lender &lender,
                               absl::Time sentAt,
                               const std::optional<peer::SlotLoan> &loan) const -> bool
{
    const auto lock = absl::MutexLock(&slots.mutex_);
    const auto now = loanClient_.clock_();
    if (!loan.has_value()) {
        slots.skipUntil_[lender.host_.name_] = now + skipAfterTimeout;
        return false;
    }
    // A loan from an earlier revision is discarded: its lender may no longer own the slots.
    if (slots.revision_ != round.revision_) {
        return false;
    }
    auto isLent = false;
    for (const auto &[name, count] : loan->slots) {
        const auto backend = slots.backends_.find(name);
        if (backend != slots.backends_.end() && count > 0) {
            borrow(backend->second.share_, now, count, sentAt + round.loanDuration_, lender.host_.name_, loan->loan);
            isLent = true;
        }
    }
    if (!isLent) {
        slots.skipUntil_[lender.host_.name_] = now + skipAfterRefusal;
    }
    serveWaiters(slots, now);
    return isLent;
}

auto SlotAllocator::releaseSlot(absl::Time now, const SlotGrant &grant, bool certainlyEnded) -> void
{
    auto *slots = find(grant.pool_);
    if (slots == nullptr) {
        return;
    }
    const auto lock = absl::MutexLock(&slots->mutex_);
    const auto time = currentTime(now);
    const auto backend = slots->backends_.find(grant.backend_.name_);
    if (backend != slots->backends_.end()) {
        releaseUse(backend->second.share_, time, grant.id_, certainlyEnded);
    }
    serveWaiters(*slots, time);
}

auto SlotAllocator::lendSlots(absl::Time now, std::int64_t revision, const std::string &pool, int count) -> LentSlots
{
    auto *slots = find(pool);
    if (slots == nullptr) {
        return {};
    }
    const auto lock = absl::MutexLock(&slots->mutex_);
    if (slots->revision_ != revision || !slots->waiters_.empty()) {
        return {};
    }
    const auto time = currentTime(now);
    auto freeSlots = std::map<std::string, int> {};
    auto total = 0;
    auto uses = 0;
    for (auto &[name, backend] : slots->backends_) {
        advance(backend.share_, time);
        uses += static_cast<int>(backend.share_.uses_.size());
        if (backend.isUsable_) {
            freeSlots[name] = freeOwnSlots(backend.share_);
            total += freeSlots[name];
        }
    }
    updatePeak(*slots, time);
    const auto reserved = static_cast<int>(std::ceil(slots->peakUse_)) - uses;
    auto lent = std::map<std::string, int> {};
    for (auto remaining = std::min(count, total - reserved); remaining > 0; --remaining) {
        const auto mostFree = std::max_element(freeSlots.begin(), freeSlots.end(), [](const auto &a, const auto &b) {
            return a.second < b.second;
        });
        --mostFree->second;
        ++lent[mostFree->first];
    }
    const auto loanId = lent.empty() ? 0 : ++lastLoanId_;
    for (const auto &[name, slotCount] : lent) {
        std::ignore = lend(slots->backends_.at(name).share_, time, slotCount, time + withClockDriftMargin(slots->loanDuration_), loanId);
    }
    return { std::move(lent), loanId };
}

auto SlotAllocator::planReturns(PoolSlots &slots, absl::Time now) const -> std::vector<SlotReturn>
{
    slots.mutex_.AssertHeld();
    if (!slots.waiters_.empty()) {
        return {};
    }
    auto byLoan = std::map<std::pair<std::string, std::int64_t>, std::map<std::string, int>> {};
    for (auto &[name, backend] : slots.backends_) {
        for (const auto &remainder : releaseIdleSlots(backend.share_, now, idleBeforeReturn)) {
            byLoan[{ remainder.lender_, remainder.lenderLoanId_ }][name] = remainder.slots_;
        }
    }
    auto returns = std::vector<SlotReturn> {};
    for (auto &[loanKey, keptSlots] : byLoan) {
        for (const auto &candidate : slots.lenders_) {
            if (candidate.lender_.host_.name_ == loanKey.first) {
                returns.push_back({ candidate.lender_.host_, loanKey.second, std::move(keptSlots) });
                break;
            }
        }
    }
    return returns;
}

auto SlotAllocator::returnIdle(absl::Time now) -> void
{
    if (!loanClient_.returnSlots_) {
        return;
    }
    auto pools = std::vector<std::pair<std::string, PoolSlots *>> {};
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        for (const auto &[name, slots] : pools_) {
            pools.emplace_back(name, slots.get());
        }
    }
    for (const auto &[name, slots] : pools) {
        auto returns = std::vector<SlotReturn> {};
        {
            const auto lock = absl::MutexLock(&slots->mutex_);
            returns = planReturns(*slots, currentTime(now));
        }
        // This host has already stopped using the slots, so the lender may use them at once.
        for (const auto &entry : returns) {
            loanClient_.returnSlots_(entry.lender_, name, entry.loanId_, entry.keptSlots_);
        }
    }
}

auto SlotAllocator::acceptReturn(absl::Time now, const std::string &pool, std::int64_t loanId, const std::map<std::string, int> &keptSlots) -> void
{
    auto *slots = find(pool);
    if (slots == nullptr) {
        return;
    }
    const auto lock = absl::MutexLock(&slots->mutex_);
    const auto time = currentTime(now);
    for (const auto &[name, count] : keptSlots) {
        const auto backend = slots->backends_.find(name);
        if (backend != slots->backends_.end()) {
            reduceLoan(backend->second.share_, time, loanId, count);
        }
    }
    serveWaiters(*slots, time);
}

auto SlotAllocator::slotsOf(const std::string &pool, const std::string &backend) const -> SlotShare
{
    const auto *slots = find(pool);
    if (slots == nullptr) {
        return {};
    }
    const auto lock = absl::MutexLock(&slots->mutex_);
    const auto found = slots->backends_.find(backend);
    return found == slots->backends_.end() ? SlotShare {} : found->second.share_;
}

}
