/** Estimates how long the requests of each route take. */
#pragma once

#include "request/durationestimate.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <string>

namespace lycheecleat
{

/** Thread-safe. */
class RouteDurations
{
public:
    /** Records how long a request of a route took. */
    auto record(const std::string &route, absl::Duration duration) -> void;

    /** Time within which nearly all requests of a route end; zero when none has ended. */
    [[nodiscard]] auto longestExpected(const std::string &route) const -> absl::Duration;

private:
    mutable absl::Mutex mutex_;
    absl::flat_hash_map<std::string, DurationEstimate> estimates_ ABSL_GUARDED_BY(mutex_);
};

}
