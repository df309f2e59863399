#include "process/dispatcher.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "request/shiftdecision.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Attempts for which no byte was sent; more would only add delay when a whole zone is unreachable. */
constexpr auto maximumUnsentAttempts = 3;

constexpr auto overloadedStatus = 503;

/** The part of the remaining time that a request may wait for a slot; the rest is left for running it. */
constexpr auto waitingShare = 0.8;

/** The part of the remaining time after which a connection used before counts as silent; the rest is left for the retry. */
constexpr auto firstByteShare = 0.5;

/** Longest wait for a slot with a token of a shift's cap. Tokens taken over this time may be used at once. */
constexpr auto longestTokenAge = absl::Milliseconds(20);

/** Bounds the memory of crash records under many different failing requests. */
constexpr auto maximumCrashRecords = std::size_t { 1000 };

/** A server of another zone counts as in use for this time after a request. */
constexpr auto useTime = absl::Minutes(1);

auto refusalOf(ExchangeStatus status) -> Refusal
{
    switch (status) {
    case ExchangeStatus::NotSent:
        return Refusal::BackendUnreachable;
    case ExchangeStatus::TimedOut:
    case ExchangeStatus::Silent:
    case ExchangeStatus::Abandoned:
        return Refusal::DeadlineExceeded;
    case ExchangeStatus::Ended:
    case ExchangeStatus::Incomplete:
    case ExchangeStatus::Whole:
        return Refusal::ResponseIncomplete;
    }
    return Refusal::ResponseIncomplete;
}

auto healthSignOf(const BackendExchange &exchange) -> ExchangeHealth
{
    if (exchange.status_ == ExchangeStatus::Whole) {
        return exchange.closing_ ? ExchangeHealth::Closing : ExchangeHealth::Success;
    }
    return exchange.status_ == ExchangeStatus::NotSent ? ExchangeHealth::Unreachable : ExchangeHealth::Failure;
}

auto fingerprintOf(const DispatchRequest &request) -> std::string
{
    const auto &content = request.content_;
    // Lengths keep different requests from having one text.
    const auto head = fmt::format("{} {} {} {} {}\n", request.organisation_, content.method_, content.target_.size(), content.target_, content.body_.size());
    return sha256Hex(head + content.body_);
}

auto append(std::vector<std::string> &names, const std::vector<std::string> &added) -> void
{
    for (const auto &name : added) {
        if (std::find(names.begin(), names.end(), name) == names.end()) {
            names.push_back(name);
        }
    }
}

// Regions that hold backend servers of a pool, the given one first.
auto regionsOf(const Configuration &configuration, const Pool &pool, const std::string &first) -> std::vector<std::string>
{
    auto regions = std::vector<std::string> { first };
    for (const auto &backend : pool.backends_) {
        append(regions, { regionOfZone(configuration, backend.zone_) });
    }
    return regions;
}

}

struct Dispatcher::Run
{
    const DispatchRequest &request_;
    const Pool &pool_;
    DispatchResult result_;
    std::vector<std::string> tried_;
    std::uint64_t hash_ = 0;
    int unsentAttempts_ = 0;
    /** beforeSend_ has been called. */
    bool isBegun_ = false;
    /** A byte may have reached a backend server. */
    bool isSent_ = false;
    /** The one retry after that has been used. */
    bool isRetried_ = false;
};

Dispatcher::Dispatcher(std::string zone, ShareKeeper *shares)
    : zone_(std::move(zone))
    , shares_(shares)
    , crashes_(maximumCrashRecords)
{
}

auto Dispatcher::dispatch(const DispatchRequest &request) -> DispatchResult
{
    const auto *pool = findByName(request.configuration_->pools_, request.route_->pool_);
    auto refused = DispatchResult {};
    if (pool == nullptr) {
        refused.refusal_ = Refusal::NoCapacity;
        return refused;
    }
    configure(monotonicNow(), request.configuration_);
    {
        const auto lock = absl::MutexLock(&mutex_);
        retries_ = withRequest(retries_);
    }
    if (isSuspect(request)) {
        refused.refusal_ = Refusal::CrashSuspect;
        return refused;
    }
    auto run = Run { request, *pool, {}, {}, stableHash(request.requestId_) };
    while (true) {
        const auto grant = acquire(run);
        if (!grant) {
            // After an earlier attempt the result of that attempt stands.
            if (!run.result_.answer_ && !run.result_.refusal_) {
                run.result_.refusal_ = Refusal::NoCapacity;
            }
            return std::move(run.result_);
        }
        if (isStopped(run, *grant) || isOverdue(run, *grant) || isSettled(run, send(run, *grant))) {
            return std::move(run.result_);
        }
    }
}

auto Dispatcher::configure(absl::Time now, const ConfigurationPointer &configuration) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    // A request that began before the newest revision must not undo it.
    const auto isNewer = !configuration_ || configuration->revision_ > configuration_->revision_;
    if (isNewer) {
        configuration_ = configuration;
        health_.configure(now, *configuration, leaving_);
        absl::erase_if(usedAt_, [&](const auto &entry) {
            return entry.second + useTime < now;
        });
    }
}

auto Dispatcher::isSuspect(const DispatchRequest &request) const -> bool
{
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        if (crashes_.isEmpty()) {
            return false;
        }
    }
    const auto fingerprint = fingerprintOf(request);
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return crashes_.isSuspect(monotonicNow(), fingerprint);
}

// Without a shift for the pool, the nearest slot is taken. With one, each region is asked for by itself, so that failover to it is counted too.
auto Dispatcher::regionChoices(const Run &run) const -> std::vector<RegionChoice>
{
    const auto &configuration = *run.request_.configuration_;
    const auto home = regionOfZone(configuration, zone_);
    if (!hasShifts(configuration, run.pool_.name_, home)) {
        return { {} };
    }
    auto choices = std::vector<RegionChoice> {};
    const auto *chosen = chooseShift(configuration, run.pool_.name_, home, wallNow(), run.hash_);
    if (chosen != nullptr) {
        choices.push_back({ chosen->to_, chosen });
    }
    for (const auto &region : regionsOf(configuration, run.pool_, home)) {
        if (chosen == nullptr || region != chosen->to_) {
            choices.push_back({ region, findShift(configuration, run.pool_.name_, home, region) });
        }
    }
    return choices;
}

auto Dispatcher::acquire(Run &run) -> std::optional<SlotGrant>
{
    const auto now = monotonicNow();
    const auto excluded = exclusionsOf(run);
    if (run.result_.candidates_ <= 0 || now >= run.request_.deadline_) {
        return std::nullopt;
    }
    const auto choices = regionChoices(run);
    const auto waiting = (run.request_.deadline_ - now) * waitingShare / static_cast<std::int64_t>(choices.size());
    for (const auto &choice : choices) {
        auto grant = acquireIn(run, choice, excluded, monotonicNow() + waiting);
        if (grant) {
            run.result_.region_ = regionOfZone(*run.request_.configuration_, grant->backend_.zone_);
            run.result_.shift_ = choice.shift_ == nullptr ? "" : choice.shift_->name_;
            return grant;
        }
    }
    return std::nullopt;
}

auto Dispatcher::acquireIn(Run &run, const RegionChoice &choice, const std::vector<std::string> &excluded, absl::Time waitUntil) -> std::optional<SlotGrant>
{
    const auto now = monotonicNow();
    // The token comes first: a slot that is given back at the cap would have kept another request waiting.
    if (choice.shift_ != nullptr && !shares_->takeToken(now, shiftLimit(choice.shift_->name_))) {
        return std::nullopt;
    }
    const auto slotRequest = SlotRequest { run.pool_.name_, run.request_.organisation_, choice.region_, excluded, run.request_.deadline_, waitUntil };
    auto grant = shares_->takeSlot(now, slotRequest);
    const auto grantedAt = monotonicNow();
    // Requests that waited with a token would all run at once when slots come free, far above the cap, so the token has to be recent.
    const auto isOld = choice.shift_ != nullptr && grantedAt - now > longestTokenAge;
    if (grant && isOld && !shares_->takeToken(grantedAt, shiftLimit(choice.shift_->name_))) {
        shares_->returnSlot(monotonicNow(), *grant, true);
        return std::nullopt;
    }
    return grant;
}

// The servers to leave out. Those that are only better left out are used when no others remain.
auto Dispatcher::exclusionsOf(Run &run) const -> std::vector<std::string>
{
    auto exclusions = Exclusions {};
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        exclusions = health_.exclusions(monotonicNow(), run.pool_, run.hash_);
    }
    auto required = run.tried_;
    append(required, exclusions.required_);
    auto all = required;
    append(all, exclusions.preferred_);
    const auto &chosen = all.size() < run.pool_.backends_.size() ? all : required;
    run.result_.candidates_ = static_cast<int>(run.pool_.backends_.size()) - static_cast<int>(chosen.size());
    return chosen;
}

// Calls beforeSend_ at the first attempt, and gives the slot back when the request ends there.
auto Dispatcher::isStopped(Run &run, const SlotGrant &grant) -> bool
{
    if (run.isBegun_ || !run.request_.beforeSend_) {
        run.isBegun_ = true;
        return false;
    }
    run.isBegun_ = true;
    auto ended = run.request_.beforeSend_();
    if (!ended) {
        return false;
    }
    shares_->returnSlot(monotonicNow(), grant, true);
    if (auto *answer = std::get_if<HttpResponse>(&*ended)) {
        run.result_.answer_ = std::move(*answer);
    } else {
        run.result_.refusal_ = std::get<Refusal>(*ended);
    }
    return true;
}

// Whether the request must not be sent any more. The slot is given back, and the result of an earlier attempt stands.
auto Dispatcher::isOverdue(Run &run, const SlotGrant &grant) -> bool
{
    auto refusal = run.request_.recheck_ ? run.request_.recheck_() : std::nullopt;
    if (!refusal && monotonicNow() >= grant.deadline_) {
        refusal = Refusal::NoCapacity;
    }
    if (!refusal) {
        return false;
    }
    shares_->returnSlot(monotonicNow(), grant, true);
    if (!run.isSent_) {
        run.result_.refusal_ = refusal;
    }
    return true;
}

auto Dispatcher::send(Run &run, const SlotGrant &grant) -> BackendExchange
{
    const auto &backend = grant.backend_;
    run.result_.backend_ = backend.name_;
    run.result_.attempts_ += 1;
    run.tried_.push_back(backend.name_);
    auto call = BackendCall { backend.address_, std::min(run.request_.deadline_, grant.deadline_), run.request_.repeatable_ };
    call.organisation_ = run.request_.organisation_;
    if (run.request_.repeatable_) {
        call.firstByteLimit_ = (call.deadline_ - monotonicNow()) * firstByteShare;
        call.needsNewConnection_ = run.isRetried_;
    }
    auto exchange = connections_.exchange(call, run.request_.content_);
    const auto certainlyEnded = exchange.status_ == ExchangeStatus::Whole || exchange.status_ == ExchangeStatus::NotSent;
    shares_->returnSlot(monotonicNow(), grant, certainlyEnded);
    run.result_.detail_ = std::string(exchangeStatusName(exchange.status_)) + (exchange.detail_.empty() ? "" : ": " + exchange.detail_);
    note(run, grant, exchange);
    return exchange;
}

auto Dispatcher::note(const Run &run, const SlotGrant &grant, const BackendExchange &exchange) -> void
{
    const auto &backend = grant.backend_;
    if (exchange.status_ == ExchangeStatus::Silent || exchange.status_ == ExchangeStatus::TimedOut) {
        // Other connections to the same server may be just as unresponsive.
        connections_.closeIdle(backend.address_);
    }
    const auto now = monotonicNow();
    // A server that closes an idle connection at the moment of its reuse has not crashed, and takes new connections.
    const auto isCrash = exchange.status_ == ExchangeStatus::Ended && (!exchange.wasIdleForLong_ || !connections_.isAccepting(backend.address_));
    const auto fingerprint = isCrash ? fingerprintOf(run.request_) : std::string {};
    const auto lock = absl::MutexLock(&mutex_);
    usedAt_[backend.name_] = now;
    health_.note(now, backend.name_, healthSignOf(exchange));
    if (isCrash) {
        crashes_.record(now, { fingerprint, { backend.name_ }, now });
    }
}

// Whether the request has ended with this exchange; otherwise another attempt is allowed.
auto Dispatcher::isSettled(Run &run, BackendExchange exchange) -> bool
{
    if (exchange.status_ == ExchangeStatus::NotSent) {
        // An earlier attempt that may have been executed decides the outcome.
        if (!run.isSent_) {
            run.result_.refusal_ = Refusal::BackendUnreachable;
        }
        run.unsentAttempts_ += 1;
        return run.unsentAttempts_ >= maximumUnsentAttempts;
    }
    run.isSent_ = true;
    if (exchange.status_ == ExchangeStatus::Whole) {
        run.result_.answer_ = std::move(exchange.answer_);
        run.result_.refusal_.reset();
        if (run.result_.answer_->status_ != overloadedStatus) {
            return true;
        }
    } else if (!run.result_.answer_) {
        run.result_.refusal_ = refusalOf(exchange.status_);
    }
    if (!run.request_.repeatable_ || run.isRetried_ || !takeRetry()) {
        return true;
    }
    run.isRetried_ = true;
    return false;
}

auto Dispatcher::takeRetry() -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    if (!mayRetry(retries_)) {
        return false;
    }
    retries_ = withRetry(retries_);
    return true;
}

auto Dispatcher::setLeavingBackends(std::vector<std::string> names) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    leaving_ = std::move(names);
    if (configuration_) {
        health_.configure(monotonicNow(), *configuration_, leaving_);
    }
}

auto Dispatcher::backendsInUse(absl::Time now) const -> std::vector<BackendServer>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    auto servers = std::vector<BackendServer> {};
    if (!configuration_) {
        return servers;
    }
    for (const auto &pool : configuration_->pools_) {
        for (const auto &backend : pool.backends_) {
            const auto used = usedAt_.find(backend.name_);
            const auto isUsed = used != usedAt_.end() && now - used->second < useTime;
            if (backend.zone_ == zone_ || isUsed) {
                servers.push_back(backend);
            }
        }
    }
    return servers;
}

auto Dispatcher::reportHealth(absl::Time now, const std::string &backend, const HealthReport &report) -> void
{
    auto isChanged = false;
    {
        const auto lock = absl::MutexLock(&mutex_);
        isChanged = health_.report(now, backend, report);
    }
    if (isChanged) {
        const auto isLeaving = report.draining_ || report.closing_;
        logLine(wallNow(), LogLevel::Info, "backend_health", { { "backend", backend }, { "leaving", isLeaving ? "true" : "false" } });
    }
}

auto Dispatcher::crashRecords(absl::Time now) const -> std::vector<CrashRecord>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return crashes_.records(now);
}

auto Dispatcher::addCrashRecord(absl::Time now, const CrashRecord &record) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    crashes_.record(now, record);
}

}
