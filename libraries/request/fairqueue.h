/** Weighted fair order of waiting requests: start-time fair queueing over organisations. */
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
    /** Virtual time at which it joined. */
    double enqueuedAt_ = 0;

    auto operator==(const QueuedRequest &other) const -> bool = default;
};

/** The waiting requests of one organisation. */
struct OrganisationQueue
{
    double weight_ = 1;
    /** Virtual time at which the service given so far is paid for. */
    double finishTag_ = 0;
    std::deque<QueuedRequest> requests_;

    auto operator==(const OrganisationQueue &other) const -> bool = default;
};

/** Waiting requests of all organisations. An organisation's service is measured in requests divided by its weight. */
struct FairQueue
{
    double virtualTime_ = 0;
    std::map<std::string, OrganisationQueue> queues_;

    auto operator==(const FairQueue &other) const -> bool = default;
};

/** Adds a request. The weight must be above zero; other values count as 1. */
auto enqueue(FairQueue &queue, const std::string &organisation, double weight, std::uint64_t id) -> void;

/** Removes a request that gave up. It does not count as service. */
auto cancel(FairQueue &queue, const std::string &organisation, std::uint64_t id) -> void;

/** Removes a request that is served now and counts it as service. */
auto serve(FairQueue &queue, const std::string &organisation, std::uint64_t id) -> void;

/** The waiting requests in the order in which they should be served. */
[[nodiscard]] auto serviceOrder(const FairQueue &queue) -> std::vector<std::uint64_t>;

}
