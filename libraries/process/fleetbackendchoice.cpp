// The part of FleetRequestHandler that chooses backend servers and takes over their signals.
#include "core/clock.h"
#include "process/backendsignalreport.h"
#include "process/fleetrequeststate.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

/** Fraction used of the rate that a cold backend server tolerates. The rest is a margin for delays that differ between hosts and backend servers. */
constexpr auto usedColdFraction = 0.85;

/** Longest wait for a permit; longer than a round trip between regions. */
constexpr auto permitTimeout = absl::Milliseconds(250);

/** Requests for permits without an answer after which a request goes to backend servers without a limit only. */
constexpr auto maximumUnansweredPermits = 1;

/** How long a statement about a limit is told to other hosts. Hosts that hear of it later learn it from the server or from the issuer. */
constexpr auto limitGossipLifetime = absl::Seconds(10);

/** Interval in which marks of backend servers that have ended are looked for. */
constexpr auto markSweepInterval = absl::Seconds(1);

// Identifies the set of backend servers that were not tried, regardless of their order.
auto candidateSetOf(const std::vector<const FleetBackend *> &backends, const std::vector<std::string> &tried) -> std::uint64_t
{
    auto sum = std::uint64_t { 0 };
    for (const auto *backend : backends) {
        const auto isTried = std::find(tried.begin(), tried.end(), backend->registration_.server_.name_) != tried.end();
        sum += isTried ? 0 : backend->hash_;
    }
    return sum;
}

auto allowsRegion(const std::vector<std::string> &homes, const std::string &region) -> bool
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

}

auto FleetRequestHandler::isRegionAllowed(const RequestState &state, const std::string &region) const -> bool
{
    return allowsRegion(state.route_->homeRegions_, region) && (state.organisation_ == nullptr || allowsRegion(state.organisation_->homeRegions_, region));
}

auto FleetRequestHandler::candidates(const RequestState &state, const FleetView &view) const -> std::vector<WeightedBackend>
{
    auto found = std::vector<WeightedBackend> {};
    const auto backends = view.backends_.find(state.service_);
    if (backends == view.backends_.end()) {
        return found;
    }
    for (const auto &backend : backends->second) {
        const auto &zone = backend.registration_.server_.zone_;
        if (!view.evacuatedZones_.contains(zone) && isRegionAllowed(state, backend.region_)) {
            found.push_back({ &backend, backend.weight_ });
        }
    }
    return found;
}

auto FleetRequestHandler::selfHash() const -> std::uint64_t
{
    return static_cast<std::uint64_t>(static_cast<std::uint32_t>(hostHash(services_.hostName_)));
}

auto FleetRequestHandler::coldRateLimits(const RequestState &state) const -> ColdRateLimitFunction
{
    return [this, &state](const FleetBackend &backend) {
        const auto *service = state.policy_->findService(state.service_);
        const auto settings = services_.settings_();
        const auto toleratedRate = service == nullptr ? 1.0 : service->coldRequestsPerSecond_ * settings.coldRateFactor_ + settings.coldRateAllowance_;
        return coldRateLimit(toleratedRate * usedColdFraction, services_.shareHolders_(monotonicNow()), selfHash(), backend.hash_);
    };
}

// The view is read anew for each attempt, since a backend server may have left or a zone may have been evacuated meanwhile.
auto FleetRequestHandler::chooseBackend(RequestState &state) -> bool
{
    const auto now = monotonicNow();
    state.view_ = services_.state_->view();
    state.choice_ = {};
    const auto ranked = rankBackends(state.objectHash_, candidates(state, *state.view_));
    const auto elapsed = now - state.received_.receivedAt_;
    auto request = ChoiceRequest { ranked, state.tried_, longestUsefulWait(state.route_->latencyObjective_, priorityOf(state)) - elapsed };
    request.acquirePermit_ = [&](const FleetBackend &backend) {
        return acquirePermit(state, backend);
    };
    state.candidates_ = candidateSetOf(ranked, state.tried_);
    // A new request doesn't overtake those that wait for the same backend servers. One that may have run doesn't wait.
    if (!state.isWaiting_ && !state.mayHaveRun_ && !returns_.isEmpty() && returns_.hasWaiting(state.candidates_)) {
        const auto expected = selector_.returnOf(now, request, coldRateLimits(state));
        if (expected.servedAt_ && !expected.hasFreeBackend_) {
            return false;
        }
    }
    state.choice_ = selector_.choose(now, request, coldRateLimits(state));
    return state.choice_.backend_ != nullptr;
}

auto FleetRequestHandler::acquirePermit(RequestState &state, const FleetBackend &backend) -> std::optional<absl::Time>
{
    const auto askedAt = monotonicNow();
    if (!services_.askForPermit_ || state.permitsUnanswered_ >= maximumUnansweredPermits) {
        return std::nullopt;
    }
    const auto known = selector_.beginAsking(askedAt, backend);
    if (!known) {
        return std::nullopt;
    }
    const auto query = PermitQuery { backend.registration_.server_.zone_, *known };
    const auto answer = services_.askForPermit_(askedAt, query, std::min(askedAt + permitTimeout, state.deadline_));
    const auto now = monotonicNow();
    state.permitsAsked_ += 1;
    state.permitsUnanswered_ += answer ? 0 : 1;
    state.permitTime_ += now - askedAt;
    return selector_.endAsking(now, backend, answer) ? std::optional(now) : std::nullopt;
}

auto FleetRequestHandler::recentLimits(absl::Time now) const -> std::vector<KnownLimit>
{
    return selector_.limitsSince(now - limitGossipLifetime);
}

auto FleetRequestHandler::addLimit(const std::string &peer, const KnownLimit &known) -> void
{
    if (const auto change = selector_.applyLimit(known)) {
        logPeerLimit(peer, known, *change);
    }
}

auto FleetRequestHandler::issuePermit(absl::Time now, const KnownLimit &known) -> PermitAnswer
{
    return selector_.issuePermit(now, known);
}

auto FleetRequestHandler::updateReturn(RequestState &state) -> void
{
    const auto view = services_.state_->view();
    const auto ranked = rankBackends(state.objectHash_, candidates(state, *view));
    state.return_ = selector_.returnOf(monotonicNow(), { ranked, state.tried_ }, coldRateLimits(state));
}

// A request that may have run doesn't wait, since its outcome is final or its caller can learn it now.
auto FleetRequestHandler::awaitReturn(RequestState &state) -> bool
{
    if (state.mayHaveRun_) {
        return false;
    }
    auto request = WaitingRequest {};
    request.candidates_ = state.candidates_;
    if (state.organisation_ != nullptr) {
        request.organisation_ = state.organisation_->limits_.name_;
        request.weight_ = state.organisation_->limits_.weight_;
    }
    request.deadline_ = state.deadline_;
    request.callerSocket_ = state.received_.socket_;
    request.choose_ = [&] {
        return chooseBackend(state);
    };
    request.servedAt_ = [&] {
        updateReturn(state);
        // A host that stops has no time left to wait for backend servers.
        return monotonicNow() >= services_.plannedStop_().refusesAt_ ? std::nullopt : state.return_.servedAt_;
    };
    request.hasFreeBackend_ = [&] {
        return state.return_.hasFreeBackend_;
    };
    state.isWaiting_ = true;
    const auto result = returns_.await(request);
    state.isWaiting_ = false;
    state.refusal_ = result == WaitResult::CallerLeft ? Refusal::CallerLeft : state.refusal_;
    if (result == WaitResult::Unservable && state.return_.returnAt_) {
        state.detail_ = "every backend server is leaving, paused or returning from a pause";
    }
    return result == WaitResult::Chosen;
}

// Signals of backend servers are taken over before anything else is done with the response.
auto FleetRequestHandler::recordSignals(const RequestState &state, const HttpResponse &response) -> void
{
    if (response.status_ == 0) {
        return;
    }
    const auto signals = decodeBackendSignals(response.status_, response.headers_, { services_.protocol_.leaving_, services_.protocol_.limit_ });
    const auto namesNoLimit = BackendSignals { .isLimitKnown_ = true };
    if (signals == BackendSignals {} || (signals == namesNoLimit && !selector_.hasHeardOfLimits())) {
        return;
    }
    const auto now = monotonicNow();
    const auto &backend = *state.choice_.backend_;
    const auto delay = signals.pause_ ? returnDelay(*signals.pause_, services_.shareHolders_(now), selfHash(), backend.hash_) : absl::ZeroDuration();
    const auto change = selector_.mark(now, backend, signals, state.writtenAt_, delay);
    logSignals(now, state.requestId_, backend, signals, change);
    if (change.beganLeaving_) {
        pool_.closeIdle(backend.registration_.server_.address_);
    }
}

auto FleetRequestHandler::endMarks(absl::Time now) -> void
{
    auto due = nextMarkSweep_.load();
    if (absl::ToUnixMillis(now) < due || !nextMarkSweep_.compare_exchange_strong(due, absl::ToUnixMillis(now + markSweepInterval))) {
        return;
    }
    for (const auto &mark : selector_.endMarks(now, *services_.state_->view())) {
        logEndedMark(mark);
    }
}

auto FleetRequestHandler::signalCounts() const -> SignalCounts
{
    return selector_.signalCounts();
}

}
