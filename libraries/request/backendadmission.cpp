#include "request/backendadmission.h"

#include <algorithm>
#include <array>

namespace lycheecleat
{

auto restrictionName(BackendRestriction restriction) -> std::string_view
{
    switch (restriction) {
    case BackendRestriction::None:
        return "";
    case BackendRestriction::Unregistered:
        return "unregistered";
    case BackendRestriction::Leaving:
        return "leaving";
    case BackendRestriction::Paused:
        return "paused";
    case BackendRestriction::LimitReached:
        return "limit-reached";
    case BackendRestriction::Returning:
        return "returning";
    case BackendRestriction::ColdRateReached:
        return "cold-rate-reached";
    case BackendRestriction::Ejected:
        return "ejected";
    case BackendRestriction::Full:
        return "full";
    }
    return "";
}

auto isLastResort(BackendRestriction restriction) -> bool
{
    return restriction == BackendRestriction::Ejected || restriction == BackendRestriction::Full;
}

auto forbidsSending(BackendRestriction restriction) -> bool
{
    constexpr auto forbidding =
        std::array { BackendRestriction::Unregistered, BackendRestriction::Leaving, BackendRestriction::Paused, BackendRestriction::LimitReached };
    return std::find(forbidding.begin(), forbidding.end(), restriction) != forbidding.end();
}

auto admissionOf(const AdmissionInput &input, absl::Time now) -> BackendAdmission
{
    const auto &condition = input.condition_;
    if (now >= input.usableUntil_) {
        return { BackendRestriction::Unregistered, absl::InfiniteFuture() };
    }
    if (condition.leavingSince_) {
        return { BackendRestriction::Leaving, absl::InfiniteFuture() };
    }
    if (now < condition.pausedUntil_) {
        return { BackendRestriction::Paused, condition.pausedUntil_ };
    }
    if (condition.limit_.requestsPerSecond_ && !input.hasPermit_ && !hasPermit(condition.permits_, now)) {
        return { BackendRestriction::LimitReached, std::max(now, condition.permits_.askAgainAt_) };
    }
    if (condition.returnWindow_ > 0 && condition.inFlight_ >= condition.returnWindow_) {
        // A server that does not respond since its return may not respond at all.
        return { BackendRestriction::Returning, isEjected(condition, now) ? absl::InfiniteFuture() : now };
    }
    if (input.coldRateLimit_ && !hasColdCapacity(condition, now, *input.coldRateLimit_)) {
        return { BackendRestriction::ColdRateReached, now };
    }
    if (isEjected(condition, now)) {
        return { BackendRestriction::Ejected, std::max(now, condition.ejectedUntil_) };
    }
    if (isFull(condition, now)) {
        return { BackendRestriction::Full, std::max(now, condition.fullUntil_) };
    }
    return {};
}

auto earliestReturn(const std::vector<BackendAdmission> &admissions) -> std::optional<absl::Time>
{
    auto earliest = std::optional<absl::Time> {};
    for (const auto &admission : admissions) {
        const auto restriction = admission.restriction_;
        const auto isRateReached = restriction == BackendRestriction::ColdRateReached || restriction == BackendRestriction::LimitReached;
        if (isLastResort(restriction) || isRateReached) {
            return std::nullopt;
        }
        earliest = std::min(earliest.value_or(absl::InfiniteFuture()), admission.until_);
    }
    return earliest;
}

auto availabilityOf(const AdmissionInput &input, absl::Time now) -> BackendAvailability
{
    const auto &condition = input.condition_;
    auto availability = BackendAvailability {};
    availability.admission_ = admissionOf(input, now);
    availability.isEjected_ = isEjected(condition, now);
    availability.isFull_ = isFull(condition, now);
    availability.wait_ = expectedWait(condition, now);
    availability.inFlight_ = condition.inFlight_;
    availability.serviceTime_ = condition.serviceTime_;
    availability.isReturning_ = condition.returnWindow_ > 0;
    availability.limit_ = condition.limit_.requestsPerSecond_;
    if (availability.admission_.restriction_ == BackendRestriction::LimitReached) {
        const auto withPermit = AdmissionInput { condition, input.usableUntil_, input.coldRateLimit_, true };
        availability.lacksOnlyPermit_ = admissionOf(withPermit, now).restriction_ == BackendRestriction::None;
    }
    if (condition.loadAt_ != absl::InfinitePast()) {
        availability.loadAge_ = now - condition.loadAt_;
    }
    return availability;
}

}
