#include "process/fleetrequesthandler.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "process/fleetrequeststate.h"
#include "process/retryafter.h"
#include "request/backendranking.h"

#include <absl/strings/str_join.h>
#include <fmt/format.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

/** Connection attempts that may fail before a request ends; nothing is sent in them. */
constexpr auto maximumFailedConnections = 3;

/** Shortest remaining time in which another attempt is made. */
constexpr auto minimumAttemptTime = absl::Milliseconds(60);

constexpr auto maximumCrashRecords = std::size_t { 1000 };

constexpr auto connectTimeout = absl::Milliseconds(400);

/** Backend servers close idle connections after some seconds; closing first avoids sending on a connection that is being closed. */
constexpr auto idleLimit = absl::Seconds(6);
constexpr auto nonRepeatableIdleLimit = absl::Seconds(3);

/** A response of up to this part of the memory for bodies is held until it is complete, so that the request can be sent again if it is cut. */
constexpr auto heldResponseDivisor = std::size_t { 16 };

constexpr auto firstServerError = 500;
constexpr auto misdirectedStatus = 421;

auto poolSettings(const FleetRequestServices &services, int endDescriptor) -> BackendPoolSettings
{
    auto settings = BackendPoolSettings {};
    settings.endDescriptor_ = endDescriptor;
    settings.connectTimeout_ = connectTimeout;
    settings.idleLimit_ = idleLimit;
    settings.nonRepeatableIdleLimit_ = nonRepeatableIdleLimit;
    settings.acceptsUndelimited_ = true;
    if (services.bodyMemory_) {
        settings.bodyMemory_ = services.bodyMemory_;
        settings.heldResponseBody_ = services.bodyMemory_->limits().total_ / heldResponseDivisor;
    }
    if (services.maximumIdleConnections_ > 0) {
        settings.maximumIdle_ = services.maximumIdleConnections_;
    }
    const auto &protocol = services.protocol_;
    settings.headers_ = { protocol.timeoutMillis_, protocol.organisation_, protocol.expectedInstance_, protocol.requestId_ };
    return settings;
}

auto millisecondsText(absl::Duration duration) -> std::string
{
    return fmt::format("{:.1f}", absl::ToDoubleMilliseconds(duration));
}

// The line of the request has been logged by the time at which the rest of its response is passed on.
auto loggingCut(ResponseRest rest, const std::string &requestId, const std::string &backend) -> ResponseRest
{
    auto next = [receive = std::move(rest.next_), requestId, backend] {
        auto part = receive();
        if (part.end_ == BodyPartEnd::Cut) {
            logLine(wallNow(), LogLevel::Warning, "response_cut", { { "request", requestId }, { "backend", backend } });
        }
        return part;
    };
    return { rest.length_, std::move(next) };
}

}

// Identifies a request by its organisation and content. A request that is sent again has the same fingerprint, on every host.
auto FleetRequestHandler::fingerprintOf(const RequestState &state) -> std::string
{
    const auto &content = state.received_.content_;
    const auto organisation = state.organisation_ == nullptr ? std::string {} : state.organisation_->limits_.name_;
    // The lengths keep different requests from having the same text.
    return sha256Hex(fmt::format("{} {} {} {}\n", organisation, content.method_, content.target_.size(), content.target_), content.body_);
}

FleetRequestHandler::FleetRequestHandler(FleetRequestServices services)
    : services_(std::move(services))
    , endDescriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
    , pool_(poolSettings(services_, endDescriptor_))
    , quotas_(services_.hostName_, monotonicNow())
    , crashes_(maximumCrashRecords)
{
}

FleetRequestHandler::~FleetRequestHandler()
{
    close(endDescriptor_);
}

auto FleetRequestHandler::endWaits() -> void
{
    const auto one = std::uint64_t { 1 };
    static_cast<void>(write(endDescriptor_, &one, sizeof(one)));
}

auto FleetRequestHandler::handle(const ReceivedRequest &request) -> CallerResponse
{
    inFlight_ += 1;
    endMarks(monotonicNow());
    auto state = RequestState { request, headerValue(request.content_.headers_, services_.protocol_.requestId_), services_.state_->view(), nullptr };
    state.policy_ = state.view_->policy_;
    const auto refusal = isPeerClosed(request.socket_) ? Refusal::CallerLeft : admitRequest(state);
    auto response = refusal ? refuse(state, *refusal) : send(state);
    inFlight_ -= 1;
    return response;
}

auto FleetRequestHandler::refuseUnhandled(const ReceivedRequest &request, Refusal refusal) -> CallerResponse
{
    auto state = RequestState { request, headerValue(request.content_.headers_, services_.protocol_.requestId_), services_.state_->view(), nullptr };
    state.policy_ = state.view_->policy_;
    return refuse(state, refusal);
}

auto FleetRequestHandler::explain(const ExplainRequest &explainRequest) -> RoutingExplanation
{
    const auto now = monotonicNow();
    const auto view = services_.state_->view();
    const auto lastStoreResponseAt = services_.state_->lastStoreResponseAt();
    auto explanation = RoutingExplanation {};
    explanation.revision_ = view->asOf_.revision_;
    if (lastStoreResponseAt != absl::InfinitePast()) {
        explanation.storeAge_ = now - lastStoreResponseAt;
    }
    if (!view->policy_) {
        explanation.refusal_ = describeRefusal(Refusal::NoConfiguration).name_;
        return explanation;
    }
    explanation.version_ = view->policy_->policy().version_;
    const auto received = ReceivedRequest { {}, now, -1, 0 };
    auto state = RequestState { received, {}, view, view->policy_ };
    state.route_ = state.policy_->findRoute(explainRequest.host_, pathOfTarget(explainRequest.path_));
    if (state.route_ == nullptr) {
        explanation.refusal_ = describeRefusal(Refusal::NoRoute).name_;
        return explanation;
    }
    for (const auto &organisation : state.policy_->policy().organisations_) {
        state.organisation_ = organisation.limits_.name_ == explainRequest.organisation_ ? &organisation : state.organisation_;
    }
    chooseTarget(state, explainRequest.object_);
    explanation.route_ = state.route_->name_;
    explanation.service_ = state.service_;
    const auto candidateBackends = candidates(state, *view);
    for (const auto *backend : rankBackends(state.objectHash_, candidateBackends)) {
        const auto &server = backend->registration_.server_;
        explanation.backends_.push_back({ server.name_, server.zone_, backend->weight_, selector_.stateAt(now, *backend, coldRateLimits(state)) });
    }
    if (explanation.backends_.empty()) {
        explanation.refusal_ = describeRefusal(Refusal::NoCapacity).name_;
    }
    return explanation;
}

// An organisation's priority takes precedence over the route's.
auto FleetRequestHandler::priorityOf(const RequestState &state) -> int
{
    return state.organisation_ == nullptr ? state.route_->priority_ : state.organisation_->priority_.value_or(state.route_->priority_);
}

auto FleetRequestHandler::send(RequestState &state) -> CallerResponse
{
    while (true) {
        state.deadline_ = std::min(state.deadline_, services_.plannedStop_().waitsEndAt_);
        if (state.deadline_ - monotonicNow() < (state.attempts_ == 0 ? absl::ZeroDuration() : minimumAttemptTime)) {
            state.refusal_ = state.mayHaveRun_ ? Refusal::DeadlineExceeded : Refusal::NoCapacity;
            break;
        }
        if (hasExpiredAdmission(state, monotonicNow())) {
            if (const auto refusal = admitByQuota(state)) {
                state.refusal_ = *refusal;
                break;
            }
        }
        if (!chooseBackend(state) && !awaitReturn(state)) {
            break;
        }
        if (evaluateExchange(state, sendAttempt(state))) {
            break;
        }
    }
    return finish(state);
}

auto FleetRequestHandler::sendAttempt(RequestState &state) -> BackendExchange
{
    const auto &server = state.choice_.backend_->registration_.server_;
    auto call = BackendCall {};
    call.address_ = server.address_;
    call.deadline_ = state.deadline_;
    call.repeatable_ = state.route_->repeatability_ == Repeatability::Repeatable;
    call.organisation_ = state.organisation_ == nullptr ? std::string {} : state.organisation_->limits_.name_;
    call.callerSocket_ = state.received_.socket_;
    // The identifier tells a repeated response to an earlier request from the response to this one, unless it is missing or was used for that address before.
    const auto &addresses = state.triedAddresses_;
    call.needsNewConnection_ = state.requestId_.empty() || std::find(addresses.begin(), addresses.end(), server.address_) != addresses.end();
    state.triedAddresses_.push_back(server.address_);
    state.tried_.push_back(server.name_);
    state.sentAt_ = monotonicNow();
    call.peer_ = { server.name_, state.choice_.backend_->registration_.incarnation_ };
    call.requestId_ = state.requestId_;
    call.acceptsPart_ = true;
    call.maySend_ = [&] {
        const auto now = monotonicNow();
        return selector_.maySend(now, state.choice_) && !hasExpiredAdmission(state, now);
    };
    return pool_.exchange(call, state.content_);
}

// Records the result of an attempt. Returns whether the request ends with it; otherwise another backend server is tried.
auto FleetRequestHandler::evaluateExchange(RequestState &state, BackendExchange exchange) -> bool
{
    const auto now = monotonicNow();
    const auto &backend = *state.choice_.backend_;
    state.detail_ = exchange.detail_;
    state.writtenAt_ = exchange.sentAt_;
    recordSignals(state, exchange.response_);
    if (exchange.status_ == ExchangeStatus::Cancelled) {
        selector_.cancel(backend);
        state.tried_.pop_back();
        state.triedAddresses_.pop_back();
        return false;
    }
    if (exchange.status_ == ExchangeStatus::CallerLeft) {
        selector_.release(backend);
        state.refusal_ = state.mayHaveRun_ ? state.refusal_ : Refusal::CallerLeft;
        return true;
    }
    if (exchange.status_ == ExchangeStatus::NotSent) {
        selector_.end(now, backend, { ExchangeOutcome::Unreachable });
        state.failedConnections_ += 1;
        state.refusal_ = state.mayHaveRun_ ? state.refusal_ : Refusal::BackendUnreachable;
        return state.failedConnections_ >= maximumFailedConnections;
    }
    state.attempts_ += 1;
    if (exchange.status_ == ExchangeStatus::Complete) {
        return evaluateResponse(state, std::move(exchange));
    }
    state.mayHaveRun_ = true;
    if (exchange.status_ == ExchangeStatus::Abandoned) {
        selector_.abandon(now, backend, now - state.sentAt_);
        state.isAbandoned_ = true;
        return true;
    }
    const auto isSilent = exchange.status_ == ExchangeStatus::TimedOut || exchange.status_ == ExchangeStatus::Silent;
    selector_.end(now, backend, { isSilent ? ExchangeOutcome::Silent : ExchangeOutcome::Incomplete, std::nullopt, now - state.sentAt_ }, state.writtenAt_);
    if (isSilent) {
        // The idle connections to the server may be just as unresponsive.
        pool_.closeIdle(backend.registration_.server_.address_);
        if (now < state.limitEndsAt_ && now >= services_.plannedStop_().waitsEndAt_) {
            state.detail_ = "broken off by the end of this host, before the request's own limit";
        }
    } else {
        recordCrash(state);
    }
    state.refusal_ = isSilent ? Refusal::DeadlineExceeded : Refusal::ResponseIncomplete;
    return state.route_->repeatability_ != Repeatability::Repeatable || !maySendAgain(state);
}

auto FleetRequestHandler::evaluateResponse(RequestState &state, BackendExchange exchange) -> bool
{
    auto &response = exchange.response_;
    const auto now = monotonicNow();
    const auto &backend = *state.choice_.backend_;
    const auto report = headerValue(response.headers_, services_.protocol_.load_);
    const auto load = parseLoadReport(report);
    loadReportsIgnored_ += !load && !report.empty() ? 1 : 0;
    const auto isNotRun = response.status_ == misdirectedStatus || headerCount(response.headers_, services_.protocol_.notRun_) > 0;
    if (isNotRun) {
        selector_.end(
            now, backend, { response.status_ == misdirectedStatus ? ExchangeOutcome::Unreachable : ExchangeOutcome::Overloaded, load }, state.writtenAt_);
        state.detail_ = fmt::format("not run by the backend server, status {}", response.status_);
        state.refusal_ = state.mayHaveRun_ ? state.refusal_ : Refusal::NoCapacity;
        return !maySendAgain(state);
    }
    state.mayHaveRun_ = true;
    const auto isFailure = response.status_ >= firstServerError;
    selector_.end(now, backend, { isFailure ? ExchangeOutcome::Failed : ExchangeOutcome::Responded, load, now - state.sentAt_ }, state.writtenAt_);
    state.response_ = std::move(response);
    state.rest_ = std::move(exchange.rest_);
    return !isFailure || state.route_->repeatability_ != Repeatability::Repeatable || !maySendAgain(state);
}

auto FleetRequestHandler::maySendAgain(RequestState &state) -> bool
{
    return state.attempts_ < state.route_->maximumAttempts_
        && std::min(state.deadline_, services_.plannedStop_().waitsEndAt_) - monotonicNow() >= minimumAttemptTime && retries_.takeRetry(state.service_);
}

// A backend server that closes a connection without a whole response has crashed if it accepts no new connection either.
auto FleetRequestHandler::recordCrash(RequestState &state) -> void
{
    const auto &server = state.choice_.backend_->registration_.server_;
    if (pool_.isAccepting(server.address_)) {
        return;
    }
    const auto now = monotonicNow();
    addCrashRecord(now, { fingerprintOf(state), { server.name_ }, now });
}

auto FleetRequestHandler::refuse(RequestState &state, Refusal refusal) -> CallerResponse
{
    const auto &description = describeRefusal(refusal);
    auto result = CallerResponse {};
    auto &response = result.httpResponse_;
    response.status_ = description.status_;
    response.body_ = refusalBody(refusal, description.outcome_, state.requestId_);
    response.headers_.push_back({ "Content-Type", "application/json" });
    response.headers_.push_back({ std::string(outcomeHeader), std::string(outcomeName(description.outcome_)) });
    response.headers_.push_back({ std::string(reasonHeader), std::string(description.name_) });
    if (!state.requestId_.empty()) {
        response.headers_.push_back({ services_.protocol_.requestId_, state.requestId_ });
    }
    if (refusal == Refusal::NoCapacity && state.return_.isLimitReached_) {
        response.headers_.push_back({ "Retry-After", retryAfterLimit(state.requestId_) });
    } else if (refusal == Refusal::NoCapacity && state.return_.returnAt_.value_or(absl::InfiniteFuture()) != absl::InfiniteFuture()) {
        response.headers_.push_back({ "Retry-After", retryAfterReturn(monotonicNow(), *state.return_.returnAt_) });
    } else if (const auto seconds = retryAfter(refusal)) {
        response.headers_.push_back({ "Retry-After", std::string(*seconds) });
    }
    result.closes_ = hasBegun(services_.plannedStop_()) || refusal == Refusal::CallerLeft;
    log(state, response.status_, description.name_);
    return result;
}

auto FleetRequestHandler::finish(RequestState &state) -> CallerResponse
{
    if (state.attempts_ > 0 && !state.isAbandoned_) {
        durations_.record(state.route_->name_, monotonicNow() - state.received_.receivedAt_);
    }
    if (state.isAbandoned_) {
        log(state, 0, "caller_left");
        auto result = CallerResponse {};
        result.isAbandoned_ = true;
        return result;
    }
    if (!state.response_) {
        updateReturn(state);
        if (state.refusal_ == Refusal::NoCapacity && state.return_.isLimitReached_ && state.detail_.empty()) {
            state.detail_ = "backend servers have reached the limits that they named";
        }
        return refuse(state, state.refusal_);
    }
    log(state, state.response_->status_, "");
    auto result = CallerResponse {};
    result.httpResponse_ = std::move(*state.response_);
    if (state.rest_) {
        result.rest_ = loggingCut(std::move(*state.rest_), state.requestId_, state.choice_.backend_->registration_.server_.name_);
    }
    result.closes_ = hasBegun(services_.plannedStop_());
    return result;
}

auto FleetRequestHandler::log(const RequestState &state, int status, std::string_view reason) -> void
{
    const auto now = monotonicNow();
    const auto duration = now - state.received_.receivedAt_;
    const auto *backend = state.choice_.backend_;
    const auto lastStoreResponseAt = services_.state_->lastStoreResponseAt();
    auto fields = std::vector<LogField> {
        { "request", state.requestId_ },
        { "status", fmt::format("{}", status) },
        { "ms", millisecondsText(duration) },
        { "sent_ms", state.writtenAt_ == absl::InfinitePast() ? "" : millisecondsText(state.writtenAt_ - state.received_.receivedAt_) },
        { "route", state.route_ == nullptr ? "" : state.route_->name_ },
        { "organisation", state.organisation_ == nullptr ? "" : state.organisation_->limits_.name_ },
        { "service", state.service_ },
        { "backend", backend == nullptr ? "" : backend->registration_.server_.name_ },
        { "tried", absl::StrJoin(state.tried_, ",") },
        { "choice", backend == nullptr ? "" : std::string(choiceReasonName(state.choice_.reason_)) },
        { "rank", fmt::format("{}", state.choice_.rank_) },
        { "expected_wait_ms", fmt::format("{:.0f}", absl::ToDoubleMilliseconds(state.choice_.wait_)) },
        { "attempts", fmt::format("{}", state.attempts_) },
        { "version", state.policy_ ? fmt::format("{}", state.policy_->policy().version_) : "" },
        { "revision", fmt::format("{}", state.view_->asOf_.revision_) },
        { "store_age_ms", lastStoreResponseAt == absl::InfinitePast() ? "" : fmt::format("{:.0f}", absl::ToDoubleMilliseconds(now - lastStoreResponseAt)) },
    };
    if (!reason.empty()) {
        fields.push_back({ "reason", std::string(reason) });
    }
    if (state.received_.unreadTime_ > absl::ZeroDuration()) {
        fields.push_back({ "unread_ms", millisecondsText(state.received_.unreadTime_) });
    }
    if (const auto stop = services_.plannedStop_(); hasBegun(stop)) {
        fields.push_back({ "stop_ms", millisecondsText(std::max(state.received_.receivedAt_, state.completeAt_) - stop.beganAt_) });
    }
    if (!state.detail_.empty()) {
        fields.push_back({ "detail", state.detail_ });
    }
    if (state.admission_.own_.limit_ > 0 || state.admission_.asked_ > 0) {
        const auto &admission = state.admission_;
        fields.push_back({ "quota", fmt::format("{}/{}", admission.own_.used_, admission.own_.limit_) });
        fields.push_back({ "quota_holder", admission.isAdmitted_ && admission.holder_.empty() ? "self" : admission.holder_ });
    }
    if (state.admission_.asked_ > 0) {
        fields.push_back({ "quota_asked", fmt::format("{}", state.admission_.asked_) });
        fields.push_back({ "quota_ms", millisecondsText(state.admission_.askTime_) });
    }
    if (state.permitsAsked_ > 0) {
        fields.push_back({ "permits_asked", fmt::format("{}", state.permitsAsked_) });
        fields.push_back({ "permits_ms", millisecondsText(state.permitTime_) });
    }
    logLine(wallNow(), reason.empty() ? LogLevel::Info : LogLevel::Warning, "request", fields);
    if (services_.observe_) {
        services_.observe_({ state.organisation_ == nullptr ? std::string {} : state.organisation_->limits_.name_,
                             std::string(reason),
                             duration,
                             state.route_ == nullptr ? std::string {} : state.route_->name_,
                             status,
                             state.attempts_,
                             state.received_.unreadTime_ });
    }
}

auto FleetRequestHandler::crashRecords(absl::Time now) const -> std::vector<CrashRecord>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return crashes_.records(now);
}

auto FleetRequestHandler::addCrashRecord(absl::Time now, const CrashRecord &record) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    crashes_.record(now, record);
}

auto FleetRequestHandler::cleanUp(absl::Time now) -> void
{
    const auto view = services_.state_->view();
    auto peers = absl::flat_hash_map<std::string_view, const DiscoveredBackend *> {};
    for (const auto &[service, backends] : view->backends_) {
        for (const auto &backend : backends) {
            peers.emplace(backend.registration_.server_.address_, &backend.registration_);
        }
    }
    pool_.closeUnused(now, [&](const std::string &address, const ConnectionPeer &peer) {
        const auto found = peers.find(address);
        return found != peers.end() && peer == ConnectionPeer { found->second->server_.name_, found->second->incarnation_ };
    });
}

auto FleetRequestHandler::idleConnections() const -> std::size_t
{
    return pool_.idleCount();
}

auto FleetRequestHandler::loadReportsIgnored() const -> std::int64_t
{
    return loadReportsIgnored_;
}

auto FleetRequestHandler::inFlight() const -> int
{
    return inFlight_;
}

}
