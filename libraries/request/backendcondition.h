/** Passive health and load tracking of one backend server by one host: outlier ejection, stall detection, expected wait and cold-start rate limit. */
#pragma once

#include "request/backendlimit.h"
#include "request/backendsignals.h"
#include "request/loadreport.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace lycheecleat
{

/** Outcome of an exchange with a backend server, as used for outlier ejection. */
enum class ExchangeOutcome {
    /** A complete response that doesn't indicate a fault of the server, whatever its status code. */
    Responded,
    /** A complete response by which the server reports that it failed to handle the request. */
    Failed,
    /** The server rejected the request without running it because it has no capacity. */
    Overloaded,
    /** No connection could be opened, or another server responded at the address. */
    Unreachable,
    /** The connection closed before the response was complete. */
    Incomplete,
    /** The request timed out without a response. */
    Silent,
};

/** State of one incarnation of a backend server, derived from this host's own exchanges only. Not thread-safe. Times are monotonic. */
struct BackendCondition
{
    /** Incarnation of the backend server's process that this state describes. */
    std::int64_t incarnation_ = 0;
    /** When the server first announced in a response that it is leaving. Holds as long as the incarnation. */
    std::optional<absl::Time> leavingSince_ = std::nullopt;
    /** When the server last asked for a pause, and until when it gets no request. Cleared by endPause. */
    std::optional<absl::Time> pausedSince_ = std::nullopt;
    absl::Time pausedUntil_ = absl::InfinitePast();
    /** Requests that may be in flight after a pause; 0 when there is no such limit. Grows by one with each response (slow start). */
    int returnWindow_ = 0;
    /** What the server last said about its limit. Holds as long as the incarnation. */
    LimitStatement limit_;
    /** This host's permits while the server has a limit. */
    HeldPermits permits_;
    /** Requests of this host that have been sent and have not ended. */
    int inFlight_ = 0;
    /** Time of the last response, or of the last request sent while no other was in flight, whichever is later. The stall timeout starts then. */
    absl::Time lastProgressAt_ = absl::InfinitePast();
    /**
     * Set by an ejection until an exchange ends as Responded or Overloaded. After the end of the ejection, one request at a time then probes the server
     * (half-open circuit breaker).
     */
    bool needsProbe_ = false;
    /** Moving average of the time that the backend server spends on a request, without queueing. */
    absl::Duration serviceTime_;
    LoadReport load_;
    absl::Time loadAt_ = absl::InfinitePast();
    /** Moving average of the fraction of failed exchanges, 0 to 1. */
    double failureRate_ = 0;
    int consecutiveFailures_ = 0;
    absl::Time ejectedUntil_ = absl::InfinitePast();
    /** Length of the latest ejection, which doubles with each further one; zero after recovery. */
    absl::Duration ejection_;
    absl::Time fullUntil_ = absl::InfinitePast();
    /** Send times of recent requests while the server was cold (sliding window log). */
    std::deque<absl::Time> coldSends_;
};

/** Result of one exchange. */
struct ExchangeResult
{
    ExchangeOutcome outcome_ = ExchangeOutcome::Responded;
    /** Load that the backend server reported with its response. */
    std::optional<LoadReport> load_ = std::nullopt;
    /** From sending the request to the end of the exchange. */
    absl::Duration duration_ = absl::ZeroDuration();
};

/** Records that a request is sent. */
auto recordSend(BackendCondition &condition, absl::Time now) -> void;

/** Records the end of an exchange whose request was recorded by recordSend. */
auto recordExchange(BackendCondition &condition, absl::Time now, const ExchangeResult &result) -> void;

/**
 * Records that the caller of a request disconnected after the given time. Counts as a timeout (Silent) if the request has waited longer than the
 * stall timeout and the backend server has not responded to any request in that time; otherwise it has no effect on ejection.
 */
auto recordAbandoned(BackendCondition &condition, absl::Time now, absl::Duration duration) -> void;

/** Records that a request that was recorded by recordSend is not sent after all. */
auto recordCancelled(BackendCondition &condition) -> void;

/** A change of a backend server's limit, in requests a second; none stands for no limit. */
struct LimitChange
{
    std::optional<double> before_;
    std::optional<double> after_;

    auto operator==(const LimitChange &other) const -> bool = default;
};

/** What signals changed about a backend server. */
struct MarkChange
{
    bool beganLeaving_ = false;
    /** Set when a pause began, or was extended by more than the delay between responses of the same burst. */
    std::optional<absl::Time> pausedUntil_ = std::nullopt;
    /** Set when a limit began, ended or changed by a tenth or more. */
    std::optional<LimitChange> limit_ = std::nullopt;

    auto operator==(const MarkChange &other) const -> bool = default;
};

/**
 * Records the signals of a response to a request that was sent at a time. A pause ends returnDelay later than the server asked, so that the hosts return one
 * after another. The latest end of several pauses holds.
 */
auto recordSignals(BackendCondition &condition, absl::Time now, const BackendSignals &signals, absl::Time sentAt, absl::Duration returnDelay) -> MarkChange;

/** Records a statement about the server's limit. */
auto recordLimit(BackendCondition &condition, const LimitStatement &statement) -> std::optional<LimitChange>;

/** Clears a pause that has ended; false when there is none. The limit on requests in flight after it stays. */
auto endPause(BackendCondition &condition, absl::Time now) -> bool;

/** Whether a request that was sent at this time reached the backend server although it was leaving or paused. */
[[nodiscard]] auto wasSentDespiteMark(const BackendCondition &condition, absl::Time sentAt) -> bool;

/** Time without any response, while requests are in flight, after which the backend server counts as stalled. */
[[nodiscard]] auto stallTimeout(const BackendCondition &condition, absl::Time now) -> absl::Duration;

/**
 * Whether the backend server should get no further request now: it is ejected because of failures, or a probe after its ejection is still in flight,
 * or it is stalled. A stall is detected before the requests in flight time out.
 */
[[nodiscard]] auto isEjected(const BackendCondition &condition, absl::Time now) -> bool;

/** Whether the backend server recently rejected a request for lack of capacity, or a new request would queue there for long. */
[[nodiscard]] auto isFull(const BackendCondition &condition, absl::Time now) -> bool;

/** Expected queueing time of a new request at the backend server, from its last load report, whose weight decays linearly with its age. */
[[nodiscard]] auto expectedWait(const BackendCondition &condition, absl::Time now) -> absl::Duration;

/**
 * Longest expected wait with which a request is still sent: a fraction of its latency objective, larger for more urgent requests (0 is the most urgent
 * priority), so that these are still served where others are refused. Queueing requests that would miss their objective only delays further requests.
 */
[[nodiscard]] auto longestUsefulWait(absl::Duration latencyObjective, int priority) -> absl::Duration;

/**
 * Delay of one host's return to a backend server after a pause. The hosts return at even distances over a part of the pause, in an order that differs
 * between backend servers.
 */
[[nodiscard]] auto returnDelay(absl::Duration pause, const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t backend) -> absl::Duration;

/** One host's rate limit for a cold backend server, and whether the host is one of those that send to it at all. */
struct ColdRateLimit
{
    bool isSender_ = false;
    int requestsPerSecond_ = 0;

    auto operator==(const ColdRateLimit &other) const -> bool = default;
};

/**
 * Splits the rate that a cold backend server tolerates over a subset of the hosts. All hosts with the same host list choose the same subset. Only a
 * subset sends at all, since a rate of less than one request a second for each host could not be enforced.
 */
[[nodiscard]] auto coldRateLimit(double requestsPerSecond, const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t backend) -> ColdRateLimit;

/** Admits one request to a cold backend server and counts it against the rate limit; false when the limit is reached. */
[[nodiscard]] auto admitColdRequest(BackendCondition &condition, absl::Time now, const ColdRateLimit &limit) -> bool;

/** Whether the rate limit would admit a request, without counting one. */
[[nodiscard]] auto hasColdCapacity(const BackendCondition &condition, absl::Time now, const ColdRateLimit &limit) -> bool;

}
