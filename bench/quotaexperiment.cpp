/**
 * Compares ways of dividing an organisation's rate limit among the hosts, in simulated time with fixed seeds. Prints the tables of docs/experiments.md:
 * requests that are refused although the organisation keeps to its limit, use of the limit, the most requests in a window, and what each request costs.
 */
#include "process/quotafleetmodel.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);
const auto settings = QuotaSettings { absl::Seconds(5), 0.06, 12 };
constexpr auto seeds = std::array<std::uint64_t, 2> { 1, 2 };
constexpr auto messageLoss = 0.001;
constexpr auto durationSeconds = 40.0;
constexpr auto restartSeconds = 20.0;

/** The limits of organisations of three sizes. */
const auto organisations = std::array { Organisation { "small", 7, 7, 1 }, Organisation { "middle", 30, 30, 1 }, Organisation { "large", 160, 160, 1 } };

/** Demand as a multiple of the limit: within it, and beyond it. */
constexpr auto usualDemand = 0.6;
constexpr auto fullDemand = 1.5;

const auto shapes = std::array { QuotaFleetShape { 18, 6, 2, messageLoss },
                                 QuotaFleetShape { 95, 9, 3, messageLoss },
                                 QuotaFleetShape { 115, 6, 2, messageLoss },
                                 QuotaFleetShape { 300, 9, 3, messageLoss },
                                 QuotaFleetShape { 3100, 30, 3, messageLoss } };

/** Times of a round trip, by the place of the other host. */
constexpr auto zoneRoundTrip = absl::Microseconds(200);
constexpr auto regionRoundTrip = absl::Milliseconds(3);
constexpr auto remoteRoundTrip = absl::Milliseconds(110);

/** How one request was handled. */
struct Handling
{
    bool isAdmitted_ = false;
    absl::Duration added_ = absl::ZeroDuration();
};

/** A way of dividing a limit, for one organisation and one fleet. */
struct Division
{
    std::function<Handling(absl::Time, std::size_t host)> admit_;
    std::function<void(absl::Time)> restartThird_;
    std::function<std::int64_t()> datagrams_;
};

using DivisionFactory = std::function<Division(const QuotaFleetShape &, const Organisation &, std::uint64_t seed)>;

auto roundTripToFirst(const QuotaFleetShape &shape, std::size_t host) -> absl::Duration
{
    const auto zone = static_cast<int>(host) % shape.zones_;
    if (zone == 0) {
        return zoneRoundTrip;
    }
    return zone / shape.zonesPerRegion_ == 0 ? regionRoundTrip : remoteRoundTrip;
}

// Each host admits an even part, as before the holders.
auto divideEvenly(const QuotaFleetShape &shape, const Organisation &limits, std::uint64_t /*seed*/) -> Division
{
    struct State
    {
        std::vector<WindowQuota> windows_;
        std::vector<HeldPart> parts_;
    };
    const auto state = std::make_shared<State>();
    const auto quota = fleetQuota(limits, settings);
    for (auto host = std::int64_t { 0 }; host < shape.hosts_; ++host) {
        state->windows_.emplace_back();
        state->parts_.push_back({ quota / shape.hosts_ + (host < quota % shape.hosts_ ? 1 : 0), start - absl::Minutes(1), PartGrowth::Linear });
    }
    auto division = Division {};
    division.admit_ = [state](absl::Time now, std::size_t host) {
        return Handling { admit(state->windows_[host], now, state->parts_[host], settings.window_).isAdmitted_ };
    };
    division.restartThird_ = [state](absl::Time now) {
        for (auto host = std::size_t { 0 }; host < state->windows_.size(); host += 3) {
            state->windows_[host] = {};
            state->parts_[host].since_ = now;
        }
    };
    division.datagrams_ = [] {
        return std::int64_t { 0 };
    };
    return division;
}

// One host admits all requests; the first host restarts with the others and admits after a window, since nobody else knows what it has admitted.
auto askOneIssuer(const QuotaFleetShape &shape, const Organisation &limits, std::uint64_t /*seed*/) -> Division
{
    struct State
    {
        WindowQuota window_;
        HeldPart part_;
        std::int64_t datagrams_ = 0;
    };
    const auto state = std::make_shared<State>();
    state->part_ = { fleetQuota(limits, settings), start - absl::Minutes(1), PartGrowth::AfterWindow };
    auto division = Division {};
    division.admit_ = [state, shape](absl::Time now, std::size_t host) {
        state->datagrams_ += host == 0 ? 0 : 2;
        return Handling { admit(state->window_, now, state->part_, settings.window_).isAdmitted_,
                          host == 0 ? absl::ZeroDuration() : roundTripToFirst(shape, host) };
    };
    division.restartThird_ = [state](absl::Time now) {
        state->window_ = {};
        state->part_.since_ = now;
    };
    division.datagrams_ = [state] {
        return state->datagrams_;
    };
    return division;
}

// One host hands out batches by the requests of the last second, which may be used for a second.
auto askForBatches(const QuotaFleetShape &shape, const Organisation &limits, std::uint64_t /*seed*/) -> Division
{
    struct Held
    {
        std::int64_t count_ = 0;
        absl::Time until_ = absl::InfinitePast();
        std::deque<absl::Time> recent_;
    };
    struct State
    {
        WindowQuota window_;
        HeldPart part_;
        std::vector<Held> held_;
        std::int64_t datagrams_ = 0;
    };
    const auto state = std::make_shared<State>();
    state->part_ = { fleetQuota(limits, settings), start - absl::Minutes(1), PartGrowth::AfterWindow };
    state->held_.resize(static_cast<std::size_t>(shape.hosts_));
    // What is handed out counts until its last use has left the window.
    const auto countedFor = settings.window_ + absl::Seconds(1);
    auto division = Division {};
    division.admit_ = [state, shape, countedFor](absl::Time now, std::size_t host) {
        auto &held = state->held_[host];
        held.recent_.push_back(now);
        while (now - held.recent_.front() > absl::Seconds(1)) {
            held.recent_.pop_front();
        }
        if (held.count_ > 0 && now < held.until_) {
            held.count_ -= 1;
            return Handling { true };
        }
        held.count_ = 0;
        held.until_ = now + absl::Seconds(1);
        state->datagrams_ += host == 0 ? 0 : 2;
        for (auto wanted = held.recent_.size(); wanted > 0 && admit(state->window_, now, state->part_, countedFor).isAdmitted_; --wanted) {
            held.count_ += 1;
        }
        const auto isAdmitted = held.count_ > 0;
        held.count_ -= isAdmitted ? 1 : 0;
        return Handling { isAdmitted, host == 0 ? absl::ZeroDuration() : roundTripToFirst(shape, host) };
    };
    division.restartThird_ = [state](absl::Time now) {
        state->window_ = {};
        state->part_.since_ = now;
    };
    division.datagrams_ = [state] {
        return state->datagrams_;
    };
    return division;
}

auto askHolders(const QuotaFleetShape &shape, const Organisation &limits, std::uint64_t seed) -> Division
{
    const auto fleet = std::make_shared<QuotaFleetModel>(shape, settings, start, seed);
    auto division = Division {};
    division.admit_ = [fleet, limits](absl::Time now, std::size_t host) {
        const auto admission = fleet->admit(now, host, limits);
        return Handling { admission.isAdmitted_, admission.askTime_ };
    };
    division.restartThird_ = [fleet](absl::Time now) {
        for (auto host = std::size_t { 0 }; host < fleet->size(); host += 3) {
            fleet->restart(now, host, now);
        }
    };
    division.datagrams_ = [fleet] {
        return fleet->datagrams();
    };
    return division;
}

/** What one way of dividing achieves at one size. */
struct Figures
{
    double refusedShare_ = 0;
    double refusedAfterRestart_ = 0;
    double usedShare_ = 0;
    /** The most requests of a window, as a fraction of the users' bound. */
    double largestWindow_ = 0;
    double datagramsPerRequest_ = 0;
    double medianMillis_ = 0;
    double percentile99Millis_ = 0;
};

struct Play
{
    std::int64_t requests_ = 0;
    std::int64_t refused_ = 0;
    std::int64_t requestsAfterRestart_ = 0;
    std::int64_t refusedAfterRestart_ = 0;
    std::vector<absl::Time> admittedAt_;
    std::vector<double> addedMillis_;
};

auto play(const Division &division, const QuotaFleetShape &shape, const Organisation &limits, double demand, bool restarts, std::uint64_t seed) -> Play
{
    auto random = std::mt19937_64 { seed };
    auto result = Play {};
    auto isRestarted = false;
    for (auto seconds = 0.0; seconds < durationSeconds;) {
        seconds += std::exponential_distribution<double>(limits.rate_ * demand)(random);
        const auto now = start + absl::Seconds(seconds);
        if (restarts && !isRestarted && seconds >= restartSeconds) {
            division.restartThird_(now);
            isRestarted = true;
        }
        const auto host = static_cast<std::size_t>(random() % static_cast<std::uint64_t>(shape.hosts_));
        const auto handling = division.admit_(now, host);
        result.requests_ += 1;
        result.refused_ += handling.isAdmitted_ ? 0 : 1;
        const auto isAfterRestart = isRestarted && seconds < restartSeconds + 10;
        result.requestsAfterRestart_ += isAfterRestart ? 1 : 0;
        result.refusedAfterRestart_ += isAfterRestart && !handling.isAdmitted_ ? 1 : 0;
        if (handling.isAdmitted_) {
            result.admittedAt_.push_back(now);
        }
        result.addedMillis_.push_back(absl::ToDoubleMilliseconds(handling.added_));
    }
    std::sort(result.addedMillis_.begin(), result.addedMillis_.end());
    return result;
}

auto largestWindow(const std::vector<absl::Time> &admittedAt) -> std::size_t
{
    auto largest = std::size_t { 0 };
    for (auto first = std::size_t { 0 }, last = std::size_t { 0 }; last < admittedAt.size(); ++last) {
        while (admittedAt[last] - admittedAt[first] >= settings.window_) {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return largest;
}

auto share(std::int64_t part, std::int64_t whole) -> double
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

auto measure(const DivisionFactory &factory, const QuotaFleetShape &shape, const Organisation &limits) -> Figures
{
    auto figures = Figures {};
    const auto bound = (limits.rate_ * absl::ToDoubleSeconds(settings.window_) + limits.burst_) * 1.1 + 20;
    for (const auto seed : seeds) {
        const auto usual = factory(shape, limits, seed);
        const auto within = play(usual, shape, limits, usualDemand, false, seed);
        const auto restarted = play(factory(shape, limits, seed), shape, limits, usualDemand, true, seed);
        const auto full = play(factory(shape, limits, seed), shape, limits, fullDemand, false, seed);
        const auto fullRestarted = play(factory(shape, limits, seed), shape, limits, fullDemand, true, seed);
        const auto count = static_cast<double>(seeds.size());
        figures.refusedShare_ += share(within.refused_, within.requests_) / count;
        figures.refusedAfterRestart_ += share(restarted.refusedAfterRestart_, restarted.requestsAfterRestart_) / count;
        figures.usedShare_ += static_cast<double>(full.admittedAt_.size()) / (limits.rate_ * durationSeconds) / count;
        figures.largestWindow_ = std::max({ figures.largestWindow_,
                                            static_cast<double>(largestWindow(full.admittedAt_)) / bound,
                                            static_cast<double>(largestWindow(fullRestarted.admittedAt_)) / bound });
        figures.datagramsPerRequest_ += share(usual.datagrams_(), within.requests_) / count;
        figures.medianMillis_ = std::max(figures.medianMillis_, within.addedMillis_[within.addedMillis_.size() / 2]);
        figures.percentile99Millis_ = std::max(figures.percentile99Millis_, within.addedMillis_[within.addedMillis_.size() * 99 / 100]);
    }
    return figures;
}

auto printRows(const std::string &name, const DivisionFactory &factory) -> void
{
    for (const auto &shape : shapes) {
        for (const auto &limits : organisations) {
            const auto figures = measure(factory, shape, limits);
            fmt::print("| {} | {} | {} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {:.1f} / {:.1f} |\n",
                       name,
                       shape.hosts_,
                       limits.rate_,
                       figures.refusedShare_ * 100,
                       figures.refusedAfterRestart_ * 100,
                       figures.usedShare_,
                       figures.largestWindow_,
                       figures.datagramsPerRequest_,
                       figures.medianMillis_,
                       figures.percentile99Millis_);
        }
    }
}

}

auto main() -> int
{
    fmt::print("| Division | Hosts | Limit (1/s) | Refused (%) | Refused after a third restarts (%) | Used at full demand | Largest window / bound |"
               " Datagrams a request | Added time, p50 / p99 (ms) |\n|---|---|---|---|---|---|---|---|---|\n");
    printRows("Even parts", divideEvenly);
    printRows("One issuer, each request", askOneIssuer);
    printRows("One issuer, batches", askForBatches);
    printRows("Holders by zone (in force)", askHolders);
    return 0;
}
