/** States of the idempotency keys that this run executes. */
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

/** A whole answer as it goes to the caller. */
struct HttpResponse
{
    int status_ = 0;
    HeaderFields headers_;
    std::string body_;

    auto operator==(const HttpResponse &other) const -> bool = default;
};

/** What has become of an idempotency key. */
enum class IdempotencyState {
    Running,
    /** The answer is known and is replayed. */
    Done,
    /** The request may have run; its answer is lost. */
    Unknown,
};

/** One idempotency key. */
struct IdempotencyEntry
{
    IdempotencyState state_ = IdempotencyState::Running;
    /** Digest of the request, so that a key is not answered with the answer of another request. */
    std::string requestDigest_;
    std::shared_ptr<const HttpResponse> answer_;
    /** Time until which the state is kept once the request has ended. */
    absl::Time keepUntil_;
};

/** What a caller has to do with its key. */
enum class IdempotencyDecision {
    /** The key is new and now running: execute the request. */
    Execute,
    /** Another request with the key is running: wait for it. */
    Wait,
    Replay,
    ResponseUnknown,
    /** The key was used for a different request. */
    Mismatch,
    /** The table holds too many keys to accept another. */
    Full,
};

/** Idempotency keys by organisation and text. Not thread-safe. Times are monotonic. */
class IdempotencyTable
{
public:
    /** The largest number of keys, and the bytes of answers, that the table holds. */
    IdempotencyTable(std::size_t maximumEntries, std::size_t maximumAnswerBytes);

    /** Decides on a request and marks its key as running if it is to be executed. A key is kept at least until the given time. */
    [[nodiscard]] auto begin(absl::Time now, const std::string &organisation, const std::string &key, const std::string &requestDigest, absl::Time keepUntil)
        -> IdempotencyDecision;

    /** Records the answer of a key that was running. An answer that no longer fits is dropped, and the key becomes unknown. */
    auto finish(const std::string &organisation, const std::string &key, std::shared_ptr<const HttpResponse> answer) -> void;

    /** Records that a key that was running has no answer. */
    auto finishUnknown(const std::string &organisation, const std::string &key) -> void;

    /** Forgets a key whose request certainly did not run, so that it may run later. */
    auto forget(const std::string &organisation, const std::string &key) -> void;

    /** The state of a key; null when there is none. */
    [[nodiscard]] auto find(const std::string &organisation, const std::string &key) const -> const IdempotencyEntry *;

    /** Number of keys held. */
    [[nodiscard]] auto size() const -> std::size_t;

private:
    using Name = std::pair<std::string, std::string>;

    auto removeExpired(absl::Time now) -> void;

    absl::Time lastSweepAt_ = absl::InfinitePast();
    std::size_t maximumEntries_;
    std::size_t maximumAnswerBytes_;
    std::size_t answerBytes_ = 0;
    absl::flat_hash_map<Name, IdempotencyEntry> entries_;
};

}
