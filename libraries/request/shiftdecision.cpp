#include "request/shiftdecision.h"

#include <algorithm>

namespace lycheecleat
{

namespace
{

auto unitInterval(std::uint64_t hash) -> double
{
    constexpr auto mantissaBits = 53;
    return static_cast<double>(hash >> (64 - mantissaBits)) / static_cast<double>(std::uint64_t { 1 } << mantissaBits);
}

auto appliesTo(const Shift &shift, const std::string &pool, const std::string &from) -> bool
{
    return shift.pool_ == pool && shift.from_ == from;
}

}

auto rampedShare(const Shift &shift, absl::Time wallTime) -> double
{
    if (wallTime < shift.start_) {
        return 0;
    }
    const auto elapsed = wallTime - shift.start_;
    if (elapsed >= shift.rampDuration_) {
        return shift.share_;
    }
    return shift.share_ * absl::FDivDuration(elapsed, shift.rampDuration_);
}

auto chooseShift(const Configuration &configuration, const std::string &pool, const std::string &region, absl::Time wallTime, std::uint64_t requestHash)
    -> const Shift *
{
    const auto position = unitInterval(requestHash);
    auto cumulativeShare = 0.0;
    for (const auto &shift : configuration.shifts_) {
        if (!appliesTo(shift, pool, region)) {
            continue;
        }
        cumulativeShare += rampedShare(shift, wallTime);
        if (position < cumulativeShare) {
            return &shift;
        }
    }
    return nullptr;
}

auto findShift(const Configuration &configuration, const std::string &pool, const std::string &from, const std::string &to) -> const Shift *
{
    for (const auto &shift : configuration.shifts_) {
        if (appliesTo(shift, pool, from) && shift.to_ == to) {
            return &shift;
        }
    }
    return nullptr;
}

auto hasShifts(const Configuration &configuration, const std::string &pool, const std::string &from) -> bool
{
    return std::any_of(configuration.shifts_.begin(), configuration.shifts_.end(), [&](const Shift &shift) {
        return appliesTo(shift, pool, from);
    });
}

}
