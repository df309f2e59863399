#include "request/backendcondition.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto firstEjection = absl::Milliseconds(500);
constexpr auto maximumEjection = absl::Seconds(3);

/** Weight of the newest exchange in the moving average of failures. */
constexpr auto failureWeight = 0.2;

/** Average failure rate above which a backend server is ejected although it responds to some requests. */
constexpr auto ejectionFailureRate = 0.45;

/** Weight of the newest exchange in the moving average of service times. */
constexpr auto serviceTimeWeight = 0.2;

/** A reported queue is assumed to drain linearly within this time if no further report arrives. */
constexpr auto queueReportLifetime = absl::Milliseconds(1500);

/** Fractions of the latency objective that requests of priority 0, 1 and higher numbers may wait. */
constexpr auto usefulWaitFractions = std::array { 0.9, 0.6, 0.4 };

/** Consecutive failed exchanges that eject a server. A single one also happens on a healthy server. */
constexpr auto ejectionConsecutiveFailures = 2;

/** A server counts as full only above this expected wait, since another server would first have to load the object. */
constexpr auto minimumFullWait = absl::Milliseconds(700);

/** How long a backend server counts as full after it rejected a request for lack of capacity. */
constexpr auto fullDuration = absl::Milliseconds(250);

/** Window over which requests to a cold backend server are counted: one second and a margin for varying network delay. */
constexpr auto coldWindow = absl::Milliseconds(1100);

/** Minimum requests per second of each host that sends to a cold backend server, if the rate that the server tolerates is at least as large. */
constexpr auto coldRequestsPerHost = 2.0;

/** Stall timeout beyond the expected wait, in average service times. */
constexpr auto stallServiceTimes = 4.0;

/** Lower bound of the stall timeout, for servers whose service time is short or not known yet. */
constexpr auto minimumStallTimeout = absl::Milliseconds(1500);

/** The hosts return after a pause over this fraction of it, and over this time at most. */
constexpr auto returnSpreadFraction = 0.5;
constexpr auto maximumReturnSpread = absl::Seconds(2);

/** The limit on requests in flight after a pause ends when it has grown to this. */
constexpr auto fullReturnWindow = 16;

/** An extension of a pause by less than this is not a change, since all requests in flight may be rejected in one burst. */
constexpr auto minimumExtension = absl::Milliseconds(500);

/** Smallest relative change of a limit that is reported. */
constexpr auto reportedLimitChange = 0.1;

auto eject(BackendCondition &condition, absl::Time now) -> void
{
    condition.needsProbe_ = true;
    condition.ejection_ = std::clamp(condition.ejection_ * 2, firstEjection, maximumEjection);
    condition.ejectedUntil_ = now + condition.ejection_;
}

auto recordFailure(BackendCondition &condition, absl::Time now, bool ejectsAtOnce) -> void
{
    condition.failureRate_ += failureWeight * (1 - condition.failureRate_);
    condition.consecutiveFailures_ += 1;
    if (ejectsAtOnce || condition.consecutiveFailures_ >= ejectionConsecutiveFailures || condition.failureRate_ > ejectionFailureRate) {
        eject(condition, now);
    }
}

// Estimates the service time by removing the queueing time, which follows from the reported queue length.
auto recordDuration(BackendCondition &condition, absl::Duration duration) -> void
{
    const auto waitingPerSlot = static_cast<double>(condition.load_.waiting_) / std::max(1, condition.load_.slots_);
    const auto serviceTime = duration / (1 + waitingPerSlot);
    condition.serviceTime_ += (serviceTime - condition.serviceTime_) * (condition.serviceTime_ == absl::ZeroDuration() ? 1.0 : serviceTimeWeight);
}

// Whether the backend server has responded to any request since the start of a request that has been in flight for the given time. Sending a request
// while no other is in flight also sets lastProgressAt_, but that can't have happened after the start of this request.
auto hasRespondedWithin(const BackendCondition &condition, absl::Time now, absl::Duration time) -> bool
{
    return now - condition.lastProgressAt_ < time;
}

auto growReturnWindow(BackendCondition &condition, absl::Time now) -> void
{
    if (condition.returnWindow_ == 0 || now < condition.pausedUntil_) {
        return;
    }
    condition.returnWindow_ = condition.returnWindow_ + 1 < fullReturnWindow ? condition.returnWindow_ + 1 : 0;
}

// Hosts that precede this one in an order that is the same on every host and differs between backend servers.
auto precedingHostCount(const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t backend) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](std::uint64_t host) {
        return host != self && rendezvousRank(host, backend) < rendezvousRank(self, backend);
    }));
}

auto otherHostCount(const std::vector<std::uint64_t> &hosts, std::uint64_t self) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](std::uint64_t host) {
        return host != self;
    }));
}

auto recentColdSends(const BackendCondition &condition, absl::Time now) -> int
{
    return static_cast<int>(std::count_if(condition.coldSends_.begin(), condition.coldSends_.end(), [&](absl::Time sentAt) {
        return now - sentAt < coldWindow;
    }));
}

}

auto recordSend(BackendCondition &condition, absl::Time now) -> void
{
    if (condition.inFlight_ == 0) {
        condition.lastProgressAt_ = now;
    }
    condition.inFlight_ += 1;
}

auto recordAbandoned(BackendCondition &condition, absl::Time now, absl::Duration duration) -> void
{
    if (duration > stallTimeout(condition, now) && !hasRespondedWithin(condition, now, duration)) {
        recordExchange(condition, now, { ExchangeOutcome::Silent, std::nullopt, duration });
        return;
    }
    condition.inFlight_ = std::max(0, condition.inFlight_ - 1);
}

auto recordCancelled(BackendCondition &condition) -> void
{
    condition.inFlight_ = std::max(0, condition.inFlight_ - 1);
}

auto recordLimit(BackendCondition &condition, const LimitStatement &statement) -> std::optional<LimitChange>
{
    const auto before = std::exchange(condition.limit_, statement).requestsPerSecond_;
    const auto after = statement.requestsPerSecond_;
    const auto isSmall = before && after && std::abs(*after - *before) < reportedLimitChange * *before;
    return before == after || isSmall ? std::nullopt : std::optional(LimitChange { before, after });
}

auto recordSignals(BackendCondition &condition, absl::Time now, const BackendSignals &signals, absl::Time sentAt, absl::Duration returnDelay) -> MarkChange
{
    auto change = MarkChange {};
    if (signals.isLimitKnown_) {
        change.limit_ = recordLimit(condition, statementAfterResponse(condition.limit_, signals.requestsPerSecond_, sentAt, now));
    }
    if (signals.isLeaving_ && !condition.leavingSince_) {
        condition.leavingSince_ = now;
        change.beganLeaving_ = true;
    }
    if (!signals.pause_) {
        return change;
    }
    const auto until = now + *signals.pause_ + returnDelay;
    if (until > std::max(now, condition.pausedUntil_) + minimumExtension) {
        change.pausedUntil_ = until;
    }
    condition.pausedSince_ = condition.pausedSince_ && now < condition.pausedUntil_ ? condition.pausedSince_ : now;
    condition.pausedUntil_ = std::max(condition.pausedUntil_, until);
    condition.returnWindow_ = 1;
    return change;
}

auto endPause(BackendCondition &condition, absl::Time now) -> bool
{
    if (!condition.pausedSince_ || now < condition.pausedUntil_) {
        return false;
    }
    condition.pausedSince_.reset();
    return true;
}

auto wasSentDespiteMark(const BackendCondition &condition, absl::Time sentAt) -> bool
{
    const auto wasPaused = condition.pausedSince_ && sentAt > *condition.pausedSince_ && sentAt < condition.pausedUntil_;
    const auto wasLeaving = condition.leavingSince_ && sentAt > *condition.leavingSince_;
    return wasPaused || wasLeaving;
}

auto recordExchange(BackendCondition &condition, absl::Time now, const ExchangeResult &result) -> void
{
    condition.inFlight_ = std::max(0, condition.inFlight_ - 1);
    if (result.load_) {
        condition.load_ = *result.load_;
        condition.loadAt_ = now;
    }
    switch (result.outcome_) {
    case ExchangeOutcome::Responded:
        condition.lastProgressAt_ = now;
        condition.needsProbe_ = false;
        growReturnWindow(condition, now);
        recordDuration(condition, result.duration_);
        condition.failureRate_ -= failureWeight * condition.failureRate_;
        condition.consecutiveFailures_ = 0;
        if (condition.failureRate_ < ejectionFailureRate) {
            condition.ejection_ = absl::ZeroDuration();
        }
        return;
    case ExchangeOutcome::Overloaded:
        condition.lastProgressAt_ = now;
        condition.needsProbe_ = false;
        condition.fullUntil_ = now + fullDuration;
        condition.consecutiveFailures_ = 0;
        return;
    case ExchangeOutcome::Unreachable:
        recordFailure(condition, now, true);
        return;
    case ExchangeOutcome::Failed:
        condition.lastProgressAt_ = now;
        recordFailure(condition, now, false);
        return;
    case ExchangeOutcome::Incomplete:
        recordFailure(condition, now, false);
        return;
    case ExchangeOutcome::Silent:
        // A healthy server may lose a single response, but responds to other requests in the meantime; ejecting at once requires that it did not.
        recordFailure(condition, now, result.duration_ > stallTimeout(condition, now) && !hasRespondedWithin(condition, now, result.duration_));
        return;
    }
}

auto isEjected(const BackendCondition &condition, absl::Time now) -> bool
{
    const auto isProbeInFlight = condition.needsProbe_ && condition.inFlight_ > 0;
    const auto isStalled = condition.inFlight_ > 0 && now - condition.lastProgressAt_ > stallTimeout(condition, now);
    return now < condition.ejectedUntil_ || isProbeInFlight || isStalled;
}

auto stallTimeout(const BackendCondition &condition, absl::Time now) -> absl::Duration
{
    return std::max(minimumStallTimeout, condition.serviceTime_ * stallServiceTimes + expectedWait(condition, now));
}

auto isFull(const BackendCondition &condition, absl::Time now) -> bool
{
    if (now < condition.fullUntil_) {
        return true;
    }
    return expectedWait(condition, now) > minimumFullWait;
}

auto expectedWait(const BackendCondition &condition, absl::Time now) -> absl::Duration
{
    const auto age = now - condition.loadAt_;
    if (age >= queueReportLifetime || condition.load_.slots_ <= 0) {
        return absl::ZeroDuration();
    }
    const auto waiting = condition.load_.waiting_ * (1 - absl::FDivDuration(age, queueReportLifetime));
    return condition.serviceTime_ * (waiting / condition.load_.slots_);
}

auto longestUsefulWait(absl::Duration latencyObjective, int priority) -> absl::Duration
{
    const auto lastIndex = static_cast<int>(usefulWaitFractions.size()) - 1;
    return latencyObjective * usefulWaitFractions[static_cast<std::size_t>(std::clamp(priority, 0, lastIndex))];
}

auto returnDelay(absl::Duration pause, const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t backend) -> absl::Duration
{
    const auto spread = std::min(maximumReturnSpread, pause * returnSpreadFraction);
    const auto hostCount = otherHostCount(hosts, self) + 1;
    return spread * (static_cast<double>(precedingHostCount(hosts, self, backend)) / static_cast<double>(hostCount));
}

auto coldRateLimit(double requestsPerSecond, const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t backend) -> ColdRateLimit
{
    const auto maximumSenders = static_cast<std::size_t>(std::max(1.0, std::floor(requestsPerSecond / coldRequestsPerHost)));
    const auto senderCount = std::min(maximumSenders, otherHostCount(hosts, self) + 1);
    return { precedingHostCount(hosts, self, backend) < senderCount, static_cast<int>(std::floor(requestsPerSecond / static_cast<double>(senderCount))) };
}

auto hasColdCapacity(const BackendCondition &condition, absl::Time now, const ColdRateLimit &limit) -> bool
{
    return limit.isSender_ && recentColdSends(condition, now) < limit.requestsPerSecond_;
}

auto admitColdRequest(BackendCondition &condition, absl::Time now, const ColdRateLimit &limit) -> bool
{
    while (!condition.coldSends_.empty() && now - condition.coldSends_.front() >= coldWindow) {
        condition.coldSends_.pop_front();
    }
    if (!hasColdCapacity(condition, now, limit)) {
        return false;
    }
    condition.coldSends_.push_back(now);
    return true;
}

}
