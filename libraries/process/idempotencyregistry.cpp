#include "process/idempotencyregistry.h"

#include "core/clock.h"

namespace lycheecleat
{

IdempotencyRegistry::IdempotencyRegistry(std::size_t maximumEntries, std::size_t maximumResponseBytes)
    : table_(maximumEntries, maximumResponseBytes)
{
}

auto IdempotencyRegistry::begin(const IdempotentRequest &request, absl::Time waitUntil) -> IdempotencyResult
{
    const auto lock = absl::MutexLock(&mutex_);
    while (true) {
        const auto now = monotonicNow();
        const auto decision = table_.begin(now, request.organisation_, request.key_, request.requestDigest_, request.keepUntil_);
        if (decision == IdempotencyDecision::Replay) {
            return { decision, table_.find(request.organisation_, request.key_)->response_ };
        }
        if (decision != IdempotencyDecision::Wait || now >= waitUntil) {
            return { decision, nullptr };
        }
        changed_.WaitWithTimeout(&mutex_, waitUntil - now);
    }
}

auto IdempotencyRegistry::contains(const IdempotentRequest &request) const -> bool
{
    const auto lock = absl::MutexLock(&mutex_);
    return table_.find(request.organisation_, request.key_) != nullptr;
}

auto IdempotencyRegistry::finish(const IdempotentRequest &request, std::shared_ptr<const HttpResponse> response) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    table_.finish(request.organisation_, request.key_, std::move(response));
    changed_.SignalAll();
}

auto IdempotencyRegistry::finishUnknown(const IdempotentRequest &request) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    table_.finishUnknown(request.organisation_, request.key_);
    changed_.SignalAll();
}

auto IdempotencyRegistry::forget(const IdempotentRequest &request) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    table_.forget(request.organisation_, request.key_);
    changed_.SignalAll();
}

}
