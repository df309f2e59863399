/**
 * The limit that a backend server in need names on the requests from all hosts together, and the permits by which the hosts share it. One host, the issuer,
 * hands out the permits for a server; a host sends a request to a limited server only with a permit.
 */
#pragma once

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>

namespace lycheecleat
{

/** What a backend server last said about its limit, as known to one host. */
struct LimitStatement
{
    /** Requests a second from all hosts together; none when the server names no limit. */
    std::optional<double> requestsPerSecond_ = std::nullopt;
    /** Monotonic time for which the statement is known to hold; infinite past when nothing is known. */
    absl::Time at_ = absl::InfinitePast();

    auto operator==(const LimitStatement &other) const -> bool = default;
};

/**
 * The statement after a response that named a limit, or none. Responses may overtake each other: a stricter limit holds at once, a looser one or none only if
 * the request was sent after the known statement was received.
 */
[[nodiscard]] auto statementAfterResponse(const LimitStatement &known, std::optional<double> named, absl::Time sentAt, absl::Time receivedAt) -> LimitStatement;

/** A statement about one incarnation of a backend server. */
struct KnownLimit
{
    std::string backend_;
    std::int64_t incarnation_ = 0;
    LimitStatement statement_;

    auto operator==(const KnownLimit &other) const -> bool = default;
};

/** The later one of two statements. */
[[nodiscard]] auto laterStatement(const LimitStatement &known, const LimitStatement &heard) -> LimitStatement;

/** Permits that an issuer may hand out for one server (token bucket). */
struct PermitBucket
{
    double permits_ = 0;
    absl::Time refilledAt_ = absl::InfinitePast();

    auto operator==(const PermitBucket &other) const -> bool = default;
};

/** An issuer's answer to one request for a permit. */
struct PermitDecision
{
    bool isGranted_ = false;
    /** Time until a further permit may be available. */
    absl::Duration retryAfter_ = absl::ZeroDuration();

    auto operator==(const PermitDecision &other) const -> bool = default;
};

/** An issuer's decision, and what it knows of the limit. */
struct PermitAnswer
{
    PermitDecision decision_;
    LimitStatement statement_;

    auto operator==(const PermitAnswer &other) const -> bool = default;
};

/** Takes a permit under the limit if there is one. A bucket that has not been used yet is empty, since another issuer may have handed out permits just before.
 */
[[nodiscard]] auto takePermit(PermitBucket &bucket, absl::Time now, double requestsPerSecond) -> PermitDecision;

/** One host's permits for a limited server. */
struct HeldPermits
{
    int count_ = 0;
    /** Unused permits end then, so that many of them are never used at once. */
    absl::Time until_ = absl::InfinitePast();
    /** Requests for a permit that the issuer has not answered yet. */
    int pending_ = 0;
    /** No permit is asked for before this time. */
    absl::Time askAgainAt_ = absl::InfinitePast();

    auto operator==(const HeldPermits &other) const -> bool = default;
};

/** Whether a permit is held that has not ended. */
[[nodiscard]] auto hasPermit(const HeldPermits &held, absl::Time now) -> bool;

/** Whether the host may ask for a permit now. */
[[nodiscard]] auto mayAsk(const HeldPermits &held, absl::Time now) -> bool;

/** Records that the host asks for a permit. */
auto recordAsk(HeldPermits &held) -> void;

/** Records the answer of the issuer to a request for a permit; none when it did not answer in time. */
auto recordAnswer(HeldPermits &held, absl::Time now, const std::optional<PermitDecision> &answer) -> void;

/** Uses a permit that is held. */
auto usePermit(HeldPermits &held) -> void;

}
