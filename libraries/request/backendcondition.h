/** What one host has seen of a backend server, and whether it sends it more. */
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace lycheecleat
{

/** A backend server's own report of its load. */
struct LoadReport
{
    int running_ = 0;
    int waiting_ = 0;
    int slots_ = 0;

    auto operator==(const LoadReport &other) const -> bool = default;
};

/** How an exchange with a backend server ended, as far as its condition is concerned. */
enum class ExchangeOutcome {
    /** It answered, whatever the answer says about the request. */
    Responded,
    /** It answered that it failed to handle the request. */
    Failed,
    /** It rejected the request without running it, being full. */
    Overloaded,
    /** It could not be connected to. */
    Unreachable,
    /** The connection ended without a whole answer. */
    Incomplete,
    /** No answer came in time. */
    Silent,
};

/** Condition of one backend server, from this host's own exchanges. Times are monotonic. */
struct BackendCondition
{
    /** Start of the process that the condition is about. */
    std::int64_t incarnation_ = 0;
    /** Requests that this host has sent and that have not ended. */
    int inFlight_ = 0;
    /** When it last answered, or when requests were first in flight after a time without any. */
    absl::Time lastProgressAt_ = absl::InfinitePast();
    /** It was ejected and has not answered since, so that one request at a time tests it. */
    bool needsProbe_ = false;
    /** Moving average of the time for which the backend server works on a request, without its wait. */
    absl::Duration serviceTime_;
    LoadReport load_;
    absl::Time loadAt_ = absl::InfinitePast();
    /** Moving average of failed exchanges, 0 to 1. */
    double failureRate_ = 0;
    int consecutiveFailures_ = 0;
    absl::Time ejectedUntil_ = absl::InfinitePast();
    absl::Duration ejection_;
    absl::Time fullUntil_ = absl::InfinitePast();
    /** Times of the requests sent while it was cold. */
    std::deque<absl::Time> coldSends_;
};

/** What makes a backend server less suitable for a request. */
struct BackendAvailability
{
    bool isEjected_ = false;
    bool isFull_ = false;
    /** How long a request would wait there before it runs. */
    absl::Duration wait_ = absl::ZeroDuration();
    int inFlight_ = 0;
    /** Age of its last load report; absent when there is none. */
    std::optional<absl::Duration> loadAge_ = std::nullopt;
};

/** How an exchange ended. */
struct ExchangeResult
{
    ExchangeOutcome outcome_ = ExchangeOutcome::Responded;
    /** The load that the backend server reported with its answer. */
    std::optional<LoadReport> load_ = std::nullopt;
    /** From sending the request to the end of the exchange. */
    absl::Duration duration_ = absl::ZeroDuration();
};

/** A request is sent. */
auto recordSend(BackendCondition &condition, absl::Time now) -> void;

/** An exchange ends. */
auto recordExchange(BackendCondition &condition, absl::Time now, const ExchangeResult &report) -> void;

/** The caller of a request left; a long wait without any answer of the backend server counts as silence. */
auto recordAbandoned(BackendCondition &condition, absl::Time now, absl::Duration duration) -> void;

/** How long a request waits without any answer of the backend server until that counts as a stall. */
[[nodiscard]] auto stallTimeout(const BackendCondition &condition, absl::Time now) -> absl::Duration;

/**
 * Whether the backend server is left out: ejected because of its failures, tested after that by a request that has not ended, or stalled, which is
 * noticed before its requests time out.
 */
[[nodiscard]] auto isEjected(const BackendCondition &condition, absl::Time now) -> bool;

/** Whether a request would have to wait at the backend server. */
[[nodiscard]] auto isFull(const BackendCondition &condition, absl::Time now) -> bool;

/** The condition at a time. */
[[nodiscard]] auto availabilityOf(const BackendCondition &condition, absl::Time now) -> BackendAvailability;

/** How long a request would wait at the backend server before it runs, from its last report, which counts for less as it grows older. */
[[nodiscard]] auto expectedWait(const BackendCondition &condition, absl::Time now) -> absl::Duration;

/**
 * Longest expected wait with which a request is still sent: a part of its latency objective that is larger for more urgent requests, so that these
 * find room where others are refused. Requests that would be late anyway only make further requests late.
 */
[[nodiscard]] auto longestUsefulWait(absl::Duration latencyObjective, int priority) -> absl::Duration;

/** How many requests a second one host may send to a cold backend server, and whether it is among the hosts that may. */
struct ColdRateLimit
{
    bool isSender_ = false;
    int requestsPerSecond_ = 0;

    auto operator==(const ColdRateLimit &other) const -> bool = default;
};

/**
 * Splits what a cold backend server tolerates over a few hosts, chosen alike everywhere. Only a subset sends at all, since a part of less than one
 * request a second for each host could not be kept.
 */
[[nodiscard]] auto coldRateLimit(double requestsPerSecond, const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t backend) -> ColdRateLimit;

/** Takes one request out of a cold backend server's allowance; false when it is used up. */
[[nodiscard]] auto admitColdRequest(BackendCondition &condition, absl::Time now, const ColdRateLimit &allowance) -> bool;

/** Whether the allowance has room, without using it. */
[[nodiscard]] auto hasColdCapacity(const BackendCondition &condition, absl::Time now, const ColdRateLimit &allowance) -> bool;

}
