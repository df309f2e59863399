/** One host's share of an organisation's rate and burst, counted over a sliding window. */
#pragma once

#include "version/organisation.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace lycheecleat
{

/** How a limit is counted. */
struct QuotaSettings
{
    absl::Duration window_ = absl::Seconds(5);
    /** Part of rate and burst that is used beyond them, to make up for shares that are idle elsewhere. */
    double overage_ = 0;
    /** Requests in a window beyond rate and burst. */
    double slack_ = 0;

    auto operator==(const QuotaSettings &other) const -> bool = default;
};

/** Requests that all hosts together may admit in one window. */
[[nodiscard]] auto fleetQuota(const Organisation &limits, const QuotaSettings &settings) -> std::int64_t;

/** This host's part of a fleet's quota. The parts of all hosts add up to the quota when all know the same hosts. */
[[nodiscard]] auto hostQuota(std::int64_t fleetQuota, const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t organisation) -> std::int64_t;

/** Requests admitted by one host for one organisation. Times are monotonic. */
struct WindowQuota
{
    std::deque<absl::Time> admitted_;
};

/**
 * Admits a request if fewer than the limit were admitted within the window. The limit grows from zero over the first window of a process, since an
 * earlier process of this host may have admitted requests just before.
 */
[[nodiscard]] auto admit(WindowQuota &quota, absl::Time now, absl::Time startedAt, std::int64_t limit, absl::Duration window) -> bool;

}
