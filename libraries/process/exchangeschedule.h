/** Decides when the next exchange with each peer is due. */
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace lycheecleat
{

/** Time between two exchanges with one peer. */
inline constexpr auto exchangeInterval = absl::Milliseconds(500);

/** Number of peers up to which each one is exchanged with every interval. Above it, the interval grows so that the rate stays the same. */
inline constexpr auto maximumPeersPerInterval = std::size_t { 32 };

/** Exchanges that may run at once with peers whose last exchange failed. The other threads stay free for peers that answer. */
inline constexpr auto maximumSuspectExchanges = 3;

/** Time between two exchanges with one peer, for a number of peers. */
[[nodiscard]] auto exchangeIntervalFor(std::size_t peers) -> absl::Duration;

/** When the exchanges with peers are due. Not thread-safe; the caller gives the time. */
class ExchangeSchedule
{
public:
    /** Takes over the names of the peers. New ones are due at times spread over one interval. */
    auto setPeers(absl::Time now, const std::vector<std::string> &names) -> void;

    /** A peer to exchange with now; none when none is due. The peer is busy until finish is called. */
    [[nodiscard]] auto next(absl::Time now) -> std::optional<std::string>;

    /** Ends an exchange that next began. */
    auto finish(absl::Time now, const std::string &name, bool succeeded) -> void;

    /** Makes peers due now: all of them, or a random sample of maximumPeersPerInterval that the seed selects. */
    auto expedite(absl::Time now, std::uint64_t seed) -> void;

    /** The earliest time at which next may give a peer. */
    [[nodiscard]] auto nextDue() const -> absl::Time;

private:
    using DueQueue = std::set<std::pair<absl::Time, std::string>>;

    struct Entry
    {
        absl::Time dueAt_;
        bool busy_ = false;
        /** Whether the last exchange failed. */
        bool suspect_ = false;
        /** Whether another exchange is wanted as soon as the present one ends. */
        bool repeatAtOnce_ = false;
    };

    auto enqueue(const std::string &name, Entry &entry, absl::Time dueAt) -> void;
    auto dequeue(const std::string &name, const Entry &entry) -> void;
    auto popDue(DueQueue &queue, absl::Time now) -> std::optional<std::string>;

    std::map<std::string, Entry> entries_;
    DueQueue healthy_;
    DueQueue suspects_;
    int busySuspects_ = 0;
    /** Names of peers that were removed during an exchange counted in busySuspects_. */
    std::set<std::string> removedSuspects_;
};

}
