#include "request/fairqueue.h"

#include <algorithm>
#include <tuple>

namespace lycheecleat
{

namespace
{

struct TaggedRequest
{
    double startTag_ = 0;
    std::uint64_t id_ = 0;
};

auto removeRequest(OrganisationQueue &organisationQueue, std::uint64_t id) -> void
{
    std::erase_if(organisationQueue.requests_, [&](const QueuedRequest &request) {
        return request.id_ == id;
    });
}

/** Removes empty queues whose finish tag has passed, since they carry no state; organisations without requests then use no memory. */
auto removeIdleQueues(FairQueue &queue) -> void
{
    std::erase_if(queue.queues_, [&](const auto &entry) {
        return entry.second.requests_.empty() && entry.second.finishTag_ <= queue.virtualTime_;
    });
}

}

auto enqueue(FairQueue &queue, const std::string &organisation, double weight, std::uint64_t id) -> void
{
    auto &organisationQueue = queue.queues_[organisation];
    organisationQueue.weight_ = weight > 0 ? weight : 1;
    organisationQueue.requests_.push_back({ id, queue.virtualTime_ });
}

auto cancel(FairQueue &queue, const std::string &organisation, std::uint64_t id) -> void
{
    const auto organisationQueue = queue.queues_.find(organisation);
    if (organisationQueue != queue.queues_.end()) {
        removeRequest(organisationQueue->second, id);
    }
    removeIdleQueues(queue);
}

auto serve(FairQueue &queue, const std::string &organisation, std::uint64_t id) -> void
{
    const auto entry = queue.queues_.find(organisation);
    if (entry == queue.queues_.end()) {
        return;
    }
    auto &organisationQueue = entry->second;
    const auto request = std::find_if(organisationQueue.requests_.begin(), organisationQueue.requests_.end(), [&](const QueuedRequest &candidate) {
        return candidate.id_ == id;
    });
    if (request == organisationQueue.requests_.end()) {
        return;
    }
    const auto startTag = std::max(organisationQueue.finishTag_, request->enqueuedAt_);
    organisationQueue.finishTag_ = startTag + 1 / organisationQueue.weight_;
    organisationQueue.requests_.erase(request);
    queue.virtualTime_ = std::max(queue.virtualTime_, startTag);
    removeIdleQueues(queue);
}

auto serviceOrder(const FairQueue &queue) -> std::vector<std::uint64_t>
{
    auto tagged = std::vector<TaggedRequest> {};
    for (const auto &[organisation, organisationQueue] : queue.queues_) {
        auto finishTag = organisationQueue.finishTag_;
        for (const auto &request : organisationQueue.requests_) {
            const auto startTag = std::max(finishTag, request.enqueuedAt_);
            finishTag = startTag + 1 / organisationQueue.weight_;
            tagged.push_back({ startTag, request.id_ });
        }
    }
    std::sort(tagged.begin(), tagged.end(), [](const TaggedRequest &left, const TaggedRequest &right) {
        return std::tie(left.startTag_, left.id_) < std::tie(right.startTag_, right.id_);
    });
    auto order = std::vector<std::uint64_t> {};
    order.reserve(tagged.size());
    for (const auto &request : tagged) {
        order.push_back(request.id_);
    }
    return order;
}

}
