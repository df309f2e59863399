/** In-memory table of the idempotency keys whose requests this run of the host executes, with the responses for replay. */
#pragma once

#include "request/httpfields.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <memory>
#include <string>
#include <utility>

namespace lycheecleat
{

/** A complete HTTP response as it is sent to the caller. */
struct HttpResponse
{
    int status_ = 0;
    HeaderFields headers_;
    MessageBody body_;

    auto operator==(const HttpResponse &other) const -> bool = default;
};

/** State of an idempotency key. */
enum class IdempotencyState {
    Running,
    /** The response is stored and is replayed. */
    Done,
    /** The request may have run, but its response is not available. */
    Unknown,
};

/** One idempotency key. */
struct IdempotencyEntry
{
    IdempotencyState state_ = IdempotencyState::Running;
    /** Digest of the request, so that a different request with the same key doesn't receive this response. */
    std::string requestDigest_;
    std::shared_ptr<const HttpResponse> response_;
    /** Earliest expiry of the entry; it doesn't expire while the request is running. */
    absl::Time keepUntil_;
};

/** How to handle a request with an idempotency key. */
enum class IdempotencyDecision {
    /** The key is new and has been marked as running: execute the request. */
    Execute,
    /** A request with the key is running: wait for its response. */
    Wait,
    /** Send the stored response. */
    Replay,
    /** The request may have run, but its response is not available. */
    ResponseUnknown,
    /** The key was used for a different request. */
    Mismatch,
    /** The table is full: refuse the request. */
    Full,
};

/**
 * Idempotency keys by organisation and text. A request with a key in the table isn't executed again until the key expires. Not thread-safe. Times are
 * monotonic.
 */
class IdempotencyTable
{
public:
    /** Bounds of the number of keys and of the total bytes of stored responses. */
    IdempotencyTable(std::size_t maximumEntries, std::size_t maximumResponseBytes);

    /**
     * Decides how to handle a request and marks its key as running if it is to be executed. The key then stays in the table until the given time at
     * least, and until the request has ended. Removes expired keys from time to time; keys that have not expired are never evicted, not even when the
     * table is full.
     */
    [[nodiscard]] auto begin(absl::Time now, const std::string &organisation, const std::string &key, const std::string &requestDigest, absl::Time keepUntil)
        -> IdempotencyDecision;

    /** Stores the response of a running key. A response that exceeds the table's byte limit is dropped, and the key becomes Unknown. */
    auto finish(const std::string &organisation, const std::string &key, std::shared_ptr<const HttpResponse> response) -> void;

    /** Marks a running key as Unknown: its request may have run, but there is no response. */
    auto finishUnknown(const std::string &organisation, const std::string &key) -> void;

    /** Removes a running key whose request certainly was not executed, so that it may be executed later. */
    auto forget(const std::string &organisation, const std::string &key) -> void;

    /** The entry of a key; null when there is none. Valid until the table changes. */
    [[nodiscard]] auto find(const std::string &organisation, const std::string &key) const -> const IdempotencyEntry *;

    /** Number of keys held. */
    [[nodiscard]] auto size() const -> std::size_t;

private:
    using EntryKey = std::pair<std::string, std::string>;

    auto removeExpired(absl::Time now) -> void;

    absl::Time lastSweepAt_ = absl::InfinitePast();
    std::size_t maximumEntries_;
    std::size_t maximumResponseBytes_;
    std::size_t responseBytes_ = 0;
    absl::flat_hash_map<EntryKey, IdempotencyEntry> entries_;
};

}
