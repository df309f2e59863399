/** Pseudo-random disruptions of the hosts and the store of a test deployment. */
#pragma once

#include "support/fleet.h"

#include <chrono>
#include <cstddef>
#include <random>
#include <string>
#include <vector>

namespace platformtest
{

/** A time in which a host was frozen or restarted, which excuses it. */
struct Disruption
{
    std::string host_;
    std::chrono::steady_clock::time_point begin_;
    std::chrono::steady_clock::time_point end_;
};

/** Freezes and restarts hosts and takes the store away, pseudo-randomly from a seed. */
class Disruptor
{
public:
    Disruptor(Fleet &fleet, unsigned seed);

    /** A pseudo-random number below the count. */
    auto randomBelow(std::size_t count) -> std::size_t;

    /** Freezes a host for 0.1 to 1 s, or restarts it. */
    auto disruptHost() -> void;

    /** Makes the store unavailable to all hosts, or available again. */
    auto loseOrRestoreStore() -> void;

    [[nodiscard]] auto disruptions() const -> const std::vector<Disruption> &;

private:
    Fleet &fleet_;
    std::mt19937 random_;
    std::vector<Disruption> disruptions_;
};

/** Whether a host was disrupted at any time between two times. */
[[nodiscard]] auto isDisrupted(const std::vector<Disruption> &disruptions,
                               const std::string &host,
                               std::chrono::steady_clock::time_point begin,
                               std::chrono::steady_clock::time_point end) -> bool;

/** The seeds FIRST to LAST of an environment variable "FIRST LAST"; 1 and 2 when it is not set. */
[[nodiscard]] auto seedsFromEnvironment(const char *variable) -> std::vector<unsigned>;

}
