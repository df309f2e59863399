#include "request/oncetable.h"

namespace lycheecleat
{

namespace
{

// A sweep visits every key, so it is not made for each request, and more often only when it is needed.
constexpr auto sweepInterval = absl::Seconds(10);
constexpr auto sweepIntervalWhenFull = absl::Seconds(1);

auto bytesOf(const OnceEntry &entry) -> std::size_t
{
    if (!entry.answer_) {
        return 0;
    }
    auto bytes = entry.answer_->body_.size();
    for (const auto &header : entry.answer_->headers_) {
        bytes += header.name_.size() + header.value_.size();
    }
    return bytes;
}

}

OnceTable::OnceTable(std::size_t maximumEntries, std::size_t maximumAnswerBytes)
    : maximumEntries_(maximumEntries)
    , maximumAnswerBytes_(maximumAnswerBytes)
{
}

auto OnceTable::begin(absl::Time now, const std::string &organisation, const std::string &key, const std::string &requestDigest, absl::Time keepUntil)
    -> OnceDecision
{
    const auto found = entries_.find(Name { organisation, key });
    if (found != entries_.end()) {
        const auto &entry = found->second;
        if (entry.requestDigest_ != requestDigest) {
            return OnceDecision::Mismatch;
        }
        switch (entry.state_) {
        case OnceState::Running:
            return OnceDecision::Wait;
        case OnceState::Done:
            return OnceDecision::Replay;
        case OnceState::Unknown:
            return OnceDecision::AnswerUnknown;
        }
    }
    const auto interval = entries_.size() >= maximumEntries_ ? sweepIntervalWhenFull : sweepInterval;
    if (now - sweptAt_ >= interval) {
        removeExpired(now);
        sweptAt_ = now;
    }
    // A key that is dropped early could run a second time, so a full table refuses instead of evicting.
    if (entries_.size() >= maximumEntries_) {
        return OnceDecision::Full;
    }
    entries_[Name { organisation, key }] = OnceEntry { OnceState::Running, requestDigest, nullptr, keepUntil };
    return OnceDecision::Execute;
}

auto OnceTable::finish(const std::string &organisation, const std::string &key, std::shared_ptr<const Answer> answer) -> void
{
    const auto found = entries_.find(Name { organisation, key });
    if (found == entries_.end() || found->second.state_ != OnceState::Running) {
        return;
    }
    auto &entry = found->second;
    entry.answer_ = std::move(answer);
    const auto bytes = bytesOf(entry);
    if (answerBytes_ + bytes > maximumAnswerBytes_) {
        entry.answer_ = nullptr;
        entry.state_ = OnceState::Unknown;
        return;
    }
    answerBytes_ += bytes;
    entry.state_ = OnceState::Done;
}

auto OnceTable::finishUnknown(const std::string &organisation, const std::string &key) -> void
{
    const auto found = entries_.find(Name { organisation, key });
    if (found != entries_.end() && found->second.state_ == OnceState::Running) {
        found->second.state_ = OnceState::Unknown;
    }
}

auto OnceTable::forget(const std::string &organisation, const std::string &key) -> void
{
    const auto found = entries_.find(Name { organisation, key });
    if (found != entries_.end() && found->second.state_ == OnceState::Running) {
        entries_.erase(found);
    }
}

auto OnceTable::find(const std::string &organisation, const std::string &key) const -> const OnceEntry *
{
    const auto found = entries_.find(Name { organisation, key });
    return found == entries_.end() ? nullptr : &found->second;
}

auto OnceTable::size() const -> std::size_t
{
    return entries_.size();
}

auto OnceTable::removeExpired(absl::Time now) -> void
{
    absl::erase_if(entries_, [&](const auto &item) {
        const auto expired = item.second.state_ != OnceState::Running && item.second.keepUntil_ <= now;
        if (expired) {
            answerBytes_ -= bytesOf(item.second);
        }
        return expired;
    });
}

}
