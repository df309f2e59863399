/** The table of idempotency keys, with waiting for a request that is running. */
#pragma once

#include "request/idempotencytable.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <memory>
#include <string>

namespace lycheecleat
{

/** Names one idempotency key and the request that came with it. */
struct IdempotentRequest
{
    std::string organisation_;
    std::string key_;
    std::string requestDigest_;
    /** Monotonic time until which the key is kept. */
    absl::Time keepUntil_;
};

/** A decision with the answer to replay. */
struct IdempotencyResult
{
    IdempotencyDecision decision_ = IdempotencyDecision::Execute;
    std::shared_ptr<const HttpResponse> answer_;
};

/** Idempotency keys of this run. Thread-safe. */
class IdempotencyRegistry
{
public:
    IdempotencyRegistry(std::size_t maximumEntries, std::size_t maximumAnswerBytes);

    /** Decides on a request; while another one with its key is running, waits until the given monotonic time and then returns Wait. */
    [[nodiscard]] auto begin(const IdempotentRequest &request, absl::Time waitUntil) -> IdempotencyResult;

    /** Whether a key is known, without changing anything. */
    [[nodiscard]] auto contains(const IdempotentRequest &request) const -> bool;

    auto finish(const IdempotentRequest &request, std::shared_ptr<const HttpResponse> answer) -> void;
    auto finishUnknown(const IdempotentRequest &request) -> void;
    auto forget(const IdempotentRequest &request) -> void;

private:
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    IdempotencyTable table_ ABSL_GUARDED_BY(mutex_);
};

}
