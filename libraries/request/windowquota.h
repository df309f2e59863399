/** One host's quota of an organisation's rate limit, enforced over a sliding window. */
#pragma once

#include "version/organisation.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <vector>

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

/** This host's part of a fleet quota. The parts of all hosts add up to the fleet quota if all hosts have the same host list. */
[[nodiscard]] auto hostQuota(std::int64_t fleetQuota, const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t organisation) -> std::int64_t;

/** Sliding window log of the requests that one host has admitted for one organisation. Not thread-safe. Times are monotonic. */
struct WindowQuota
{
    std::deque<absl::Time> admitted_;
};

/**
 * Admits and records a request if fewer than limit were admitted within the window; false otherwise. The limit increases linearly from zero over the
 * first window after startedAt, the start of this process, since the previous process of this host may have admitted requests shortly before.
 */
[[nodiscard]] auto admit(WindowQuota &quota, absl::Time now, absl::Time startedAt, std::int64_t limit, absl::Duration window) -> bool;

}
