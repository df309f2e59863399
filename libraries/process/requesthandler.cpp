#include "process/requesthandler.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "process/dispatcher.h"
#include "process/idempotencyregistry.h"
#include "process/keychecker.h"
#include "process/requestmessages.h"
#include "process/storeclaims.h"
#include "request/credentials.h"
#include "request/refusal.h"
#include "request/requestpath.h"
#include "request/runtoken.h"
#include "version/routelookup.h"

#include <absl/base/thread_annotations.h>
#include <absl/strings/numbers.h>
#include <absl/synchronization/mutex.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <optional>
#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

constexpr auto timeoutHeader = "X-Request-Timeout-Ms";

// Each key takes about 200 bytes besides its response. 1,000 requests a second with new idempotency keys fill the table in three minutes.
constexpr auto maximumIdempotencyKeys = std::size_t { 200'000 };
constexpr auto maximumIdempotencyResponseBytes = std::size_t { 64 } * 1024 * 1024;

// Callers may resend for some time after the expiry of the token; the response is kept for that.
constexpr auto tokenRetention = absl::Minutes(10);

// The store keeps these keys for longer; this host's own table saves store calls for early resends.
constexpr auto claimRetention = absl::Minutes(10);

// Limits how often one host reads the claims of refused requests, so that many refusals do not use up the store's capacity: 18 hosts read at most 360 times
// a second, and the store serves 2,000 calls a second. Beyond the limit, this host does not check whether an earlier request with the key has run, and the
// refusal has an unknown outcome.
constexpr auto maximumClaimReadsPerSecond = 20;

/** State of one request while it is handled. */
struct RequestState
{
    ConfigurationPointer configuration_;
    std::string requestId_;
    absl::Time receivedAt_;
    absl::Time deadline_;
    const Route *route_ = nullptr;
    std::string organisation_;
    /** Digest of the API key; empty on open routes. */
    std::string keyDigest_;
    std::string keyName_;
    FreshnessState freshness_ = FreshnessState::Fresh;
    /** The request with its API keys, to be forwarded to the host that owns its idempotency key. */
    RequestContent original_;
    /** The request without API keys. */
    RequestContent content_;
    bool repeatable_ = true;
    /** The run that a forwarding peer addressed; absent when the request came from its caller. */
    std::optional<std::string> addressedRun_;
    /** Result of the dispatch; for a request that is forwarded to its run, only the detail for the log line. */
    DispatchResult dispatchResult_;
    bool replayed_ = false;
    bool forwarded_ = false;
    /** An earlier request with the same idempotency key may have run, so a refusal must not have the outcome not-run. */
    bool mayHaveRunBefore_ = false;
};

auto isSafeMethod(const std::string &method) -> bool
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

// Whether the request itself is the reason for a refusal, so that the same request cannot have run when it was sent earlier.
auto followsFromRequestAlone(Refusal refusal) -> bool
{
    constexpr auto refusals = std::array {
        Refusal::NoRoute,
        Refusal::KeyMissing,
        Refusal::KeyAmbiguous,
        Refusal::KeyInContent,
        Refusal::IdempotencyKeyRequired,
        Refusal::IdempotencyKeyInvalid,
        Refusal::BodyTooLarge,
        Refusal::MalformedRequest,
    };
    return std::find(refusals.begin(), refusals.end(), refusal) != refusals.end();
}

auto outcomeOf(Refusal refusal, const RequestState &state) -> Outcome
{
    const auto outcome = describeRefusal(refusal).outcome_;
    const auto isUncertain = outcome == Outcome::NotRun && state.mayHaveRunBefore_ && !followsFromRequestAlone(refusal);
    return isUncertain ? Outcome::Unknown : outcome;
}

// The route's deadline, or the caller's if that is earlier.
auto deadlineOf(const RequestState &state) -> absl::Time
{
    auto limit = state.route_->deadline_;
    auto milliseconds = std::int64_t { 0 };
    if (absl::SimpleAtoi(headerValue(state.content_.headers_, timeoutHeader), &milliseconds) && milliseconds > 0) {
        limit = std::min(limit, absl::Milliseconds(milliseconds));
    }
    return std::min(state.receivedAt_ + limit, state.deadline_);
}

auto digestOf(const RequestContent &content) -> std::string
{
    // The lengths keep different requests from having the same text.
    return sha256Hex(fmt::format("{} {} {} {}\n", content.method_, content.target_.size(), content.target_, content.body_.size()), content.body_);
}

// The result of a request whose idempotency key could not be claimed; none when the request may run.
auto resultOfClaim(const ClaimResult &result, RequestState &state) -> std::optional<ResponseOrRefusal>
{
    switch (result.status_) {
    case ClaimStatus::Claimed:
        return std::nullopt;
    case ClaimStatus::Done:
        state.replayed_ = true;
        return result.response_;
    case ClaimStatus::ClaimedElsewhere:
        return Refusal::ClaimedElsewhere;
    case ClaimStatus::Mismatch:
        return Refusal::IdempotencyKeyInvalid;
    case ClaimStatus::Unavailable:
        return Refusal::ClaimUnavailable;
    }
    return Refusal::ClaimUnavailable;
}

// Whether a request was refused as not run before its key was claimed. It may still have run through another host, under that host's claim.
auto isRefusedBeforeClaim(const ResponseOrRefusal &result) -> bool
{
    constexpr auto reasons = std::array { Refusal::RateExceeded, Refusal::NoCapacity, Refusal::CrashSuspect, Refusal::Overloaded };
    const auto *refusal = std::get_if<Refusal>(&result);
    return refusal != nullptr && std::find(reasons.begin(), reasons.end(), *refusal) != reasons.end();
}

auto logLevelOf(const Refusal *refusal) -> LogLevel
{
    return refusal != nullptr && describeRefusal(*refusal).outcome_ == Outcome::Unknown ? LogLevel::Warning : LogLevel::Info;
}

}

struct RequestHandler::State
{
    explicit State(RequestServices services);

    auto serve(RequestState &state) -> ResponseOrRefusal;
    auto resolveRoute(RequestState &state) const -> std::optional<Refusal>;
    auto authenticate(RequestState &state) -> std::optional<Refusal>;
    auto checkKey(RequestState &state) -> KeyCheck;
    auto recheckKey(RequestState &state) -> std::optional<Refusal>;
    auto serveIdempotent(RequestState &state) -> ResponseOrRefusal;
    auto serveWithRunToken(RequestState &state, const IdempotencyKey &key) -> ResponseOrRefusal;
    auto serveWithStoreClaim(RequestState &state, const IdempotencyKey &key) -> ResponseOrRefusal;
    auto admitClaimRead() -> bool;
    auto forward(RequestState &state, const RunToken &token) -> ResponseOrRefusal;
    auto executeOnce(RequestState &state, const IdempotentRequest &idempotentRequest, std::function<std::optional<ResponseOrRefusal>()> beforeSend)
        -> ResponseOrRefusal;
    auto run(RequestState &state, std::function<std::optional<ResponseOrRefusal>()> beforeSend) -> ResponseOrRefusal;
    auto serveAndLog(RequestState &state) -> HttpResponse;
    auto log(const RequestState &state, const HttpResponse &response, const Refusal *refusal) const -> void;
    auto nextRequestId() -> std::string;
    auto latestWallTime() -> absl::Time;

    RequestServices services_;
    Dispatcher dispatcher_;
    KeyChecker keyChecker_;
    IdempotencyRegistry idempotencyKeys_;
    std::atomic<std::uint64_t> requestCount_ = 0;
    std::atomic<std::int64_t> latestWallMicros_ = 0;
    std::atomic<int> inFlight_ = 0;
    absl::Mutex claimReadsMutex_;
    /** Start of the current window of one second for claim reads, and the reads in it. */
    absl::Time claimReadWindowStart_ ABSL_GUARDED_BY(claimReadsMutex_) = absl::InfinitePast();
    int claimReadsInWindow_ ABSL_GUARDED_BY(claimReadsMutex_) = 0;
};

RequestHandler::State::State(RequestServices services)
    : services_(std::move(services))
    , dispatcher_(services_.zone_, services_.limits_)
    , keyChecker_(services_.configuration_, services_.freshness_)
    , idempotencyKeys_(maximumIdempotencyKeys, maximumIdempotencyResponseBytes)
{
}

// The latest wall time seen. The wall clock may be set back, and a token that has expired must not become valid again after its keys were removed.
auto RequestHandler::State::latestWallTime() -> absl::Time
{
    const auto now = absl::ToUnixMicros(wallNow());
    auto latest = latestWallMicros_.load();
    while (latest < now && !latestWallMicros_.compare_exchange_weak(latest, now)) { }
    return absl::FromUnixMicros(std::max(latest, now));
}

auto RequestHandler::State::nextRequestId() -> std::string
{
    return fmt::format("{}-{:x}", services_.run_, requestCount_.fetch_add(1, std::memory_order_relaxed));
}

auto RequestHandler::State::resolveRoute(RequestState &state) const -> std::optional<Refusal>
{
    if (state.configuration_->revision_ == 0) {
        return Refusal::NoConfiguration;
    }
    const auto path = routingPath(state.content_.target_);
    if (!path || headerCount(state.content_.headers_, "host") != 1) {
        return Refusal::MalformedRequest;
    }
    state.route_ = findRoute(*state.configuration_, headerValue(state.content_.headers_, "host"), *path);
    if (state.route_ == nullptr) {
        return Refusal::NoRoute;
    }
    if (state.content_.body_.size() > state.route_->bodyLimit_) {
        return Refusal::BodyTooLarge;
    }
    state.deadline_ = deadlineOf(state);
    state.repeatable_ = state.route_->repeatable_ || isSafeMethod(state.content_.method_);
    return std::nullopt;
}

// Finds the organisation and removes the API keys from the request, on open routes as well: no key may reach a backend server.
auto RequestHandler::State::authenticate(RequestState &state) -> std::optional<Refusal>
{
    auto credentials = extractCredentials(std::move(state.content_));
    state.content_ = std::move(credentials.content_);
    if (credentials.keys_.size() > 1) {
        return Refusal::KeyAmbiguous;
    }
    // The second check finds keys of other callers, and keys outside the headers and parameters that carry them.
    if ((!credentials.keys_.empty() && containsKey(state.content_, credentials.keys_.front())) || containsKeyPattern(state.content_)) {
        return Refusal::KeyInContent;
    }
    if (state.route_->access_ == Access::Open) {
        return std::nullopt;
    }
    if (credentials.keys_.empty()) {
        return Refusal::KeyMissing;
    }
    state.keyDigest_ = hmacHex(services_.secret_, credentials.keys_.front());
    const auto check = checkKey(state);
    state.keyName_ = check.name_;
    if (!check.refusal_) {
        state.organisation_ = check.organisation_;
    }
    return check.refusal_;
}

// Uses the present time: the process may have been paused since the request was received, and at that time stale state may still have been fresh.
auto RequestHandler::State::checkKey(RequestState &state) -> KeyCheck
{
    auto check = keyChecker_.check(monotonicNow(), state.keyDigest_, state.route_->isolation_);
    state.freshness_ = check.freshness_;
    return check;
}

// Checks the key again after the waits for tokens and slots.
auto RequestHandler::State::recheckKey(RequestState &state) -> std::optional<Refusal>
{
    if (state.route_->access_ == Access::Open) {
        return std::nullopt;
    }
    const auto check = checkKey(state);
    if (check.refusal_) {
        return check.refusal_;
    }
    // The request was admitted within the rate of the organisation that had the key before.
    return check.organisation_ == state.organisation_ ? std::nullopt : std::optional(Refusal::KeyWithdrawn);
}

auto RequestHandler::State::serve(RequestState &state) -> ResponseOrRefusal
{
    const auto routingRefusal = resolveRoute(state);
    if (routingRefusal) {
        return *routingRefusal;
    }
    if (!state.repeatable_) {
        state.original_ = state.content_;
        state.mayHaveRunBefore_ = headerCount(state.content_.headers_, idempotencyHeader) > 0;
    }
    const auto authenticationRefusal = authenticate(state);
    if (authenticationRefusal) {
        return *authenticationRefusal;
    }
    return state.repeatable_ ? run(state, nullptr) : serveIdempotent(state);
}

auto RequestHandler::State::serveIdempotent(RequestState &state) -> ResponseOrRefusal
{
    if (headerCount(state.content_.headers_, idempotencyHeader) == 0) {
        return Refusal::IdempotencyKeyRequired;
    }
    auto key = attempt([&] {
        return parseIdempotencyKey(headerValue(state.content_.headers_, idempotencyHeader), services_.secret_);
    });
    if (std::holds_alternative<Error>(key) || headerCount(state.content_.headers_, idempotencyHeader) > 1) {
        return Refusal::IdempotencyKeyInvalid;
    }
    const auto &parsed = std::get<IdempotencyKey>(key);
    return parsed.token_ ? serveWithRunToken(state, parsed) : serveWithStoreClaim(state, parsed);
}

auto RequestHandler::State::serveWithRunToken(RequestState &state, const IdempotencyKey &key) -> ResponseOrRefusal
{
    const auto &token = *key.token_;
    const auto isForThisRun = token.host_ == services_.hostName_ && token.run_ == services_.run_;
    if (!isForThisRun) {
        // A forwarded request that names another run was addressed to an earlier run of this host.
        return token.host_ == services_.hostName_ || state.addressedRun_ ? ResponseOrRefusal { Refusal::RunEnded } : forward(state, token);
    }
    const auto wallTime = latestWallTime();
    const auto keepUntil = state.receivedAt_ + (token.expiry_ - wallTime) + tokenRetention;
    const auto idempotentRequest = IdempotentRequest { state.organisation_, key.text_, digestOf(state.content_), keepUntil };
    // A key that is not in the table after the expiry of its token may have run and been removed, so its outcome is unknown.
    if (wallTime > token.expiry_ && !idempotencyKeys_.contains(idempotentRequest)) {
        return Refusal::RunEnded;
    }
    // Only this run may execute the key, so a key that is not in the table has not run.
    state.mayHaveRunBefore_ = idempotencyKeys_.contains(idempotentRequest);
    return executeOnce(state, idempotentRequest, nullptr);
}

auto RequestHandler::State::serveWithStoreClaim(RequestState &state, const IdempotencyKey &key) -> ResponseOrRefusal
{
    const auto digest = digestOf(state.content_);
    const auto idempotentRequest = IdempotentRequest { state.organisation_, key.text_, digest, state.receivedAt_ + claimRetention };
    const auto claimId = fmt::format("{}.{}.{}", services_.hostName_, services_.run_, state.requestId_);
    auto claim = Claim { claimKey(state.organisation_, key.text_), claimId, digest };
    auto isClaimed = false;
    auto isClaimAttempted = false;
    auto result = executeOnce(state, idempotentRequest, [&]() -> std::optional<ResponseOrRefusal> {
        isClaimAttempted = true;
        const auto claimResult = claimInStore(*services_.store_, claim);
        isClaimed = claimResult.status_ == ClaimStatus::Claimed;
        state.mayHaveRunBefore_ = !isClaimed;
        return resultOfClaim(claimResult, state);
    });
    if (!isClaimAttempted && isRefusedBeforeClaim(result) && admitClaimRead()) {
        const auto found = findInStore(*services_.store_, claim);
        state.mayHaveRunBefore_ = found.has_value();
        const auto isRead = found && found->status_ != ClaimStatus::Unavailable;
        return isRead ? resultOfClaim(*found, state).value_or(std::move(result)) : std::move(result);
    }
    if (!isClaimed) {
        return result;
    }
    if (const auto *response = std::get_if<HttpResponse>(&result)) {
        completeInStore(*services_.store_, claim, *response);
    } else if (describeRefusal(std::get<Refusal>(result)).outcome_ == Outcome::NotRun) {
        releaseInStore(*services_.store_, claim);
    }
    return result;
}

auto RequestHandler::State::admitClaimRead() -> bool
{
    const auto now = monotonicNow();
    const auto lock = absl::MutexLock(&claimReadsMutex_);
    if (now - claimReadWindowStart_ >= absl::Seconds(1)) {
        claimReadWindowStart_ = now;
        claimReadsInWindow_ = 0;
    }
    claimReadsInWindow_ += 1;
    return claimReadsInWindow_ <= maximumClaimReadsPerSecond;
}

auto RequestHandler::State::forward(RequestState &state, const RunToken &token) -> ResponseOrRefusal
{
    const auto *host = findByName(state.configuration_->entryHosts_, token.host_);
    if (host == nullptr) {
        return Refusal::RunEnded;
    }
    const auto remaining = state.deadline_ - monotonicNow();
    const auto request = toForwardedRequest(state.original_, token.run_, remaining);
    const auto response = attempt([&] {
        return services_.peers_->forward(host->peer_, request, remaining);
    });
    if (const auto *error = std::get_if<Error>(&response)) {
        state.dispatchResult_.detail_ = describe(*error);
        return Refusal::RunUnreachable;
    }
    state.forwarded_ = true;
    state.dispatchResult_.detail_ = "forwarded to " + token.host_;
    return responseOf(std::get<peer::ForwardedAnswer>(response));
}

auto RequestHandler::State::executeOnce(RequestState &state,
                                        const IdempotentRequest &idempotentRequest,
                                        std::function<std::optional<ResponseOrRefusal>()> beforeSend) -> ResponseOrRefusal
{
    const auto beginResult = idempotencyKeys_.begin(idempotentRequest, state.deadline_);
    switch (beginResult.decision_) {
    case IdempotencyDecision::Execute:
        break;
    case IdempotencyDecision::Wait:
        return Refusal::DeadlineExceeded;
    case IdempotencyDecision::Replay:
        state.replayed_ = true;
        return *beginResult.response_;
    case IdempotencyDecision::ResponseUnknown:
        return Refusal::ClaimedElsewhere;
    case IdempotencyDecision::Mismatch:
        return Refusal::IdempotencyKeyInvalid;
    case IdempotencyDecision::Full:
        return Refusal::Overloaded;
    }
    auto result = run(state, std::move(beforeSend));
    if (const auto *response = std::get_if<HttpResponse>(&result)) {
        idempotencyKeys_.finish(idempotentRequest, std::make_shared<const HttpResponse>(*response));
        return result;
    }
    const auto refusal = std::get<Refusal>(result);
    // A key that another request has claimed has not run here, and the store may hold its response later.
    if (describeRefusal(refusal).outcome_ == Outcome::NotRun || refusal == Refusal::ClaimedElsewhere) {
        idempotencyKeys_.forget(idempotentRequest);
    } else {
        idempotencyKeys_.finishUnknown(idempotentRequest);
    }
    return result;
}

auto RequestHandler::State::run(RequestState &state, std::function<std::optional<ResponseOrRefusal>()> beforeSend) -> ResponseOrRefusal
{
    if (!state.organisation_.empty() && !services_.limits_->takeToken(monotonicNow(), organisationLimitName(state.organisation_))) {
        return Refusal::RateExceeded;
    }
    const auto request = DispatchRequest {
        state.configuration_,
        state.route_,
        state.requestId_,
        state.organisation_,
        state.content_,
        state.deadline_,
        state.repeatable_,
        std::move(beforeSend),
        [this, &state] {
            return recheckKey(state);
        },
    };
    state.dispatchResult_ = dispatcher_.dispatch(request);
    if (state.dispatchResult_.response_) {
        return std::move(*state.dispatchResult_.response_);
    }
    return *state.dispatchResult_.refusal_;
}

auto RequestHandler::State::serveAndLog(RequestState &state) -> HttpResponse
{
    inFlight_.fetch_add(1, std::memory_order_relaxed);
    auto result = serve(state);
    const auto *refusal = std::get_if<Refusal>(&result);
    auto response = refusal != nullptr ? refusalResponse(*refusal, outcomeOf(*refusal, state), state.requestId_)
                                       : responseForCaller(std::get<HttpResponse>(std::move(result)), state.requestId_, state.forwarded_);
    log(state, response, refusal);
    inFlight_.fetch_sub(1, std::memory_order_relaxed);
    return response;
}

auto RequestHandler::State::log(const RequestState &state, const HttpResponse &response, const Refusal *refusal) const -> void
{
    const auto duration = monotonicNow() - state.receivedAt_;
    const auto elapsed = absl::ToInt64Microseconds(duration);
    const auto &dispatchResult = state.dispatchResult_;
    if (services_.observe_) {
        services_.observe_(RequestObservation { state.organisation_, refusal != nullptr ? std::string(describeRefusal(*refusal).name_) : "", duration });
    }
    logLine(wallNow(),
            logLevelOf(refusal),
            "request",
            {
                { "request", state.requestId_ },
                { "organisation", state.organisation_ },
                { "key", state.keyName_ },
                { "route", state.route_ == nullptr ? "" : state.route_->name_ },
                { "file", state.route_ == nullptr ? "" : state.route_->file_ },
                { "revision", std::to_string(state.configuration_->revision_) },
                { "knowledge", freshnessStateName(state.freshness_) },
                { "backend", dispatchResult.backend_ },
                { "region", dispatchResult.region_ },
                { "shift", dispatchResult.shift_ },
                { "candidates", std::to_string(dispatchResult.candidates_) },
                { "attempts", std::to_string(dispatchResult.attempts_) },
                { "status", std::to_string(response.status_) },
                { "outcome", headerValue(response.headers_, outcomeHeader) },
                { "reason", refusal != nullptr ? std::string(describeRefusal(*refusal).name_) : headerValue(response.headers_, reasonHeader) },
                { "replayed", state.replayed_ ? "yes" : "no" },
                { "detail", dispatchResult.detail_ },
                { "microseconds", std::to_string(elapsed) },
            });
}

RequestHandler::RequestHandler(RequestServices services)
    : state_(std::make_unique<State>(std::move(services)))
{
}

RequestHandler::~RequestHandler() = default;

auto RequestHandler::handle(const httplib::Request &request, httplib::Response &response, absl::Time receivedAt) -> void
{
    auto state = RequestState {};
    state.configuration_ = state_->services_.configuration_->get();
    state.requestId_ = state_->nextRequestId();
    state.receivedAt_ = receivedAt;
    state.deadline_ = absl::InfiniteFuture();
    state.content_ = contentOf(request);
    setResponse(response, state_->serveAndLog(state));
}

auto RequestHandler::handleForwarded(const peer::ForwardedRequest &request) -> peer::ForwardedAnswer
{
    auto state = RequestState {};
    state.configuration_ = state_->services_.configuration_->get();
    state.requestId_ = state_->nextRequestId();
    state.receivedAt_ = monotonicNow();
    state.deadline_ = state.receivedAt_ + absl::Microseconds(request.timeoutMicros);
    state.addressedRun_ = request.run;
    state.content_ = contentOf(request);
    return toForwardedAnswer(state_->serveAndLog(state));
}

auto RequestHandler::bodyLimit(const httplib::Request &request) const -> std::size_t
{
    const auto configuration = state_->services_.configuration_->get();
    const auto path = routingPath(request.target);
    const auto *route = path ? findRoute(*configuration, request.get_header_value("Host"), *path) : nullptr;
    return route == nullptr ? 0 : route->bodyLimit_;
}

auto RequestHandler::inFlight() const -> int
{
    return state_->inFlight_.load(std::memory_order_relaxed);
}

auto RequestHandler::crashReports(absl::Time now) const -> std::vector<peer::CrashReport>
{
    auto reports = std::vector<peer::CrashReport> {};
    for (const auto &record : state_->dispatcher_.crashRecords(now)) {
        reports.push_back(toCrashReport(now, record));
    }
    return reports;
}

auto RequestHandler::addCrashReports(absl::Time now, const std::vector<peer::CrashReport> &reports) -> void
{
    for (const auto &report : reports) {
        state_->dispatcher_.addCrashRecord(now, crashRecordOf(now, report));
    }
}

auto RequestHandler::setLeavingBackends(std::vector<std::string> names) -> void
{
    state_->dispatcher_.setLeavingBackends(std::move(names));
}

auto RequestHandler::backendsInUse() -> std::vector<BackendServer>
{
    const auto now = monotonicNow();
    const auto configuration = state_->services_.configuration_->get();
    if (configuration->revision_ > 0) {
        state_->dispatcher_.configure(now, configuration);
    }
    return state_->dispatcher_.backendsInUse(now);
}

auto RequestHandler::reportHealth(const std::string &backend, const HealthReport &report) -> void
{
    state_->dispatcher_.reportHealth(monotonicNow(), backend, report);
}

}
