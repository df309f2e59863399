/** Callers that send without pause and keep what became of each request. */
#pragma once

#include "support/fleet.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace platformtest
{

/** Callers that use one path and key on hosts in turn, each request on a connection of its own, until they are stopped. */
class BackgroundLoad
{
public:
    BackgroundLoad(Fleet &fleet, const std::string &path, const std::string &key, int count);
    ~BackgroundLoad();
    BackgroundLoad(const BackgroundLoad &) = delete;
    auto operator=(const BackgroundLoad &) -> BackgroundLoad & = delete;

    /** Ends the callers and gives all calls. */
    auto stop() -> std::vector<FleetCall>;

private:
    std::atomic<bool> isStopped_ = false;
    std::mutex mutex_;
    std::vector<FleetCall> calls_;
    std::vector<std::thread> threads_;
};

}
