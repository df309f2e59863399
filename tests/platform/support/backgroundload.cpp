#include "support/backgroundload.h"

#include <utility>

namespace platformtest
{

BackgroundLoad::BackgroundLoad(Fleet &fleet, const std::string &path, const std::string &key, int callerCount)
{
    for (auto callerIndex = 0; callerIndex < callerCount; ++callerIndex) {
        threads_.emplace_back([this, &fleet, path, key, callerIndex] {
            for (auto number = callerIndex; !isStopped_; ++number) {
                auto call = fleet.call(fleet.hosts()[static_cast<std::size_t>(number) % fleet.hosts().size()], path, key);
                const auto lock = std::lock_guard(mutex_);
                calls_.push_back(std::move(call));
            }
        });
    }
}

BackgroundLoad::~BackgroundLoad()
{
    stop();
}

auto BackgroundLoad::stop() -> std::vector<FleetCall>
{
    isStopped_ = true;
    for (auto &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    return calls_;
}

}
