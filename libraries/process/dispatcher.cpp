#include "process/dispatcher.h"

#include "core/clock.h"

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

// Attempts for which no byte was sent; more would only add delay when a whole zone is unreachable.
constexpr auto maximumUnsentAttempts = 3;

constexpr auto overloadedStatus = 503;

// The part of the remaining time that a request may wait for a slot; the rest is left for running it.
constexpr auto waitingShare = 0.8;

// The part of the remaining time after which a connection used before counts as silent; the rest is left for the retry.
constexpr auto firstByteShare = 0.5;

auto refusalOf(ExchangeStatus status) -> Refusal
{
    switch (status) {
    case ExchangeStatus::NotSent:
        return Refusal::BackendUnreachable;
    case ExchangeStatus::TimedOut:
    case ExchangeStatus::Silent:
        return Refusal::DeadlineExceeded;
    case ExchangeStatus::Ended:
    case ExchangeStatus::Incomplete:
    case ExchangeStatus::Whole:
        return Refusal::ResponseIncomplete;
    }
    return Refusal::ResponseIncomplete;
}

auto contains(const std::vector<std::string> &names, const std::string &name) -> bool
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

}

Dispatcher::Dispatcher(ShareKeeper *shares)
    : shares_(shares)
{
}

auto Dispatcher::dispatch(const DispatchRequest &request) -> DispatchResult
{
    auto result = DispatchResult {};
    const auto *pool = findByName(request.configuration_->pools_, request.route_->pool_);
    if (pool == nullptr) {
        result.refusal_ = Refusal::NoCapacity;
        return result;
    }
    {
        const auto lock = absl::MutexLock(&mutex_);
        retries_ = withRequest(retries_);
    }
    auto tried = std::vector<std::string> {};
    auto begun = false;
    auto maySent = false;
    auto unsentAttempts = 0;
    while (true) {
        const auto now = monotonicNow();
        const auto excluded = excludedBackends(request, *pool, tried);
        result.candidates_ = static_cast<int>(pool->backends_.size() - excluded.size());
        const auto waitUntil = now + (request.deadline_ - now) * waitingShare;
        const auto slotRequest = SlotRequest { pool->name_, request.organisation_, "", excluded, request.deadline_, waitUntil };
        const auto grant = result.candidates_ > 0 && now < request.deadline_ ? shares_->takeSlot(now, slotRequest) : std::nullopt;
        if (!grant) {
            // After an earlier attempt the result of that attempt stands.
            if (!result.answer_ && !result.refusal_) {
                result.refusal_ = Refusal::NoCapacity;
            }
            return result;
        }
        if (!begun && request.beforeSend_) {
            const auto refusal = request.beforeSend_();
            if (refusal) {
                shares_->returnSlot(monotonicNow(), *grant, true);
                result.refusal_ = refusal;
                return result;
            }
        }
        begun = true;
        const auto &backend = grant->backend_;
        result.backend_ = backend.name_;
        result.region_ = regionOfZone(*request.configuration_, backend.zone_);
        result.attempts_ += 1;
        auto call = BackendCall { backend.address_, std::min(request.deadline_, grant->deadline_), request.repeatable_ };
        if (request.repeatable_) {
            call.firstByteLimit_ = (call.deadline_ - monotonicNow()) * firstByteShare;
        }
        auto exchange = connections_.exchange(call, request.content_);
        const auto certainlyEnded = exchange.status_ == ExchangeStatus::Whole || exchange.status_ == ExchangeStatus::NotSent;
        shares_->returnSlot(monotonicNow(), *grant, certainlyEnded);
        result.detail_ = std::string(exchangeStatusName(exchange.status_)) + (exchange.detail_.empty() ? "" : ": " + exchange.detail_);
        tried.push_back(backend.name_);
        if (exchange.status_ == ExchangeStatus::Silent || exchange.status_ == ExchangeStatus::TimedOut) {
            // Other connections to the same server may be just as unresponsive.
            connections_.closeIdle(backend.address_);
        }
        if (exchange.status_ == ExchangeStatus::Whole) {
            result.answer_ = std::move(exchange.answer_);
            result.refusal_.reset();
            if (result.answer_->status_ != overloadedStatus || !request.repeatable_ || maySent || !takeRetry()) {
                return result;
            }
            maySent = true;
            continue;
        }
        if (!result.answer_ && (exchange.status_ != ExchangeStatus::NotSent || !maySent)) {
            result.refusal_ = refusalOf(exchange.status_);
        }
        if (exchange.status_ == ExchangeStatus::NotSent) {
            unsentAttempts += 1;
            if (unsentAttempts >= maximumUnsentAttempts) {
                return result;
            }
            continue;
        }
        if (!request.repeatable_ || maySent || !takeRetry()) {
            return result;
        }
        maySent = true;
    }
}

auto Dispatcher::setLeavingBackends(std::vector<std::string> names) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    leaving_ = std::move(names);
}

auto Dispatcher::excludedBackends(const DispatchRequest &request, const Pool &pool, const std::vector<std::string> &tried) const -> std::vector<std::string>
{
    auto excluded = std::vector<std::string> {};
    const auto lock = absl::ReaderMutexLock(&mutex_);
    for (const auto &backend : pool.backends_) {
        if (isDrained(*request.configuration_, backend) || contains(leaving_, backend.name_) || contains(tried, backend.name_)) {
            excluded.push_back(backend.name_);
        }
    }
    return excluded;
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

}
