#include "process/quotaexchange.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace lycheecleat
{

namespace
{

/** Longest time until a further request that is accepted from a peer. */
constexpr auto maximumRetry = absl::Seconds(10);

constexpr auto maximumOrganisationNameBytes = std::size_t { 256 };

}

QuotaExchange::QuotaExchange(QuotaExchangeServices services)
    : services_(std::move(services))
{
}

auto QuotaExchange::ask(absl::Time now, const std::string &address, const std::string &organisation, absl::Time deadline) -> std::optional<QuotaAnswer>
{
    auto request = fleet::QuotaRequest {};
    request.organisation = organisation;
    const auto ticket = pending_.begin();
    request.number = ticket.number_;
    services_.send_(address, request);
    return pending_.await(ticket, deadline - now);
}

auto QuotaExchange::answer(absl::Time now, const fleet::QuotaRequest &request) -> fleet::QuotaReply
{
    auto reply = fleet::QuotaReply {};
    reply.number = request.number;
    if (request.organisation.empty() || request.organisation.size() > maximumOrganisationNameBytes) {
        return reply;
    }
    const auto answer = services_.admit_(now, request.organisation);
    reply.admitted = answer.isAdmitted_;
    reply.retryMillis = static_cast<std::int32_t>(absl::ToInt64Milliseconds(absl::Ceil(std::min(answer.retryAfter_, maximumRetry), absl::Milliseconds(1))));
    return reply;
}

auto QuotaExchange::receive(const fleet::QuotaReply &reply) -> void
{
    pending_.receive(reply.number, { reply.admitted, std::clamp(absl::Milliseconds(reply.retryMillis), absl::ZeroDuration(), maximumRetry) });
}

}
