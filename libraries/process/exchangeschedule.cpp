#include "process/exchangeschedule.h"

#include "core/digest.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

/** A phase within one interval that depends on the peer's name, so that exchanges are spread evenly. */
auto phaseOffset(const std::string &name, absl::Duration interval) -> absl::Duration
{
    constexpr auto steps = 1000;
    return interval * static_cast<double>(stableHash(name) % steps) / steps;
}

}

auto exchangeIntervalFor(std::size_t peers) -> absl::Duration
{
    const auto factor = static_cast<double>(peers) / static_cast<double>(maximumPeersPerInterval);
    return exchangeInterval * std::max(1.0, factor);
}

auto ExchangeSchedule::setPeers(absl::Time now, const std::vector<std::string> &names) -> void
{
    const auto peers = std::set<std::string>(names.begin(), names.end());
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        if (peers.count(entry->first) > 0) {
            ++entry;
            continue;
        }
        dequeue(entry->first, entry->second);
        if (entry->second.busy_ && entry->second.suspect_) {
            removedSuspects_.insert(entry->first);
        }
        entry = entries_.erase(entry);
    }
    for (const auto &name : peers) {
        const auto [entry, added] = entries_.try_emplace(name);
        if (added) {
            enqueue(name, entry->second, now + phaseOffset(name, exchangeIntervalFor(peers.size())));
        }
    }
}

auto ExchangeSchedule::next(absl::Time now) -> std::optional<std::string>
{
    auto name = popDue(healthy_, now);
    if (name) {
        return name;
    }
    if (busySuspects_ >= maximumSuspectExchanges) {
        return std::nullopt;
    }
    name = popDue(suspects_, now);
    if (name) {
        ++busySuspects_;
    }
    return name;
}

auto ExchangeSchedule::finish(absl::Time now, const std::string &name, bool succeeded) -> void
{
    const auto found = entries_.find(name);
    if (found == entries_.end() || !found->second.busy_) {
        if (removedSuspects_.erase(name) > 0) {
            --busySuspects_;
        }
        return;
    }
    auto &entry = found->second;
    if (entry.suspect_) {
        --busySuspects_;
    }
    const auto interval = exchangeIntervalFor(entries_.size());
    const auto dueAt = entry.repeatAtOnce_ && succeeded ? now : std::max(now, entry.dueAt_ + interval);
    entry = Entry { dueAt, false, !succeeded, false };
    enqueue(name, entry, dueAt);
}

auto ExchangeSchedule::expedite(absl::Time now, std::uint64_t seed) -> void
{
    auto names = std::vector<std::pair<std::uint64_t, std::string>> {};
    for (const auto &[name, entry] : entries_) {
        names.emplace_back(stableHash(name, seed), name);
    }
    const auto count = std::min(names.size(), maximumPeersPerInterval);
    std::partial_sort(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(count), names.end());
    names.resize(count);
    for (const auto &[hash, name] : names) {
        auto &entry = entries_[name];
        if (entry.busy_) {
            entry.repeatAtOnce_ = true;
            continue;
        }
        dequeue(name, entry);
        enqueue(name, entry, now);
    }
}

auto ExchangeSchedule::nextDue() const -> absl::Time
{
    const auto healthy = healthy_.empty() ? absl::InfiniteFuture() : healthy_.begin()->first;
    if (suspects_.empty() || busySuspects_ >= maximumSuspectExchanges) {
        return healthy;
    }
    return std::min(healthy, suspects_.begin()->first);
}

auto ExchangeSchedule::enqueue(const std::string &name, Entry &entry, absl::Time dueAt) -> void
{
    entry.dueAt_ = dueAt;
    (entry.suspect_ ? suspects_ : healthy_).emplace(dueAt, name);
}

auto ExchangeSchedule::dequeue(const std::string &name, const Entry &entry) -> void
{
    (entry.suspect_ ? suspects_ : healthy_).erase({ entry.dueAt_, name });
}

auto ExchangeSchedule::popDue(DueQueue &queue, absl::Time now) -> std::optional<std::string>
{
    if (queue.empty() || queue.begin()->first > now) {
        return std::nullopt;
    }
    const auto name = queue.begin()->second;
    queue.erase(queue.begin());
    entries_[name].busy_ = true;
    return name;
}

}
