#include "support/disruptions.h"

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <thread>

namespace platformtest
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto shortestFreeze = std::size_t { 100 };
constexpr auto freezeRange = std::size_t { 900 };

}

Disruptor::Disruptor(Fleet &fleet, unsigned seed)
    : fleet_(fleet)
    , random_(seed)
{
}

auto Disruptor::randomBelow(std::size_t count) -> std::size_t
{
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
}

auto Disruptor::disruptHost() -> void
{
    auto &host = fleet_.hosts()[randomBelow(fleet_.hosts().size())];
    const auto begin = Clock::now();
    if (randomBelow(2) == 0) {
        host.process_->suspend();
        std::this_thread::sleep_for(std::chrono::milliseconds { shortestFreeze + randomBelow(freezeRange) });
        host.process_->resume();
    } else {
        host.process_->kill();
        fleet_.startHost(host);
    }
    disruptions_.push_back({ host.name_, begin, Clock::now() });
}

auto Disruptor::loseOrRestoreStore() -> void
{
    const auto isBack = randomBelow(2) == 0;
    fleet_.store().setFault("", isBack ? StoreFault::None : StoreFault::Unavailable);
}

auto Disruptor::disruptions() const -> const std::vector<Disruption> &
{
    return disruptions_;
}

auto isDisrupted(const std::vector<Disruption> &disruptions, const std::string &host, Clock::time_point begin, Clock::time_point end) -> bool
{
    return std::any_of(disruptions.begin(), disruptions.end(), [&](const Disruption &disruption) {
        return disruption.host_ == host && disruption.begin_ < end && disruption.end_ > begin;
    });
}

auto seedsFromEnvironment(const char *variable) -> std::vector<unsigned>
{
    auto first = 1U;
    auto last = 2U;
    if (const auto *text = std::getenv(variable)) {
        std::istringstream(text) >> first >> last;
    }
    auto selected = std::vector<unsigned> {};
    for (auto seed = first; seed <= last; ++seed) {
        selected.push_back(seed);
    }
    return selected;
}

}
