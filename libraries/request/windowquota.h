/** One host's part of an organisation's rate limit, enforced over a sliding window. */
#pragma once

#include "version/organisation.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>

namespace lycheecleat
{

/** How rate and burst are converted to a quota of requests per window. */
struct QuotaSettings
{
    absl::Duration window_ = absl::Seconds(5);
    /** Fraction by which the quota exceeds rate and burst, to compensate for quota that other hosts don't use. */
    double overage_ = 0;
    /** Number of requests per window by which the quota exceeds rate and burst, in addition to overage_. */
    double slack_ = 0;

    auto operator==(const QuotaSettings &other) const -> bool = default;
};

/** Number of requests that all hosts together may admit in one window. */
[[nodiscard]] auto fleetQuota(const Organisation &limits, const QuotaSettings &settings) -> std::int64_t;

/** Sliding window log of the requests that one host has admitted for one organisation. Not thread-safe. Times are monotonic. */
struct WindowQuota
{
    std::deque<absl::Time> admitted_;
};

/** How a part becomes usable after a host began to hold it. Another process may have admitted requests under it shortly before. */
enum class PartGrowth {
    /** After one window, when those requests no longer count. The other holders serve meanwhile. */
    AfterWindow,
    /** Linearly from zero over one window, where no other host could serve. This is exact only if the earlier process admitted evenly. */
    Linear,
};

/** The part of a quota that one host holds. */
struct HeldPart
{
    /** Requests of a window that it may admit. */
    std::int64_t limit_ = 0;
    absl::Time since_ = absl::InfinitePast();
    PartGrowth growth_ = PartGrowth::Linear;

    auto operator==(const HeldPart &other) const -> bool = default;
};

/** The part of the limit that may be used at a time. */
[[nodiscard]] auto usableLimit(const HeldPart &part, absl::Time now, absl::Duration window) -> std::int64_t;

/** Whether one host admits a request. */
struct QuotaDecision
{
    bool isAdmitted_ = false;
    /** Time until the host may admit another request; zero if it admitted this one. */
    absl::Duration retryAfter_ = absl::ZeroDuration();
    /** Requests of the window that the host has admitted, this one included, and those that it may admit. */
    std::int64_t used_ = 0;
    std::int64_t limit_ = 0;

    auto operator==(const QuotaDecision &other) const -> bool = default;
};

/** Admits and records a request if fewer than the usable limit of the part were admitted within the window. */
[[nodiscard]] auto admit(WindowQuota &quota, absl::Time now, const HeldPart &part, absl::Duration window) -> QuotaDecision;

}
