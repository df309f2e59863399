#include "process/routedurations.h"

namespace lycheecleat
{

auto RouteDurations::record(const std::string &route, absl::Duration duration) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    addDuration(estimates_[route], duration);
}

auto RouteDurations::longestExpected(const std::string &route) const -> absl::Duration
{
    const auto lock = absl::ReaderMutexLock(&mutex_);
    const auto found = estimates_.find(route);
    return found == estimates_.end() ? absl::ZeroDuration() : lycheecleat::longestExpected(found->second);
}

}
