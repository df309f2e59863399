#include "process/steeringhandler.h"

#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "request/backendranking.h"
#include "request/destinationchoice.h"
#include "request/requestpath.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace lycheecleat
{

namespace
{

/** Connections that may fail before a request is given up; no backend server has received anything then. */
constexpr auto maximumUnreachable = 3;

/** Part of the deployment's retry budget that is used, so that differing counts on the way do not exceed it. */
constexpr auto usedRetryPart = 0.75;

/** Hosts among which the extra part of the retry budget is split, however many there are. */
constexpr auto retryExtraHosts = 30.0;

/** Less time than this is not enough for another attempt. */
constexpr auto shortestAttempt = absl::Milliseconds(60);

/** Part of the cold tolerance that is used, for differing delays between hosts and backend servers. */
constexpr auto usedColdPart = 0.85;

constexpr auto maximumCrashRecords = std::size_t { 1000 };

constexpr auto connectTimeout = absl::Milliseconds(400);

/** Backend servers close idle connections after some seconds; closing first avoids sending on a connection that is being closed. */
constexpr auto idleLimit = absl::Seconds(6);
constexpr auto strictIdleLimit = absl::Seconds(3);

/** The process's memory is this many times what response bodies may hold while they are read; a growing body may take twice its size. */
constexpr auto responseMemoryParts = std::size_t { 4 };

/** Responses of the largest size that may be read at once. */
constexpr auto responsesInMemory = std::size_t { 4 };

constexpr auto firstServerError = 500;
constexpr auto misdirectedStatus = 421;

auto poolSettings(const CallerProtocol &protocol, std::size_t memory) -> BackendPoolSettings
{
    auto settings = BackendPoolSettings {};
    settings.connectTimeout_ = connectTimeout;
    settings.idleLimit_ = idleLimit;
    settings.strictIdleLimit_ = strictIdleLimit;
    settings.acceptsUndelimited_ = true;
    if (memory > 0) {
        settings.responseMemory_ = memory / responseMemoryParts;
        settings.maximumResponseBody_ = settings.responseMemory_ / responsesInMemory;
    }
    settings.headers_ = { protocol.remainingMillis_, protocol.organisation_, protocol.expectedInstance_, protocol.requestId_ };
    return settings;
}

auto retryBudgetOf(const FleetTerms &terms) -> RetryBudget
{
    const auto saved = std::max(1.0, terms.retryExtra_ * usedRetryPart / retryExtraHosts);
    return { saved, terms.retryShare_ * usedRetryPart, saved };
}

/** Time after which a refused caller should come back, in seconds. */
auto retryAfter(Refusal refusal) -> std::optional<std::string_view>
{
    switch (refusal) {
    case Refusal::Stopping:
        return "0";
    case Refusal::NoCapacity:
    case Refusal::BackendUnreachable:
    case Refusal::Overloaded:
        return "0.3";
    case Refusal::NoConfiguration:
        return "0.5";
    case Refusal::RateExceeded:
        return "1";
    default:
        return std::nullopt;
    }
}

auto parseLoad(const Answer &answer, const std::string &header) -> std::optional<LoadReport>
{
    const auto value = headerValue(answer.headers_, header);
    const auto parts = std::vector<std::string>(absl::StrSplit(value, ','));
    auto report = LoadReport {};
    constexpr auto partCount = 3;
    if (parts.size() != partCount || !absl::SimpleAtoi(parts[0], &report.running_) || !absl::SimpleAtoi(parts[1], &report.waiting_)
        || !absl::SimpleAtoi(parts[2], &report.slots_)) {
        return std::nullopt;
    }
    return report;
}

auto allows(const std::vector<std::string> &homes, const std::string &region) -> bool
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

}

/** Everything that becomes known about one request on its way. */
struct SteeringHandler::Run
{
    const ReceivedRequest &received_;
    std::string id_;
    FleetViewPointer view_;
    PolicyPointer policy_;
    const PolicyRoute *route_ = nullptr;
    const PolicyOrganisation *organisation_ = nullptr;
    /** The request without the caller's key. */
    RequestContent content_ = {};
    absl::Time deadline_ = absl::InfiniteFuture();
    std::string service_ = {};
    std::uint64_t object_ = 0;
    BackendChoice choice_ = {};
    absl::Time sentAt_ = absl::InfinitePast();
    std::vector<std::string> tried_ = {};
    /** Backend servers to which the request was sent. */
    int attempts_ = 0;
    int unreachable_ = 0;
    /** Some backend server may have run it. */
    bool mayHaveRun_ = false;
    /** The answer to pass on unless a further attempt has a better one. */
    std::optional<Answer> answer_ = std::nullopt;
    Refusal refusal_ = Refusal::NoCapacity;
    bool isAbandoned_ = false;
    std::string detail_ = {};
};

// Identifies a request that is sent again, whoever handles it.
auto SteeringHandler::fingerprintOf(const Run &run) -> std::string
{
    const auto &content = run.received_.content_;
    const auto organisation = run.organisation_ == nullptr ? std::string {} : run.organisation_->limits_.name_;
    // Lengths keep different requests from having one text.
    return sha256Hex(fmt::format("{} {} {} {}\n{}", organisation, content.method_, content.target_.size(), content.target_, content.body_));
}

SteeringHandler::SteeringHandler(SteeringServices services)
    : services_(std::move(services))
    , pool_(poolSettings(services_.protocol_, services_.memory_))
    , quotas_(services_.hostName_, monotonicNow())
    , crashes_(maximumCrashRecords)
{
}

auto SteeringHandler::handle(const ReceivedRequest &request) -> CallerResponse
{
    inFlight_ += 1;
    auto run = Run { request, headerValue(request.content_.headers_, services_.protocol_.requestId_), services_.state_->view(), nullptr };
    run.policy_ = run.view_->policy_;
    const auto refusal = admitRun(run);
    auto answer = refusal ? refuse(run, *refusal) : send(run);
    inFlight_ -= 1;
    return answer;
}

auto SteeringHandler::refuseOverloaded(const ReceivedRequest &request) -> CallerResponse
{
    auto run = Run { request, headerValue(request.content_.headers_, services_.protocol_.requestId_), services_.state_->view(), nullptr };
    run.policy_ = run.view_->policy_;
    return refuse(run, Refusal::Overloaded);
}

auto SteeringHandler::explain(const SteeringQuestion &question) -> SteeringExplanation
{
    const auto now = monotonicNow();
    const auto view = services_.state_->view();
    const auto storeHeardAt = services_.state_->storeHeardAt();
    auto explanation = SteeringExplanation {};
    explanation.revision_ = view->asOf_;
    if (storeHeardAt != absl::InfinitePast()) {
        explanation.storeAge_ = now - storeHeardAt;
    }
    if (!view->policy_) {
        explanation.refusal_ = describeRefusal(Refusal::NoConfiguration).name_;
        return explanation;
    }
    explanation.version_ = view->policy_->policy().version_;
    const auto received = ReceivedRequest { {}, now, -1, 0 };
    auto run = Run { received, {}, view, view->policy_ };
    run.route_ = run.policy_->findRoute(question.host_, pathOfTarget(question.path_));
    if (run.route_ == nullptr) {
        explanation.refusal_ = describeRefusal(Refusal::NoRoute).name_;
        return explanation;
    }
    for (const auto &organisation : run.policy_->policy().organisations_) {
        run.organisation_ = organisation.limits_.name_ == question.organisation_ ? &organisation : run.organisation_;
    }
    chooseTarget(run, question.object_);
    explanation.route_ = run.route_->name_;
    explanation.service_ = run.service_;
    const auto candidateBackends = candidates(run, *view);
    for (const auto *backend : rankBackends(run.object_, candidateBackends)) {
        const auto &server = backend->registration_.server_;
        explanation.backends_.push_back({ server.name_, server.zone_, backend->weight_, conditions_.stateAt(now, *backend) });
    }
    if (explanation.backends_.empty()) {
        explanation.refusal_ = describeRefusal(Refusal::NoCapacity).name_;
    }
    return explanation;
}

auto SteeringHandler::admitRun(Run &run) -> std::optional<Refusal>
{
    if (!run.policy_) {
        return Refusal::NoConfiguration;
    }
    if (services_.isStopping_()) {
        return Refusal::Stopping;
    }
    const auto &content = run.received_.content_;
    const auto path = pathOfTarget(content.target_);
    if (!routingPath(content.target_) || headerCount(content.headers_, "host") != 1) {
        return Refusal::MalformedRequest;
    }
    run.route_ = run.policy_->findRoute(headerValue(content.headers_, "host"), path);
    if (run.route_ == nullptr) {
        return Refusal::NoRoute;
    }
    const auto unidentified = identify(run);
    if (unidentified) {
        return unidentified;
    }
    auto limit = run.route_->timeout_;
    auto milliseconds = std::int64_t { 0 };
    if (absl::SimpleAtoi(headerValue(content.headers_, services_.protocol_.remainingMillis_), &milliseconds)) {
        limit = std::min(limit, absl::Milliseconds(std::max<std::int64_t>(0, milliseconds)));
    }
    run.deadline_ = run.received_.receivedAt_ + limit;
    chooseService(run);
    {
        const auto lock = absl::ReaderMutexLock(&mutex_);
        if (!crashes_.isEmpty() && crashes_.isSuspect(monotonicNow(), fingerprintOf(run))) {
            return Refusal::CrashSuspect;
        }
    }
    const auto now = monotonicNow();
    if (run.organisation_ != nullptr && !quotas_.admitRequest(now, run.organisation_->limits_, services_.terms_().quota_, services_.shareHolders_(now))) {
        return Refusal::RateExceeded;
    }
    return std::nullopt;
}

// Finds the organisation and removes the key from what a backend server receives, on open routes as well.
auto SteeringHandler::identify(Run &run) -> std::optional<Refusal>
{
    const auto &header = services_.protocol_.key_;
    run.content_ = run.received_.content_;
    const auto keys = headerCount(run.content_.headers_, header);
    const auto key = headerValue(run.content_.headers_, header);
    std::erase_if(run.content_.headers_, [&](const HeaderField &field) {
        return equalIgnoringCase(field.name_, header);
    });
    if (run.route_->isOpen_ || run.policy_->policy().organisations_.empty()) {
        return std::nullopt;
    }
    if (keys > 1) {
        return Refusal::KeyAmbiguous;
    }
    if (keys == 0) {
        return Refusal::KeyMissing;
    }
    run.organisation_ = run.policy_->findByKey(key);
    return run.organisation_ == nullptr ? std::optional(Refusal::KeyUnknown) : std::nullopt;
}

auto SteeringHandler::chooseService(Run &run) -> void
{
    chooseTarget(run, headerValue(run.content_.headers_, services_.protocol_.object_));
    retries_.countRequest(run.service_, retryBudgetOf(services_.terms_()));
}

auto SteeringHandler::chooseTarget(Run &run, const std::string &object) -> void
{
    // Requests that name no object are spread by their identifier.
    const auto &basis = object.empty() ? run.id_ : object;
    run.service_ = chooseDestination(run.route_->destinations_, objectHash("", run.route_->name_, basis)).service_;
    run.object_ = objectHash(run.service_, run.route_->name_, basis);
}

auto SteeringHandler::allowedRegions(const Run &run, const std::string &region) const -> bool
{
    return allows(run.route_->homeRegions_, region) && (run.organisation_ == nullptr || allows(run.organisation_->homeRegions_, region));
}

// An organisation's priority takes precedence over the route's.
auto SteeringHandler::priorityOf(const Run &run) -> int
{
    return run.organisation_ == nullptr ? run.route_->priority_ : run.organisation_->priority_.value_or(run.route_->priority_);
}

auto SteeringHandler::candidates(const Run &run, const FleetView &view) const -> std::vector<WeightedBackend>
{
    auto found = std::vector<WeightedBackend> {};
    const auto backends = view.backends_.find(run.service_);
    if (backends == view.backends_.end()) {
        return found;
    }
    const auto now = monotonicNow();
    for (const auto &backend : backends->second) {
        const auto &zone = backend.registration_.server_.zone_;
        if (!view.evacuatedZones_.contains(zone) && allowedRegions(run, backend.region_) && now < backend.usableUntil_) {
            found.push_back({ &backend, backend.weight_ });
        }
    }
    return found;
}

// The view is read anew for each attempt, since a backend server may have left or a zone may have been evacuated meanwhile.
auto SteeringHandler::chooseBackend(Run &run) -> bool
{
    run.view_ = services_.state_->view();
    const auto now = monotonicNow();
    const auto ranked = rankBackends(run.object_, candidates(run, *run.view_));
    const auto *service = run.policy_->findService(run.service_);
    const auto cold = [&](const FleetBackend &backend) {
        const auto terms = services_.terms_();
        const auto tolerated = service == nullptr ? 1.0 : service->coldRequestsPerSecond_ * terms.coldOverage_ + terms.coldSlack_;
        const auto self = static_cast<std::uint64_t>(static_cast<std::uint32_t>(hostHash(services_.hostName_)));
        return coldAllowance(tolerated * usedColdPart, services_.shareHolders_(now), self, backend.hash_);
    };
    const auto elapsed = now - run.received_.receivedAt_;
    run.choice_ = conditions_.choose(now, { ranked, run.tried_, longestUsefulWait(run.route_->latencyObjective_, priorityOf(run)) - elapsed }, cold);
    return run.choice_.backend_ != nullptr;
}

auto SteeringHandler::send(Run &run) -> CallerResponse
{
    while (true) {
        if (run.deadline_ - monotonicNow() < (run.attempts_ == 0 ? absl::ZeroDuration() : shortestAttempt)) {
            run.refusal_ = run.mayHaveRun_ ? Refusal::DeadlineExceeded : Refusal::NoCapacity;
            break;
        }
        if (!chooseBackend(run)) {
            break;
        }
        if (settle(run, exchangeOnce(run))) {
            break;
        }
    }
    return finish(run);
}

auto SteeringHandler::exchangeOnce(Run &run) -> BackendExchange
{
    const auto &server = run.choice_.backend_->registration_.server_;
    auto call = BackendCall {};
    call.address_ = server.address_;
    call.deadline_ = run.deadline_;
    call.repeatable_ = run.route_->repeatability_ == Repeatability::Repeatable;
    call.organisation_ = run.organisation_ == nullptr ? std::string {} : run.organisation_->limits_.name_;
    call.callerSocket_ = call.repeatable_ ? run.received_.socket_ : -1;
    run.tried_.push_back(server.name_);
    run.sentAt_ = monotonicNow();
    call.expectedInstance_ = server.name_;
    call.requestId_ = run.id_;
    return pool_.exchange(call, run.content_);
}

// Whether the request has ended with this exchange; otherwise another backend server is tried.
auto SteeringHandler::settle(Run &run, BackendExchange exchange) -> bool
{
    const auto now = monotonicNow();
    const auto &backend = *run.choice_.backend_;
    run.detail_ = exchange.detail_;
    if (exchange.status_ == ExchangeStatus::NotSent) {
        conditions_.end(now, backend, { BackendSign::Unreachable });
        run.unreachable_ += 1;
        run.refusal_ = run.mayHaveRun_ ? run.refusal_ : Refusal::BackendUnreachable;
        return run.unreachable_ >= maximumUnreachable;
    }
    run.attempts_ += 1;
    if (exchange.status_ == ExchangeStatus::Whole) {
        return settleWhole(run, std::move(exchange.answer_));
    }
    run.mayHaveRun_ = true;
    if (exchange.status_ == ExchangeStatus::Abandoned) {
        conditions_.abandon(now, backend, now - run.sentAt_);
        run.isAbandoned_ = true;
        return true;
    }
    const auto isSilent = exchange.status_ == ExchangeStatus::TimedOut || exchange.status_ == ExchangeStatus::Silent;
    conditions_.end(now, backend, { isSilent ? BackendSign::Silent : BackendSign::Broken, std::nullopt, now - run.sentAt_ });
    if (isSilent) {
        // What made this connection silent may have done the same to the idle ones.
        pool_.closeIdle(backend.registration_.server_.address_);
    } else {
        noteCrash(run);
    }
    run.refusal_ = isSilent ? Refusal::DeadlineExceeded : Refusal::ResponseIncomplete;
    return run.route_->repeatability_ != Repeatability::Repeatable || !maySendAgain(run);
}

auto SteeringHandler::settleWhole(Run &run, Answer answer) -> bool
{
    const auto now = monotonicNow();
    const auto &backend = *run.choice_.backend_;
    const auto load = parseLoad(answer, services_.protocol_.load_);
    const auto isNotRun = answer.status_ == misdirectedStatus || headerCount(answer.headers_, services_.protocol_.notRun_) > 0;
    if (isNotRun) {
        conditions_.end(now, backend, { answer.status_ == misdirectedStatus ? BackendSign::Unreachable : BackendSign::Full, load });
        run.detail_ = fmt::format("not run by the backend server, status {}", answer.status_);
        run.refusal_ = run.mayHaveRun_ ? run.refusal_ : Refusal::NoCapacity;
        return !maySendAgain(run);
    }
    run.mayHaveRun_ = true;
    const auto isFailure = answer.status_ >= firstServerError;
    conditions_.end(now, backend, { isFailure ? BackendSign::Failed : BackendSign::Answered, load, now - run.sentAt_ });
    run.answer_ = std::move(answer);
    return !isFailure || run.route_->repeatability_ != Repeatability::Repeatable || !maySendAgain(run);
}

auto SteeringHandler::maySendAgain(Run &run) -> bool
{
    return run.attempts_ < run.route_->maximumAttempts_ && run.deadline_ - monotonicNow() >= shortestAttempt && retries_.takeRetry(run.service_);
}

// A backend server that ends a connection without an answer has crashed if it takes no new connection either.
auto SteeringHandler::noteCrash(Run &run) -> void
{
    const auto &server = run.choice_.backend_->registration_.server_;
    if (pool_.isAccepting(server.address_)) {
        return;
    }
    const auto now = monotonicNow();
    addCrash(now, { fingerprintOf(run), { server.name_ }, now });
}

auto SteeringHandler::refuse(Run &run, Refusal refusal) -> CallerResponse
{
    const auto &description = describeRefusal(refusal);
    auto result = CallerResponse {};
    auto &answer = result.answer_;
    answer.status_ = description.status_;
    answer.body_ = refusalBody(refusal, description.outcome_, run.id_);
    answer.headers_.push_back({ "Content-Type", "application/json" });
    answer.headers_.push_back({ std::string(outcomeHeader), std::string(outcomeName(description.outcome_)) });
    answer.headers_.push_back({ std::string(reasonHeader), std::string(description.name_) });
    if (!run.id_.empty()) {
        answer.headers_.push_back({ services_.protocol_.requestId_, run.id_ });
    }
    if (const auto seconds = retryAfter(refusal)) {
        answer.headers_.push_back({ "Retry-After", std::string(*seconds) });
    }
    result.closes_ = services_.isStopping_();
    log(run, answer.status_, description.name_);
    return result;
}

auto SteeringHandler::finish(Run &run) -> CallerResponse
{
    if (run.isAbandoned_) {
        log(run, 0, "caller_left");
        auto result = CallerResponse {};
        result.isAbandoned_ = true;
        return result;
    }
    if (!run.answer_) {
        return refuse(run, run.refusal_);
    }
    log(run, run.answer_->status_, "");
    auto result = CallerResponse {};
    result.answer_ = std::move(*run.answer_);
    result.closes_ = services_.isStopping_();
    return result;
}

auto SteeringHandler::log(const Run &run, int status, std::string_view reason) -> void
{
    const auto now = monotonicNow();
    const auto duration = now - run.received_.receivedAt_;
    const auto *backend = run.choice_.backend_;
    const auto storeHeardAt = services_.state_->storeHeardAt();
    auto fields = std::vector<LogField> {
        { "request", run.id_ },
        { "status", fmt::format("{}", status) },
        { "ms", fmt::format("{:.1f}", absl::ToDoubleMilliseconds(duration)) },
        { "route", run.route_ == nullptr ? "" : run.route_->name_ },
        { "organisation", run.organisation_ == nullptr ? "" : run.organisation_->limits_.name_ },
        { "service", run.service_ },
        { "backend", backend == nullptr ? "" : backend->registration_.server_.name_ },
        { "tried", absl::StrJoin(run.tried_, ",") },
        { "choice", backend == nullptr ? "" : std::string(choiceReasonName(run.choice_.reason_)) },
        { "rank", fmt::format("{}", run.choice_.rank_) },
        { "expected_wait_ms", fmt::format("{:.0f}", absl::ToDoubleMilliseconds(run.choice_.wait_)) },
        { "attempts", fmt::format("{}", run.attempts_) },
        { "version", run.policy_ ? fmt::format("{}", run.policy_->policy().version_) : "" },
        { "revision", fmt::format("{}", run.view_->asOf_) },
        { "store_age_ms", storeHeardAt == absl::InfinitePast() ? "" : fmt::format("{:.0f}", absl::ToDoubleMilliseconds(now - storeHeardAt)) },
    };
    if (!reason.empty()) {
        fields.push_back({ "reason", std::string(reason) });
    }
    if (!run.detail_.empty()) {
        fields.push_back({ "detail", run.detail_ });
    }
    logLine(wallNow(), reason.empty() ? LogLevel::Info : LogLevel::Warning, "request", fields);
    if (services_.observe_) {
        services_.observe_({ run.organisation_ == nullptr ? std::string {} : run.organisation_->limits_.name_,
                             std::string(reason),
                             duration,
                             run.route_ == nullptr ? std::string {} : run.route_->name_,
                             status,
                             run.attempts_ });
    }
}

auto SteeringHandler::crashes(absl::Time now) const -> std::vector<CrashRecord>
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    return crashes_.records(now);
}

auto SteeringHandler::addCrash(absl::Time now, const CrashRecord &record) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    crashes_.record(now, record);
}

auto SteeringHandler::inFlight() const -> int
{
    return inFlight_;
}

}
