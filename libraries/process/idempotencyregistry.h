/** Thread-safe table of idempotency keys, in which a duplicate waits for the request that is running. */
#pragma once

#include "request/idempotencytable.h"

#include <absl/base/thread_annotations.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <memory>
#include <string>

namespace lycheecleat
{

/** An idempotency key and the request that came with it. */
struct IdempotentRequest
{
    std::string organisation_;
    std::string key_;
    std::string requestDigest_;
    /** Monotonic time until which the key is kept at least. */
    absl::Time keepUntil_;
};

/** A decision, and the response to replay if there is one. */
struct IdempotencyResult
{
    IdempotencyDecision decision_ = IdempotencyDecision::Execute;
    std::shared_ptr<const HttpResponse> response_;
};

/** Idempotency keys that this run executes. Thread-safe. */
class IdempotencyRegistry
{
public:
    /** Takes the largest number of keys and the largest total size of responses, in bytes, that are held. */
    IdempotencyRegistry(std::size_t maximumEntries, std::size_t maximumResponseBytes);

    /** Decides on a request. Blocks while another one with its key is running, and returns Wait if that still runs at the given monotonic time. */
    [[nodiscard]] auto begin(const IdempotentRequest &request, absl::Time waitUntil) -> IdempotencyResult;

    /** Whether the key is in the table. */
    [[nodiscard]] auto contains(const IdempotentRequest &request) const -> bool;

    /**
     * Stores the response of a key for which begin returned Execute, and wakes the requests that wait for it. A response that no longer fits is dropped,
     * and the outcome of the key is then unknown.
     */
    auto finish(const IdempotentRequest &request, std::shared_ptr<const HttpResponse> response) -> void;
    /** Marks the outcome of a key for which begin returned Execute as unknown, and wakes the requests that wait for it. */
    auto finishUnknown(const IdempotentRequest &request) -> void;
    /**
     * Removes a key for which begin returned Execute and whose request certainly did not run. Wakes the requests that wait for it, so that one of them can
     * run.
     */
    auto forget(const IdempotentRequest &request) -> void;

private:
    mutable absl::Mutex mutex_;
    absl::CondVar changed_;
    IdempotencyTable table_ ABSL_GUARDED_BY(mutex_);
};

}
