#include "request/windowquota.h"

#include <algorithm>
#include <cmath>

namespace lycheecleat
{

namespace
{

/** Time until the earlier holders of a part have heard of the new one. */
constexpr auto newsTime = absl::Seconds(1);

}

auto fleetQuota(const Organisation &limits, const QuotaSettings &settings) -> std::int64_t
{
    const auto baseQuota = limits.rate_ * absl::ToDoubleSeconds(settings.window_) + limits.burst_;
    return static_cast<std::int64_t>(std::floor(baseQuota * (1 + settings.overage_) + settings.slack_));
}

auto usableLimit(const HeldPart &part, absl::Time now, absl::Duration window) -> std::int64_t
{
    const auto heldTime = now - part.since_;
    if (part.growth_ == PartGrowth::AfterWindow) {
        return heldTime < window + newsTime ? 0 : part.limit_;
    }
    const auto fraction = std::clamp(absl::FDivDuration(heldTime, window), 0.0, 1.0);
    return static_cast<std::int64_t>(std::ceil(static_cast<double>(part.limit_) * fraction));
}

auto admit(WindowQuota &quota, absl::Time now, const HeldPart &part, absl::Duration window) -> QuotaDecision
{
    while (!quota.admitted_.empty() && now - quota.admitted_.front() >= window) {
        quota.admitted_.pop_front();
    }
    const auto limit = usableLimit(part, now, window);
    const auto used = static_cast<std::int64_t>(quota.admitted_.size());
    if (used >= limit) {
        const auto freeingTime = quota.admitted_.empty() ? window : quota.admitted_.front() + window - now;
        const auto growthTime = limit < part.limit_ && part.growth_ == PartGrowth::Linear ? window / part.limit_ : window;
        return { false, std::min(freeingTime, growthTime), used, limit };
    }
    quota.admitted_.push_back(now);
    return { true, absl::ZeroDuration(), used + 1, limit };
}

}
