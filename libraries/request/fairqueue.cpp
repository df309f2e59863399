#include "request/fairqueue.h"

#include <algorithm>
#include <tuple>

namespace lycheecleat
{

namespace
{

struct TaggedTicket
{
    double start_ = 0;
    std::uint64_t id_ = 0;
};

auto removeTicket(FairLine &line, std::uint64_t id) -> void
{
    std::erase_if(line.tickets_, [&](const FairTicket &ticket) {
        return ticket.id_ == id;
    });
}

/** Drops lines whose service has been paid for, so that organisations that stay away take no memory. */
auto dropIdleLines(FairQueue &queue) -> void
{
    std::erase_if(queue.lines_, [&](const auto &entry) {
        return entry.second.tickets_.empty() && entry.second.paidUntil_ <= queue.virtualTime_;
    });
}

}

auto join(FairQueue &queue, const std::string &organisation, double weight, std::uint64_t id) -> void
{
    auto &line = queue.lines_[organisation];
    line.weight_ = weight > 0 ? weight : 1;
    line.tickets_.push_back({ id, queue.virtualTime_ });
}

auto leave(FairQueue &queue, const std::string &organisation, std::uint64_t id) -> void
{
    const auto line = queue.lines_.find(organisation);
    if (line != queue.lines_.end()) {
        removeTicket(line->second, id);
    }
    dropIdleLines(queue);
}

auto serve(FairQueue &queue, const std::string &organisation, std::uint64_t id) -> void
{
    const auto entry = queue.lines_.find(organisation);
    if (entry == queue.lines_.end()) {
        return;
    }
    auto &line = entry->second;
    const auto ticket = std::find_if(line.tickets_.begin(), line.tickets_.end(), [&](const FairTicket &candidate) {
        return candidate.id_ == id;
    });
    if (ticket == line.tickets_.end()) {
        return;
    }
    const auto start = std::max(line.paidUntil_, ticket->joinedAt_);
    line.paidUntil_ = start + 1 / line.weight_;
    line.tickets_.erase(ticket);
    queue.virtualTime_ = std::max(queue.virtualTime_, start);
    dropIdleLines(queue);
}

auto serviceOrder(const FairQueue &queue) -> std::vector<std::uint64_t>
{
    auto tagged = std::vector<TaggedTicket> {};
    for (const auto &[organisation, line] : queue.lines_) {
        auto paidUntil = line.paidUntil_;
        for (const auto &ticket : line.tickets_) {
            const auto start = std::max(paidUntil, ticket.joinedAt_);
            paidUntil = start + 1 / line.weight_;
            tagged.push_back({ start, ticket.id_ });
        }
    }
    std::sort(tagged.begin(), tagged.end(), [](const TaggedTicket &left, const TaggedTicket &right) {
        return std::tie(left.start_, left.id_) < std::tie(right.start_, right.id_);
    });
    auto order = std::vector<std::uint64_t> {};
    order.reserve(tagged.size());
    for (const auto &ticket : tagged) {
        order.push_back(ticket.id_);
    }
    return order;
}

}
