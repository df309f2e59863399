#include "request/idempotencytable.h"

namespace lycheecleat
{

namespace
{

// Minimum intervals between removals of expired keys. A removal visits every key, so it isn't done for each request. A full table refuses new keys, so
// it removes expired ones more often.
constexpr auto sweepInterval = absl::Seconds(10);
constexpr auto sweepIntervalWhenFull = absl::Seconds(1);

auto bytesOf(const IdempotencyEntry &entry) -> std::size_t
{
    if (!entry.response_) {
        return 0;
    }
    auto bytes = entry.response_->body_.size();
    for (const auto &header : entry.response_->headers_) {
        bytes += header.name_.size() + header.value_.size();
    }
    return bytes;
}

}

IdempotencyTable::IdempotencyTable(std::size_t maximumEntries, std::size_t maximumResponseBytes)
    : maximumEntries_(maximumEntries)
    , maximumResponseBytes_(maximumResponseBytes)
{
}

auto IdempotencyTable::begin(absl::Time now, const std::string &organisation, const std::string &key, const std::string &requestDigest, absl::Time keepUntil)
    -> IdempotencyDecision
{
    const auto found = entries_.find(EntryKey { organisation, key });
    if (found != entries_.end()) {
        const auto &entry = found->second;
        if (entry.requestDigest_ != requestDigest) {
            return IdempotencyDecision::Mismatch;
        }
        switch (entry.state_) {
        case IdempotencyState::Running:
            return IdempotencyDecision::Wait;
        case IdempotencyState::Done:
            return IdempotencyDecision::Replay;
        case IdempotencyState::Unknown:
            return IdempotencyDecision::ResponseUnknown;
        }
    }
    const auto interval = entries_.size() >= maximumEntries_ ? sweepIntervalWhenFull : sweepInterval;
    if (now - lastSweepAt_ >= interval) {
        removeExpired(now);
        lastSweepAt_ = now;
    }
    // The request of an evicted key could be executed a second time, so a full table refuses new keys.
    if (entries_.size() >= maximumEntries_) {
        return IdempotencyDecision::Full;
    }
    entries_[EntryKey { organisation, key }] = IdempotencyEntry { IdempotencyState::Running, requestDigest, nullptr, keepUntil };
    return IdempotencyDecision::Execute;
}

auto IdempotencyTable::finish(const std::string &organisation, const std::string &key, std::shared_ptr<const HttpResponse> response) -> void
{
    const auto found = entries_.find(EntryKey { organisation, key });
    if (found == entries_.end() || found->second.state_ != IdempotencyState::Running) {
        return;
    }
    auto &entry = found->second;
    entry.response_ = std::move(response);
    const auto bytes = bytesOf(entry);
    if (responseBytes_ + bytes > maximumResponseBytes_) {
        entry.response_ = nullptr;
        entry.state_ = IdempotencyState::Unknown;
        return;
    }
    responseBytes_ += bytes;
    entry.state_ = IdempotencyState::Done;
}

auto IdempotencyTable::finishUnknown(const std::string &organisation, const std::string &key) -> void
{
    const auto found = entries_.find(EntryKey { organisation, key });
    if (found != entries_.end() && found->second.state_ == IdempotencyState::Running) {
        found->second.state_ = IdempotencyState::Unknown;
    }
}

auto IdempotencyTable::forget(const std::string &organisation, const std::string &key) -> void
{
    const auto found = entries_.find(EntryKey { organisation, key });
    if (found != entries_.end() && found->second.state_ == IdempotencyState::Running) {
        entries_.erase(found);
    }
}

auto IdempotencyTable::find(const std::string &organisation, const std::string &key) const -> const IdempotencyEntry *
{
    const auto found = entries_.find(EntryKey { organisation, key });
    return found == entries_.end() ? nullptr : &found->second;
}

auto IdempotencyTable::size() const -> std::size_t
{
    return entries_.size();
}

auto IdempotencyTable::removeExpired(absl::Time now) -> void
{
    absl::erase_if(entries_, [&](const auto &item) {
        const auto expired = item.second.state_ != IdempotencyState::Running && item.second.keepUntil_ <= now;
        if (expired) {
            responseBytes_ -= bytesOf(item.second);
        }
        return expired;
    });
}

}
