#include "request/backendcondition.h"

#include <algorithm>
#include <cmath>

namespace lycheecleat
{

namespace
{

constexpr auto firstEjection = absl::Milliseconds(500);
constexpr auto longestEjection = absl::Seconds(3);

/** Weight of the newest exchange in the moving average of failures. */
constexpr auto failureWeight = 0.2;

/** Average share of failures from which a backend server is ejected although it answers in between. */
constexpr auto ejectedFailureShare = 0.45;

/** Broken or silent exchanges in a row that eject; a single one happens on a sound server as well. */
constexpr auto ejectedFailures = 2;

/** A load report older than this says nothing any more. */
constexpr auto loadReportTime = absl::Milliseconds(700);

/** How long a backend server that rejected a request counts as full. */
constexpr auto fullTime = absl::Milliseconds(250);

/** Window over which a cold backend server's requests are counted, with a margin for differing delays on the way. */
constexpr auto coldWindow = absl::Milliseconds(1100);

/** Requests a second for each host that sends to a cold backend server, as far as its tolerance allows. */
constexpr auto coldRequestsPerHost = 2.0;

auto eject(BackendCondition &condition, absl::Time now) -> void
{
    condition.ejection_ = std::clamp(condition.ejection_ * 2, firstEjection, longestEjection);
    condition.ejectedUntil_ = now + condition.ejection_;
}

auto noteFailure(BackendCondition &condition, absl::Time now, bool ejectsAtOnce) -> void
{
    condition.failureShare_ += failureWeight * (1 - condition.failureShare_);
    condition.consecutiveFailures_ += 1;
    if (ejectsAtOnce || condition.consecutiveFailures_ >= ejectedFailures || condition.failureShare_ > ejectedFailureShare) {
        eject(condition, now);
    }
}

auto recentColdSends(const BackendCondition &condition, absl::Time now) -> int
{
    return static_cast<int>(std::count_if(condition.coldSends_.begin(), condition.coldSends_.end(), [&](absl::Time sentAt) {
        return now - sentAt < coldWindow;
    }));
}

}

auto noteSign(BackendCondition &condition, absl::Time now, BackendSign sign, const std::optional<LoadReport> &load) -> void
{
    if (load) {
        condition.load_ = *load;
        condition.loadAt_ = now;
    }
    switch (sign) {
    case BackendSign::Answered:
        condition.failureShare_ -= failureWeight * condition.failureShare_;
        condition.consecutiveFailures_ = 0;
        if (condition.failureShare_ < ejectedFailureShare) {
            condition.ejection_ = absl::ZeroDuration();
        }
        return;
    case BackendSign::Full:
        condition.fullUntil_ = now + fullTime;
        condition.consecutiveFailures_ = 0;
        return;
    case BackendSign::Unreachable:
        noteFailure(condition, now, true);
        return;
    case BackendSign::Failed:
    case BackendSign::Broken:
    case BackendSign::Silent:
        noteFailure(condition, now, false);
        return;
    }
}

auto isEjected(const BackendCondition &condition, absl::Time now) -> bool
{
    return now < condition.ejectedUntil_;
}

auto isFull(const BackendCondition &condition, absl::Time now) -> bool
{
    if (now < condition.fullUntil_) {
        return true;
    }
    return now - condition.loadAt_ < loadReportTime && condition.load_.running_ >= condition.load_.slots_ && condition.load_.waiting_ > 0;
}

auto coldAllowance(double requestsPerSecond, const std::vector<std::uint64_t> &hosts, std::uint64_t self, std::uint64_t backend) -> ColdAllowance
{
    const auto senders = static_cast<std::size_t>(std::max(1.0, std::floor(requestsPerSecond / coldRequestsPerHost)));
    const auto rank = [&](std::uint64_t host) {
        constexpr auto spreadFactor = 0x9e3779b97f4a7c15ULL;
        return (host ^ backend) * spreadFactor;
    };
    const auto before = static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](std::uint64_t host) {
        return host != self && rank(host) < rank(self);
    }));
    const auto others = static_cast<std::size_t>(std::count_if(hosts.begin(), hosts.end(), [&](std::uint64_t host) {
        return host != self;
    }));
    const auto used = std::min(senders, others + 1);
    return { before < used, static_cast<int>(std::floor(requestsPerSecond / static_cast<double>(used))) };
}

auto hasColdRoom(const BackendCondition &condition, absl::Time now, const ColdAllowance &allowance) -> bool
{
    return allowance.isSender_ && recentColdSends(condition, now) < allowance.requestsPerSecond_;
}

auto takeColdRequest(BackendCondition &condition, absl::Time now, const ColdAllowance &allowance) -> bool
{
    while (!condition.coldSends_.empty() && now - condition.coldSends_.front() >= coldWindow) {
        condition.coldSends_.pop_front();
    }
    if (!hasColdRoom(condition, now, allowance)) {
        return false;
    }
    condition.coldSends_.push_back(now);
    return true;
}

}
