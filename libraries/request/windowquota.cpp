#include "request/windowquota.h"

#include <algorithm>
#include <cmath>

namespace lycheecleat
{

auto fleetQuota(const Organisation &limits, const QuotaSettings &settings) -> std::int64_t
{
    const auto baseQuota = limits.rate_ * absl::ToDoubleSeconds(settings.window_) + limits.burst_;
    return static_cast<std::int64_t>(std::floor(baseQuota * (1 + settings.overage_) + settings.slack_));
}

auto hostQuota(std::int64_t fleetQuota, const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t organisation) -> std::int64_t
{
    const auto rank = [&](std::uint64_t host) {
        constexpr auto hashMultiplier = 0x9e3779b97f4a7c15ULL;
        return (host ^ organisation) * hashMultiplier;
    };
    auto precedingHosts = std::int64_t { 0 };
    auto hostCount = std::int64_t { 1 };
    for (const auto host : hosts) {
        if (host == self) {
            continue;
        }
        hostCount += 1;
        precedingHosts += rank(host) < rank(self) ? 1 : 0;
    }
    // The remainder goes to the first hosts in an order that differs between organisations.
    return fleetQuota / hostCount + (precedingHosts < fleetQuota % hostCount ? 1 : 0);
}

auto admit(WindowQuota &quota, absl::Time now, absl::Time startedAt, std::int64_t limit, absl::Duration window) -> bool
{
    while (!quota.admitted_.empty() && now - quota.admitted_.front() >= window) {
        quota.admitted_.pop_front();
    }
    const auto rampFraction = std::min(1.0, absl::FDivDuration(now - startedAt, window));
    const auto currentLimit = static_cast<std::int64_t>(std::ceil(static_cast<double>(limit) * rampFraction));
    if (static_cast<std::int64_t>(quota.admitted_.size()) >= currentLimit) {
        return false;
    }
    quota.admitted_.push_back(now);
    return true;
}

}
