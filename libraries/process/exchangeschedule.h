/** Schedules the periodic exchanges of state with peers. */
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

/** Shortest regular interval between two exchanges with one peer. */
inline constexpr auto exchangeInterval = absl::Milliseconds(500);

/** Largest number of peers for which exchangeInterval applies. With more peers, the interval grows so that the total rate of exchanges stays constant. */
inline constexpr auto maximumPeersPerInterval = std::size_t { 32 };

/** Concurrent exchanges with peers whose last exchange failed. The remaining threads stay available for peers that respond. */
inline constexpr auto maximumSuspectExchanges = 3;

/** Regular interval between two exchanges with one peer, for a number of peers. */
[[nodiscard]] auto exchangeIntervalFor(std::size_t peers) -> absl::Duration;

/** Schedule of the exchanges with all peers. Not thread-safe; the caller passes the time. */
class ExchangeSchedule
{
public:
    /** Replaces the set of peers. The first exchanges with new peers are spread over one interval. */
    auto setPeers(absl::Time now, const std::vector<std::string> &names) -> void;

    /** Takes a peer whose exchange is due; none if none is due. The peer is not due again until finish is called for it. */
    [[nodiscard]] auto next(absl::Time now) -> std::optional<std::string>;

    /** Records the end of an exchange that next has started, and schedules the peer's next one. */
    auto finish(absl::Time now, const std::string &name, bool succeeded) -> void;

    /**
     * Makes the next exchange due now with all peers, or with a random sample of maximumPeersPerInterval of them that the seed selects. A peer whose
     * exchange is in progress becomes due when that exchange succeeds.
     */
    auto expedite(absl::Time now, std::uint64_t seed) -> void;

    /** The earliest time at which next may return a peer. */
    [[nodiscard]] auto nextDue() const -> absl::Time;

private:
    using DueQueue = std::set<std::pair<absl::Time, std::string>>;

    struct Entry
    {
        absl::Time dueAt_;
        bool busy_ = false;
        /** Whether the last exchange failed. */
        bool suspect_ = false;
        /** Whether the next exchange is due as soon as the one in progress succeeds. */
        bool repeatAtOnce_ = false;
    };

    auto enqueue(const std::string &name, Entry &entry, absl::Time dueAt) -> void;
    auto dequeue(const std::string &name, const Entry &entry) -> void;
    auto popDue(DueQueue &queue, absl::Time now) -> std::optional<std::string>;

    std::map<std::string, Entry> entries_;
    DueQueue healthy_;
    DueQueue suspects_;
    int busySuspects_ = 0;
    /** Removed peers whose exchange is still in progress and counted in busySuspects_. */
    std::set<std::string> removedSuspects_;
};

}
