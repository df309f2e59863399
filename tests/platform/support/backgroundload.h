/** Background load that sends requests continuously and records every response. */
#pragma once

#include "support/fleet.h"

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace platformtest
{

/** Threads that send requests with one path and key to the hosts in turn, each request on its own connection, until they are stopped. */
class BackgroundLoad
{
public:
    BackgroundLoad(Fleet &fleet, const std::string &path, const std::string &key, int callerCount);
    ~BackgroundLoad();
    BackgroundLoad(const BackgroundLoad &) = delete;
    auto operator=(const BackgroundLoad &) -> BackgroundLoad & = delete;

    /** Stops the threads, waits for them and returns all calls. */
    auto stop() -> std::vector<FleetCall>;

private:
    std::atomic<bool> isStopped_ = false;
    std::mutex mutex_;
    std::vector<FleetCall> calls_;
    std::vector<std::thread> threads_;
};

}
