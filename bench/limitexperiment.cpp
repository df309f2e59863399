/**
 * Compares ways of sharing one backend server's limit among the hosts, in simulated time with fixed seeds. Prints the table of docs/experiments.md: how much of
 * the limit is used, and the most requests in a window.
 */
#include "request/backendlimit.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <limits>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto seeds = std::array<std::uint64_t, 3> { 1, 2, 3 };
constexpr auto hostCounts = std::array { 18, 115, 3100 };

/** The limit of the incident, in requests a second, and the demand for the server as a multiple of it. */
constexpr auto limit = 3.2;
constexpr auto demandFactor = 3.0;

/** Steady demand, then none, then a surge, then steady demand again; times in seconds. Use is counted after the first share has become effective. */
constexpr auto countedFrom = 100.0;
constexpr auto pauseBegin = 400.0;
constexpr auto pauseEnd = 600.0;
constexpr auto surgeEnd = 602.0;
constexpr auto simulationEnd = 660.0;
constexpr auto surgeFactor = 10.0;

constexpr auto windowLength = 4.0;

/** Share of the demand of the busiest third of the hosts, if it is skewed. */
constexpr auto busyShare = 0.8;

/** One-way delays in seconds: a third of the hosts is in the server's region. */
constexpr auto nearDelay = 0.0005;
constexpr auto farDelay = 0.055;

constexpr auto messageLoss = 0.01;

/** Largest error of a host's clock, in seconds. */
constexpr auto clockError = 0.5;

using Random = std::mt19937_64;

auto uniform(Random &random) -> double
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

auto at(double seconds) -> absl::Time
{
    return absl::UnixEpoch() + absl::Seconds(1000 + seconds);
}

auto delayOf(int host) -> double
{
    return host % 3 == 0 ? nearDelay : farDelay;
}

/** Decides on a request that a host has at a time. Returns when the request is sent; none when it goes to another server. */
using SharingPolicy = std::function<std::optional<double>(int host, double time)>;

/** Creates a policy for a number of hosts. */
using PolicyFactory = std::function<SharingPolicy(int hosts, Random &random)>;

/** A token bucket that is empty at first. */
struct Bucket
{
    double rate_ = 0;
    double capacity_ = 1;
    double tokens_ = 0;
    double refilledAt_ = 0;

    auto take(double time) -> bool
    {
        tokens_ = std::min(capacity_, tokens_ + rate_ * (time - refilledAt_));
        refilledAt_ = time;
        const auto isTaken = tokens_ >= 1;
        tokens_ -= isTaken ? 1 : 0;
        return isTaken;
    }
};

// Each of the senders has an even part of the limit and at most one token.
auto shareEvenly(int senders) -> SharingPolicy
{
    const auto buckets = std::make_shared<std::vector<Bucket>>(static_cast<std::size_t>(senders), Bucket { limit / senders });
    return [buckets, senders](int host, double time) {
        return host < senders && (*buckets)[static_cast<std::size_t>(host)].take(time) ? std::optional(time) : std::nullopt;
    };
}

// As many senders as their tokens together stay within the bound.
auto shareAmongFew(int hosts) -> SharingPolicy
{
    constexpr auto slack = 5;
    return shareEvenly(std::min(hosts, static_cast<int>(2 * limit) + slack));
}

// Each host may send one request in each of its turns, which follow each other at the rate of the limit.
auto shareByTurns(int hosts, Random &random) -> SharingPolicy
{
    auto errors = std::vector<double> {};
    for (auto host = 0; host < hosts; ++host) {
        errors.push_back((2 * uniform(random) - 1) * clockError);
    }
    const auto usedTurns = std::make_shared<std::vector<std::int64_t>>(static_cast<std::size_t>(hosts), -1);
    return [=](int host, double time) -> std::optional<double> {
        const auto index = static_cast<std::size_t>(host);
        const auto turn = static_cast<std::int64_t>(std::floor((time + errors[index]) * limit));
        if (turn % hosts != host || (*usedTurns)[index] == turn) {
            return std::nullopt;
        }
        (*usedTurns)[index] = turn;
        return time;
    };
}

// Each host sends a fraction of its requests, by the demand of all hosts that it estimates from its own.
auto shareByEstimate(int hosts, Random &random) -> SharingPolicy
{
    constexpr auto span = 10.0;
    constexpr auto usedFraction = 0.9;
    const auto recent = std::make_shared<std::vector<std::deque<double>>>(static_cast<std::size_t>(hosts));
    return [=, &random](int host, double time) -> std::optional<double> {
        auto &times = (*recent)[static_cast<std::size_t>(host)];
        times.push_back(time);
        while (time - times.front() > span) {
            times.pop_front();
        }
        const auto estimate = static_cast<double>(times.size()) / span * hosts;
        return uniform(random) < limit * usedFraction / estimate ? std::optional(time) : std::nullopt;
    };
}

// A host asks the issuer for each request. With several issuers, each host uses one of them, as if hosts had different views of which one it is.
auto shareByPermits(int issuers, Random &random) -> SharingPolicy
{
    const auto buckets = std::make_shared<std::vector<PermitBucket>>(static_cast<std::size_t>(issuers));
    const auto askAgainAt = std::make_shared<std::vector<double>>(static_cast<std::size_t>(hostCounts.back()), 0);
    return [=, &random](int host, double time) -> std::optional<double> {
        const auto index = static_cast<std::size_t>(host);
        if (time < (*askAgainAt)[index] || uniform(random) < messageLoss) {
            return std::nullopt;
        }
        auto &bucket = (*buckets)[index % buckets->size()];
        const auto decision = takePermit(bucket, at(time + delayOf(host)), limit);
        if (!decision.isGranted_) {
            (*askAgainAt)[index] = time + 2 * delayOf(host) + absl::ToDoubleSeconds(decision.retryAfter_);
            return std::nullopt;
        }
        return uniform(random) < messageLoss ? std::nullopt : std::optional(time + 2 * delayOf(host));
    };
}

struct Outcome
{
    /** Fraction of the limit that is used under steady demand. */
    double used_ = 0;
    std::size_t largestWindow_ = 0;
};

auto chooseHost(int hosts, bool isSkewed, Random &random) -> int
{
    const auto busy = std::max(1, hosts / 3);
    const auto isBusy = isSkewed && uniform(random) < busyShare;
    return static_cast<int>(random() % static_cast<std::uint64_t>(isBusy ? busy : hosts));
}

auto simulate(const PolicyFactory &factory, int hosts, bool isSkewed, std::uint64_t seed) -> Outcome
{
    auto random = Random { seed };
    const auto policy = factory(hosts, random);
    auto arrivals = std::vector<double> {};
    auto time = 0.0;
    while (time < simulationEnd) {
        const auto isSurge = time >= pauseEnd && time < surgeEnd;
        time += std::exponential_distribution<double>(limit * demandFactor * (isSurge ? surgeFactor : 1))(random);
        if (time >= pauseBegin && time < pauseEnd) {
            time = pauseEnd;
        }
        const auto host = chooseHost(hosts, isSkewed, random);
        if (const auto sentAt = policy(host, time)) {
            arrivals.push_back(*sentAt + delayOf(host));
        }
    }
    std::sort(arrivals.begin(), arrivals.end());
    auto outcome = Outcome {};
    const auto used = std::count_if(arrivals.begin(), arrivals.end(), [](double arrival) {
        return arrival >= countedFrom && arrival < pauseBegin;
    });
    outcome.used_ = static_cast<double>(used) / (limit * (pauseBegin - countedFrom));
    for (auto first = std::size_t { 0 }, last = std::size_t { 0 }; last < arrivals.size(); ++last) {
        while (arrivals[last] - arrivals[first] >= windowLength) {
            ++first;
        }
        outcome.largestWindow_ = std::max(outcome.largestWindow_, last - first + 1);
    }
    return outcome;
}

auto printRow(const std::string &name, const PolicyFactory &factory) -> void
{
    auto row = fmt::format("| {} |", name);
    for (const auto hosts : hostCounts) {
        auto used = std::array { 0.0, 0.0 };
        auto largestWindow = std::size_t { 0 };
        for (const auto isSkewed : { false, true }) {
            for (const auto seed : seeds) {
                const auto outcome = simulate(factory, hosts, isSkewed, seed);
                used[isSkewed ? 1 : 0] += outcome.used_ / seeds.size();
                largestWindow = std::max(largestWindow, outcome.largestWindow_);
            }
        }
        row += fmt::format(" {:.2f} / {:.2f} | {} |", used[0], used[1], largestWindow);
    }
    fmt::print("{}\n", row);
}

}

auto main() -> int
{
    fmt::print("| Shares |");
    for (const auto hosts : hostCounts) {
        fmt::print(" {} hosts: used, even / skewed demand | Largest window |", hosts);
    }
    fmt::print("\n|---|---|---|---|---|---|---|\n");
    printRow("Even, one token each", [](int hosts, Random &) {
        return shareEvenly(hosts);
    });
    printRow("Even among as many hosts as the slack allows", [](int hosts, Random &) {
        return shareAmongFew(hosts);
    });
    printRow("By turns in time, clocks 0.5 s off", [](int hosts, Random &random) {
        return shareByTurns(hosts, random);
    });
    printRow("A fraction, by each host's estimate of the demand", [](int hosts, Random &random) {
        return shareByEstimate(hosts, random);
    });
    printRow("Permits of one issuer (in force)", [](int, Random &random) {
        return shareByPermits(1, random);
    });
    printRow("Permits, two issuers at the same time", [](int, Random &random) {
        return shareByPermits(2, random);
    });
    return 0;
}
