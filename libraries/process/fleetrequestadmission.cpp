// The part of FleetRequestHandler that decides whether a request may run at all: its route, organisation and quota.
#include "connection/tcpconnection.h"
#include "core/clock.h"
#include "core/digest.h"
#include "process/fleetrequeststate.h"
#include "request/backendranking.h"
#include "request/destinationchoice.h"
#include "request/requestpath.h"

#include <absl/strings/numbers.h>
#include <fmt/format.h>

#include <algorithm>

namespace lycheecleat
{

namespace
{

/** Fraction of the deployment's retry budget that is used. The rest is a margin for counts that differ between hosts and backend servers. */
constexpr auto usedRetryFraction = 0.75;

/** Number of hosts among which the extra part of the retry budget is split, whatever their actual number. */
constexpr auto retryExtraHosts = 30.0;

/** Bytes of a caller's host or path that a log line holds. */
constexpr auto maximumLoggedBytes = std::size_t { 128 };

/** A host that does not know an organisation may have an older policy; it is not asked again before it can have learnt the newer one. */
constexpr auto unknownOrganisationRetry = absl::Milliseconds(250);

// Bytes that follow the request on its connection make it later than it was.
auto lastByteAt(const ReceivedRequest &request) -> absl::Time
{
    return std::max(request.receivedAt_, monotonicNow() - timeSinceArrival(request.socket_));
}

// When the route's timeout or the time that the caller still waits ends, whichever is first.
auto limitEndOf(const ReceivedRequest &request, const PolicyRoute &route, const std::string &remainingTimeHeader) -> absl::Time
{
    auto limit = route.timeout_;
    auto milliseconds = std::int64_t { 0 };
    if (absl::SimpleAtoi(headerValue(request.content_.headers_, remainingTimeHeader), &milliseconds)) {
        limit = std::min(limit, absl::Milliseconds(std::max<std::int64_t>(0, milliseconds)));
    }
    return request.receivedAt_ + limit;
}

auto retryBudgetOf(const ReloadableSettings &settings) -> RetryBudget
{
    const auto maximumTokens = std::max(1.0, settings.retryBudgetExtra_ * usedRetryFraction / retryExtraHosts);
    return { maximumTokens, settings.retryBudgetRatio_ * usedRetryFraction, maximumTokens };
}

// Host and path of a request for the log, without the query. A path that holds the caller's key is left out.
auto describeTarget(const RequestContent &content, const std::string &keyHeader) -> std::string
{
    const auto path = pathOfTarget(content.target_);
    const auto key = headerValue(content.headers_, keyHeader);
    const auto holdsKey = !key.empty() && percentDecoded(path).find(key) != std::string::npos;
    return fmt::format(
        "host {}, path {}", headerValue(content.headers_, "host").substr(0, maximumLoggedBytes), holdsKey ? "withheld" : path.substr(0, maximumLoggedBytes));
}

// The path is forwarded unchanged, so a path that a backend server resolves into another route would bypass that route's access rules.
auto hasSameRouteInAllInterpretations(const PolicyIndex &policy, const std::string &host, std::string_view path) -> bool
{
    const auto alternatives = alternativePaths(path);
    return std::all_of(alternatives.begin(), alternatives.end(), [&, route = policy.findRoute(host, path)](const std::string &alternative) {
        return policy.findRoute(host, alternative) == route;
    });
}

}

auto FleetRequestHandler::admitRequest(RequestState &state) -> std::optional<Refusal>
{
    if (!state.policy_) {
        return Refusal::NoConfiguration;
    }
    const auto stop = services_.plannedStop_();
    if (hasBegun(stop)) {
        state.completeAt_ = lastByteAt(state.received_);
    }
    if (monotonicNow() >= stop.refusesAt_) {
        state.detail_ = describeStopRefusal(StopRefusal::TakesNoRequests);
        return Refusal::Stopping;
    }
    if (const auto refusal = findRoute(state)) {
        return refusal;
    }
    if (const auto refusal = authenticate(state)) {
        return refusal;
    }
    if (const auto refusal = admitDuringStop(state, stop)) {
        return refusal;
    }
    state.deadline_ = std::min(state.limitEndsAt_, stop.waitsEndAt_);
    chooseTargetAndCountRequest(state);
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        if (!crashes_.isEmpty() && crashes_.isSuspect(monotonicNow(), fingerprintOf(state))) {
            return Refusal::CrashSuspect;
        }
    }
    return admitByQuota(state);
}

auto FleetRequestHandler::findRoute(RequestState &state) const -> std::optional<Refusal>
{
    const auto &content = state.received_.content_;
    const auto path = pathOfTarget(content.target_);
    if (!path.starts_with('/') || headerCount(content.headers_, "host") != 1) {
        state.detail_ = "the target has no absolute path, or the number of Host headers is not 1";
        return Refusal::MalformedRequest;
    }
    const auto host = headerValue(content.headers_, "host");
    state.route_ = state.policy_->findRoute(host, path);
    if (state.route_ == nullptr) {
        state.detail_ = describeTarget(state.received_.content_, services_.protocol_.key_);
        return Refusal::NoRoute;
    }
    if (!hasSameRouteInAllInterpretations(*state.policy_, host, path)) {
        state.detail_ = "a backend server could interpret the path as one of another route, or of none";
        return Refusal::MalformedRequest;
    }
    state.limitEndsAt_ = limitEndOf(state.received_, *state.route_, services_.protocol_.timeoutMillis_);
    return std::nullopt;
}

auto FleetRequestHandler::admitDuringStop(RequestState &state, const PlannedStop &stop) const -> std::optional<Refusal>
{
    const auto candidate = StopCandidate { state.completeAt_, state.limitEndsAt_, durations_.longestExpected(state.route_->name_) };
    if (const auto stopRefusal = stopRefusalOf(monotonicNow(), stop, candidate)) {
        state.detail_ = describeStopRefusal(*stopRefusal);
        return Refusal::Stopping;
    }
    return std::nullopt;
}

auto FleetRequestHandler::admitByQuota(RequestState &state) -> std::optional<Refusal>
{
    if (state.organisation_ == nullptr) {
        return std::nullopt;
    }
    const auto now = monotonicNow();
    const auto query = QuotaQuery { state.organisation_->limits_, services_.settings_().quota_, services_.shareHosts_(now), state.deadline_ };
    state.admission_ = quotas_.admitRequest(now, query, services_.askHolder_);
    if (state.admission_.isAdmitted_) {
        return std::nullopt;
    }
    const auto &admission = state.admission_;
    state.detail_ = fmt::format("{} other holders of the quota were asked, {} of them did not respond", admission.asked_, admission.unanswered_);
    return Refusal::RateExceeded;
}

// After one window, the holder may admit another request in the place of one that waited for so long.
auto FleetRequestHandler::hasExpiredAdmission(const RequestState &state, absl::Time now) const -> bool
{
    const auto isLimited = state.organisation_ != nullptr && state.organisation_->limits_.rate_ > 0;
    return isLimited && !state.mayHaveRun_ && now - state.admission_.at_ >= services_.settings_().quota_.window_;
}

auto FleetRequestHandler::admitForPeer(absl::Time now, const std::string &organisation) -> QuotaAnswer
{
    const auto policy = services_.state_->view()->policy_;
    const auto *found = policy ? policy->findOrganisation(organisation) : nullptr;
    if (found == nullptr) {
        return { false, unknownOrganisationRetry };
    }
    return quotas_.admitForPeer(now, { found->limits_, services_.settings_().quota_, services_.shareHosts_(now) });
}

auto FleetRequestHandler::quotaCounts() const -> QuotaCounts
{
    return quotas_.counts();
}

// Finds the organisation and removes the API key from what a backend server receives, on open routes as well.
auto FleetRequestHandler::authenticate(RequestState &state) -> std::optional<Refusal>
{
    const auto &header = services_.protocol_.key_;
    state.content_ = state.received_.content_;
    const auto keys = headerCount(state.content_.headers_, header);
    const auto key = headerValue(state.content_.headers_, header);
    std::erase_if(state.content_.headers_, [&](const HeaderField &field) {
        return equalIgnoringCase(field.name_, header);
    });
    if (state.route_->isOpen_ || state.policy_->policy().organisations_.empty()) {
        return std::nullopt;
    }
    if (keys > 1) {
        return Refusal::KeyAmbiguous;
    }
    if (keys == 0) {
        return Refusal::KeyMissing;
    }
    state.organisation_ = state.policy_->findByKey(key);
    return state.organisation_ == nullptr ? std::optional(Refusal::KeyUnknown) : std::nullopt;
}

auto FleetRequestHandler::chooseTargetAndCountRequest(RequestState &state) -> void
{
    chooseTarget(state, headerValue(state.content_.headers_, services_.protocol_.object_));
    retries_.countRequest(state.service_, retryBudgetOf(services_.settings_()));
}

auto FleetRequestHandler::chooseTarget(RequestState &state, const std::string &object) -> void
{
    // Requests that name no object are spread by their identifier.
    const auto &basis = object.empty() ? state.requestId_ : object;
    state.service_ = chooseDestination(state.route_->destinations_, objectHash("", state.route_->name_, basis)).service_;
    state.objectHash_ = objectHash(state.service_, state.route_->name_, basis);
}

}
