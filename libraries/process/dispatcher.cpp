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

/** Attempts that may end before a byte was sent; more would only add delay when a whole zone is unreachable. */
constexpr auto maximumUnsentAttempts = 3;

constexpr auto overloadedStatus = 503;

/** Fraction of the remaining time that a request may wait for a slot; the rest is left for running it. */
constexpr auto slotWaitFraction = 0.8;

/** Fraction of the remaining time to wait for the first byte of a response on a reused connection; the rest is left for the retry. */
constexpr auto firstByteFraction = 0.5;

/** Longest wait between taking a token of a shift's cap and sending. Tokens taken within this time may all be used at once. */
constexpr auto longestTokenAge = absl::Milliseconds(20);

/** Bounds the memory of crash records under many different failing requests. */
constexpr auto maximumCrashRecords = std::size_t { 1000 };

/** A server of another zone counts as in use for this time after a request. */
constexpr auto inUseDuration = absl::Minutes(1);

auto refusalOf(ExchangeStatus status) -> Refusal
{
    switch (status) {
    case ExchangeStatus::NotSent:
        return Refusal::BackendUnreachable;
    case ExchangeStatus::Cancelled:
        return Refusal::NoCapacity;
    case ExchangeStatus::CallerLeft:
        return Refusal::CallerLeft;
    case ExchangeStatus::TimedOut:
    case ExchangeStatus::Silent:
    case ExchangeStatus::Abandoned:
        return Refusal::DeadlineExceeded;
    case ExchangeStatus::ClosedWithoutResponse:
    case ExchangeStatus::Incomplete:
    case ExchangeStatus::Complete:
        return Refusal::ResponseIncomplete;
    }
    return Refusal::ResponseIncomplete;
}

// Whether no byte of the request reached a backend server.
auto isUnsent(const BackendExchange &exchange) -> bool
{
    return exchange.status_ == ExchangeStatus::NotSent || exchange.status_ == ExchangeStatus::Cancelled;
}

auto exchangeHealthOf(const BackendExchange &exchange) -> ExchangeHealth
{
    if (exchange.status_ == ExchangeStatus::Complete) {
        return exchange.closing_ ? ExchangeHealth::Closing : ExchangeHealth::Success;
    }
    return exchange.status_ == ExchangeStatus::NotSent ? ExchangeHealth::Unreachable : ExchangeHealth::Failure;
}

auto fingerprintOf(const DispatchRequest &request) -> std::string
{
    const auto &content = request.content_;
    // The lengths keep different requests from having the same text.
    const auto head = fmt::format("{} {} {} {} {}\n", request.organisation_, content.method_, content.target_.size(), content.target_, content.body_.size());
    return sha256Hex(head, content.body_);
}

auto appendMissing(std::vector<std::string> &names, const std::vector<std::string> &added) -> void
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
        appendMissing(regions, { regionOfZone(configuration, backend.zone_) });
    }
    return regions;
}

}

struct Dispatcher::RequestState
{
    const DispatchRequest &request_;
    const Pool &pool_;
    DispatchResult result_;
    std::vector<std::string> tried_;
    std::uint64_t hash_ = 0;
    /** Shift whose cap the request counts against; null when none does. */
    const Shift *shift_ = nullptr;
    /** When its token of that cap was taken. */
    absl::Time tokenAt_ = absl::InfinitePast();
    int unsentAttempts_ = 0;
    /** beforeSend_ has been called. */
    bool hasCalledBeforeSend_ = false;
    /** A byte may have reached a backend server. */
    bool mayHaveReachedBackend_ = false;
    /** The one retry that is allowed after an attempt that may have reached a backend server has been used. */
    bool isRetried_ = false;
};

Dispatcher::Dispatcher(std::string zone, LimitEnforcer *limits)
    : zone_(std::move(zone))
    , limits_(limits)
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
    auto state = RequestState { request, *pool, {}, {}, stableHash(request.requestId_) };
    while (true) {
        const auto grant = acquireSlot(state);
        if (!grant) {
            // The result of an earlier attempt is kept.
            if (!state.result_.response_ && !state.result_.refusal_) {
                state.result_.refusal_ = Refusal::NoCapacity;
            }
            return std::move(state.result_);
        }
        if (endsBeforeSend(state, *grant) || isNoLongerAllowed(state, *grant) || evaluateExchange(state, send(state, *grant))) {
            return std::move(state.result_);
        }
    }
}

auto Dispatcher::configure(absl::Time now, const ConfigurationPointer &configuration) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    // A request that started under an earlier revision must not make that revision current again.
    const auto isNewer = !configuration_ || configuration->revision_ > configuration_->revision_;
    if (isNewer) {
        configuration_ = configuration;
        health_.configure(now, *configuration, leaving_);
        absl::erase_if(usedAt_, [&](const auto &entry) {
            return entry.second + inUseDuration < now;
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

// Without a shift of the pool, one choice takes the nearest slot in any region. With one, each region is a choice of its own, so that failover to a region
// counts against the cap of its shift too.
auto Dispatcher::regionChoices(const RequestState &state) const -> std::vector<RegionChoice>
{
    const auto &configuration = *state.request_.configuration_;
    const auto home = regionOfZone(configuration, zone_);
    if (!hasShifts(configuration, state.pool_.name_, home)) {
        return { {} };
    }
    auto choices = std::vector<RegionChoice> {};
    const auto *chosen = chooseShift(configuration, state.pool_.name_, home, wallNow(), state.hash_);
    if (chosen != nullptr) {
        choices.push_back({ chosen->to_, chosen });
    }
    for (const auto &region : regionsOf(configuration, state.pool_, home)) {
        if (chosen == nullptr || region != chosen->to_) {
            choices.push_back({ region, findShift(configuration, state.pool_.name_, home, region) });
        }
    }
    return choices;
}

auto Dispatcher::acquireSlot(RequestState &state) -> std::optional<SlotGrant>
{
    const auto now = monotonicNow();
    const auto excluded = exclusionsOf(state);
    if (state.result_.candidates_ <= 0 || now >= state.request_.deadline_) {
        return std::nullopt;
    }
    const auto choices = regionChoices(state);
    const auto waitPerChoice = (state.request_.deadline_ - now) * slotWaitFraction / static_cast<std::int64_t>(choices.size());
    for (const auto &choice : choices) {
        auto grant = acquireSlotIn(state, choice, excluded, monotonicNow() + waitPerChoice);
        if (grant) {
            state.result_.region_ = regionOfZone(*state.request_.configuration_, grant->backend_.zone_);
            state.result_.shift_ = choice.shift_ == nullptr ? "" : choice.shift_->name_;
            return grant;
        }
    }
    return std::nullopt;
}

auto Dispatcher::acquireSlotIn(RequestState &state, const RegionChoice &choice, const std::vector<std::string> &excluded, absl::Time waitUntil)
    -> std::optional<SlotGrant>
{
    const auto now = monotonicNow();
    // The token is taken first: a slot that is released again because the cap is reached would have kept another request waiting.
    if (choice.shift_ != nullptr && !limits_->takeToken(now, shiftLimitName(choice.shift_->name_))) {
        return std::nullopt;
    }
    const auto slotRequest = SlotRequest { state.pool_.name_, state.request_.organisation_, choice.region_, excluded, state.request_.deadline_, waitUntil };
    state.shift_ = choice.shift_;
    state.tokenAt_ = monotonicNow();
    auto grant = limits_->acquireSlot(now, slotRequest);
    // Requests that held a token while they waited would all run at once when slots become free, far above the cap, so an old token is replaced by a new one.
    if (grant && isTokenOld(state)) {
        if (!limits_->takeToken(monotonicNow(), shiftLimitName(choice.shift_->name_))) {
            limits_->releaseSlot(monotonicNow(), *grant, true);
            return std::nullopt;
        }
        state.tokenAt_ = monotonicNow();
    }
    return grant;
}

auto Dispatcher::isTokenOld(const RequestState &state) -> bool
{
    return state.shift_ != nullptr && monotonicNow() - state.tokenAt_ > longestTokenAge;
}

// Returns the backend servers to leave out. Those whose exclusion is only preferred are used when no others remain.
auto Dispatcher::exclusionsOf(RequestState &state) const -> std::vector<std::string>
{
    auto exclusions = Exclusions {};
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        exclusions = health_.exclusions(monotonicNow(), state.pool_, state.hash_);
    }
    auto required = state.tried_;
    appendMissing(required, exclusions.required_);
    auto all = required;
    appendMissing(all, exclusions.preferred_);
    const auto &chosen = all.size() < state.pool_.backends_.size() ? all : required;
    state.result_.candidates_ = static_cast<int>(state.pool_.backends_.size()) - static_cast<int>(chosen.size());
    return chosen;
}

// Calls beforeSend_ before the first attempt. Returns whether the request ends with its result; the slot is released then.
auto Dispatcher::endsBeforeSend(RequestState &state, const SlotGrant &grant) -> bool
{
    if (state.hasCalledBeforeSend_ || !state.request_.beforeSend_) {
        state.hasCalledBeforeSend_ = true;
        return false;
    }
    state.hasCalledBeforeSend_ = true;
    auto result = state.request_.beforeSend_();
    if (!result) {
        return false;
    }
    limits_->releaseSlot(monotonicNow(), grant, true);
    if (auto *response = std::get_if<HttpResponse>(&*result)) {
        state.result_.response_ = std::move(*response);
    } else {
        state.result_.refusal_ = std::get<Refusal>(*result);
    }
    return true;
}

// Returns whether the request may no longer be sent, because recheck_ refuses it or the deadline of the slot has passed. The slot is released then, and
// the result of an attempt that may have reached a backend server is kept.
auto Dispatcher::isNoLongerAllowed(RequestState &state, const SlotGrant &grant) -> bool
{
    auto refusal = state.request_.recheck_ ? state.request_.recheck_() : std::nullopt;
    if (!refusal && monotonicNow() >= grant.deadline_) {
        refusal = Refusal::NoCapacity;
    }
    if (!refusal) {
        return false;
    }
    limits_->releaseSlot(monotonicNow(), grant, true);
    if (!state.mayHaveReachedBackend_) {
        state.result_.refusal_ = refusal;
    }
    return true;
}

auto Dispatcher::send(RequestState &state, const SlotGrant &grant) -> BackendExchange
{
    const auto &backend = grant.backend_;
    state.result_.backend_ = backend.name_;
    state.result_.attempts_ += 1;
    state.tried_.push_back(backend.name_);
    auto call = BackendCall { backend.address_, std::min(state.request_.deadline_, grant.deadline_), state.request_.repeatable_ };
    call.organisation_ = state.request_.organisation_;
    if (state.request_.repeatable_) {
        call.firstByteTimeout_ = (call.deadline_ - monotonicNow()) * firstByteFraction;
        call.needsNewConnection_ = state.isRetried_;
    }
    // The token may have become old in beforeSend_ or while the connection was opened. The request then acquires another one and uses that connection.
    call.maySend_ = [&] {
        return !isTokenOld(state);
    };
    auto exchange = connections_.exchange(call, state.request_.content_);
    const auto certainlyEnded = exchange.status_ == ExchangeStatus::Complete || isUnsent(exchange);
    limits_->releaseSlot(monotonicNow(), grant, certainlyEnded);
    state.result_.detail_ = std::string(exchangeStatusName(exchange.status_)) + (exchange.detail_.empty() ? "" : ": " + exchange.detail_);
    recordExchange(state, grant, exchange);
    return exchange;
}

auto Dispatcher::recordExchange(const RequestState &state, const SlotGrant &grant, const BackendExchange &exchange) -> void
{
    const auto &backend = grant.backend_;
    if (exchange.status_ == ExchangeStatus::Cancelled) {
        return;
    }
    if (exchange.status_ == ExchangeStatus::Silent || exchange.status_ == ExchangeStatus::TimedOut) {
        // Other connections to the same server may be just as unresponsive.
        connections_.closeIdle(backend.address_);
    }
    const auto now = monotonicNow();
    // A server that closes an idle connection just as it is reused has not crashed: it still accepts new connections.
    const auto isCrash =
        exchange.status_ == ExchangeStatus::ClosedWithoutResponse && (!exchange.wasIdleForLong_ || !connections_.isAccepting(backend.address_));
    const auto fingerprint = isCrash ? fingerprintOf(state.request_) : std::string {};
    const auto lock = absl::MutexLock(&mutex_);
    usedAt_[backend.name_] = now;
    health_.recordExchange(now, backend.name_, exchangeHealthOf(exchange));
    if (isCrash) {
        crashes_.record(now, { fingerprint, { backend.name_ }, now });
    }
}

// Records the result of an attempt. Returns whether the request ends with it; otherwise another attempt follows.
auto Dispatcher::evaluateExchange(RequestState &state, BackendExchange exchange) -> bool
{
    if (isUnsent(exchange)) {
        // An earlier attempt that may have been executed decides the outcome.
        if (!state.mayHaveReachedBackend_) {
            state.result_.refusal_ = refusalOf(exchange.status_);
        }
        if (exchange.status_ == ExchangeStatus::Cancelled) {
            state.tried_.pop_back();
        }
        state.unsentAttempts_ += 1;
        return state.unsentAttempts_ >= maximumUnsentAttempts;
    }
    state.mayHaveReachedBackend_ = true;
    if (exchange.status_ == ExchangeStatus::Complete) {
        state.result_.response_ = std::move(exchange.response_);
        state.result_.refusal_.reset();
        if (state.result_.response_->status_ != overloadedStatus) {
            return true;
        }
    } else if (!state.result_.response_) {
        state.result_.refusal_ = refusalOf(exchange.status_);
    }
    if (!state.request_.repeatable_ || state.isRetried_ || !takeRetry()) {
        return true;
    }
    state.isRetried_ = true;
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
            const auto isUsed = used != usedAt_.end() && now - used->second < inUseDuration;
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
        isChanged = health_.recordReport(now, backend, report);
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
