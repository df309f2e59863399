/** Weighted fair queueing of waiting requests by organisation (start-time fair queueing). Not thread-safe. */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace lycheecleat
{

/** One waiting request. */
struct QueuedRequest
{
    std::uint64_t id_ = 0;
    /** Virtual time at which it was enqueued. */
    double enqueuedAt_ = 0;

    auto operator==(const QueuedRequest &other) const -> bool = default;
};

/** The waiting requests of one organisation. */
struct OrganisationQueue
{
    double weight_ = 1;
    /** Virtual finish time of the organisation's last served request; the start tag of its next request is not earlier. */
    double finishTag_ = 0;
    std::deque<QueuedRequest> requests_;

    auto operator==(const OrganisationQueue &other) const -> bool = default;
};

/** Waiting requests of all organisations. The service that an organisation receives is measured in requests divided by its weight. */
struct FairQueue
{
    double virtualTime_ = 0;
    std::map<std::string, OrganisationQueue> queues_;

    auto operator==(const FairQueue &other) const -> bool = default;
};

/** Adds a request and sets the weight of its organisation. The weight must be above zero; other values count as 1. */
auto enqueue(FairQueue &queue, const std::string &organisation, double weight, std::uint64_t id) -> void;

/** Removes a request that no longer waits. It does not count as service. Unknown requests are ignored. */
auto cancel(FairQueue &queue, const std::string &organisation, std::uint64_t id) -> void;

/** Removes a request that is served now and counts it as service of its organisation. Unknown requests are ignored. */
auto serve(FairQueue &queue, const std::string &organisation, std::uint64_t id) -> void;

/** Identifiers of the waiting requests in the order in which they should be served: by start tag, then by identifier. */
[[nodiscard]] auto serviceOrder(const FairQueue &queue) -> std::vector<std::uint64_t>;

}
