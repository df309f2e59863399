/** The decision whether a backend server may get a request now, from everything that may keep requests away from it. */
#pragma once

#include "request/backendcondition.h"

#include <absl/time/time.h>

#include <optional>
#include <string_view>
#include <vector>

namespace lycheecleat
{

/** Why a backend server gets no request. Where several reasons apply, the first in this order is reported. */
enum class BackendRestriction {
    None,
    /** Its registration is missing. */
    Unregistered,
    /** It announced in a response that it is leaving. */
    Leaving,
    /** It asked for no requests for a time. */
    Paused,
    /** It named a limit for all hosts together, and this host has no permit to send it a request. */
    LimitReached,
    /** It returns from a pause, and as many requests as it may have are in flight. */
    Returning,
    /** It is cold, and this host's rate limit for it is used up. */
    ColdRateReached,
    /** It failed requests, is being probed, or does not respond. */
    Ejected,
    /** It rejected a request for lack of capacity, or its queue is long. */
    Full,
};

/** Name of a restriction for log lines and reports. */
[[nodiscard]] auto restrictionName(BackendRestriction restriction) -> std::string_view;

/** Whether a restricted server is better than none. Only this host's own estimates are overridden, never a limit that the server or its registration set. */
[[nodiscard]] auto isLastResort(BackendRestriction restriction) -> bool;

/** Whether a request that was chosen earlier and is not sent yet must not be sent, whatever it was chosen for. */
[[nodiscard]] auto forbidsSending(BackendRestriction restriction) -> bool;

/** Whether a backend server may get a request, and if not, why and until when. */
struct BackendAdmission
{
    BackendRestriction restriction_ = BackendRestriction::None;
    /** Earliest time at which it may end; infinite if that depends on the registration. */
    absl::Time until_ = absl::InfinitePast();

    auto operator==(const BackendAdmission &other) const -> bool = default;
};

/** What the decision depends on besides the time. */
struct AdmissionInput
{
    const BackendCondition &condition_;
    /** Time from which the server gets no new requests because its registration is missing. */
    absl::Time usableUntil_ = absl::InfiniteFuture();
    /** This host's rate limit; none when the server is not cold. */
    std::optional<ColdRateLimit> coldRateLimit_ = std::nullopt;
    /** Whether the request already has a permit under the server's limit. */
    bool hasPermit_ = false;
};

/** Decides whether the backend server may get a request now. */
[[nodiscard]] auto admissionOf(const AdmissionInput &input, absl::Time now) -> BackendAdmission;

/**
 * When the first of several backend servers may get a request: infinite if all are leaving or gone. None if there are no servers, or if one is restricted
 * by its load, its failures, its cold start or its limit, whose end is not known.
 */
[[nodiscard]] auto earliestReturn(const std::vector<BackendAdmission> &admissions) -> std::optional<absl::Time>;

/** State of a backend server as reported to operators. */
struct BackendAvailability
{
    BackendAdmission admission_;
    bool isEjected_ = false;
    bool isFull_ = false;
    /** Expected queueing time of a new request at the server. */
    absl::Duration wait_ = absl::ZeroDuration();
    int inFlight_ = 0;
    /** Average time that the server spends on a request, without queueing. */
    absl::Duration serviceTime_ = absl::ZeroDuration();
    /** It returns from a pause, so that a limited number of requests may be in flight there. */
    bool isReturning_ = false;
    /** Nothing but the lack of a permit keeps requests away. */
    bool lacksOnlyPermit_ = false;
    /** Requests a second that it takes from all hosts together; absent when it names no limit. */
    std::optional<double> limit_ = std::nullopt;
    /** Age of the last load report; absent when there is none. */
    std::optional<absl::Duration> loadAge_ = std::nullopt;
};

/** State of the backend server at a time. */
[[nodiscard]] auto availabilityOf(const AdmissionInput &input, absl::Time now) -> BackendAvailability;

}
