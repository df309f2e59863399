#include "process/permitexchange.h"

#include "core/clock.h"
#include "request/backendsignals.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace lycheecleat
{

namespace
{

/**
 * Longer than a datagram normally takes. A statement that a host passes on counts as older by this, so that it never becomes newer on its way, however often it
 * is passed on.
 */
constexpr auto transitAllowance = absl::Milliseconds(200);

/** A host that does not issue permits for a server is not asked again before others have heard of the change. */
constexpr auto notIssuerRetry = absl::Milliseconds(250);

/** Longest retry time that is accepted; the lowest limit allows a permit every few seconds. */
constexpr auto maximumRetry = absl::Seconds(10);

constexpr auto maximumBackendNameBytes = std::size_t { 256 };

}

auto toMessage(absl::Time now, const KnownLimit &known) -> fleet::LimitSighting
{
    auto sighting = fleet::LimitSighting {};
    sighting.backend = known.backend_;
    sighting.incarnation = known.incarnation_;
    if (known.statement_.requestsPerSecond_) {
        sighting.__set_requestsPerSecond(*known.statement_.requestsPerSecond_);
    }
    const auto age = now - known.statement_.at_ + transitAllowance;
    sighting.ageMillis = static_cast<std::int32_t>(std::min<std::int64_t>(absl::ToInt64Milliseconds(absl::Ceil(age, absl::Milliseconds(1))), INT32_MAX));
    return sighting;
}

auto fromMessage(absl::Time now, const fleet::LimitSighting &sighting) -> KnownLimit
{
    const auto limit = sighting.__isset.requestsPerSecond ? std::optional(sighting.requestsPerSecond) : std::nullopt;
    return { sighting.backend, sighting.incarnation, { limit, now - absl::Milliseconds(sighting.ageMillis) } };
}

auto isInRange(const fleet::LimitSighting &sighting) -> bool
{
    const auto limit = sighting.__isset.requestsPerSecond ? sighting.requestsPerSecond : 0;
    const auto isNamed = !sighting.backend.empty() && sighting.backend.size() <= maximumBackendNameBytes;
    return isNamed && sighting.ageMillis >= 0 && limit >= 0 && limit <= maximumLimit;
}

PermitExchange::PermitExchange(PermitExchangeServices services)
    : services_(std::move(services))
{
}

auto PermitExchange::issue(absl::Time now, const std::string &zone, const KnownLimit &known) -> PermitAnswer
{
    const auto issuer = services_.issuer_(now, zone, known.backend_);
    if (!issuer || !issuer->isSelf_ || !services_.mayIssue_(now)) {
        return { { false, notIssuerRetry }, known.statement_ };
    }
    return services_.issue_(now, known);
}

auto PermitExchange::ask(absl::Time now, const PermitQuery &query, absl::Time deadline) -> std::optional<PermitAnswer>
{
    const auto issuer = services_.issuer_(now, query.zone_, query.known_.backend_);
    if (!issuer) {
        return std::nullopt;
    }
    if (issuer->isSelf_) {
        return issue(now, query.zone_, query.known_);
    }
    auto request = fleet::PermitRequest {};
    request.zone = query.zone_;
    request.limit = toMessage(now, query.known_);
    const auto ticket = pending_.begin();
    request.number = ticket.number_;
    services_.send_(issuer->address_, request);
    return pending_.await(ticket, deadline - now);
}

auto PermitExchange::answer(absl::Time now, const fleet::PermitRequest &request) -> fleet::PermitReply
{
    auto reply = fleet::PermitReply {};
    reply.number = request.number;
    reply.limit = request.limit;
    if (!isInRange(request.limit)) {
        return reply;
    }
    auto known = fromMessage(now, request.limit);
    const auto answer = issue(now, request.zone, known);
    known.statement_ = answer.statement_;
    reply.granted = answer.decision_.isGranted_;
    reply.retryMillis = static_cast<std::int32_t>(absl::ToInt64Milliseconds(absl::Ceil(answer.decision_.retryAfter_, absl::Milliseconds(1))));
    reply.limit = toMessage(now, known);
    return reply;
}

auto PermitExchange::receive(absl::Time now, const fleet::PermitReply &reply) -> void
{
    if (!isInRange(reply.limit)) {
        return;
    }
    const auto retryAfter = std::clamp(absl::Milliseconds(reply.retryMillis), absl::ZeroDuration(), maximumRetry);
    pending_.receive(reply.number, { { reply.granted, retryAfter }, fromMessage(now, reply.limit).statement_ });
}

}
