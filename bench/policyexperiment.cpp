/** Compares policies for rate limits, backend selection and region overflow in simulated time with fixed seeds. Prints the tables of docs/experiments.md. */
#include "core/digest.h"
#include "process/limitenforcer.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto epoch = absl::UnixEpoch() + absl::Hours(1000);
constexpr auto seeds = std::array<std::uint64_t, 3> { 1, 2, 3 };
constexpr auto zoneCount = 6;
constexpr auto hostCount = 18;

/** Time after which all shares of a host's first configuration are effective. */
constexpr auto startupTime = absl::Seconds(30);

using Random = std::mt19937_64;

auto uniform(Random &random) -> double
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

auto exponential(Random &random, double mean) -> double
{
    return std::exponential_distribution<double>(1 / mean)(random);
}

auto zoneName(int zone) -> std::string
{
    return fmt::format("region-{}-{}", zone / 2, zone % 2 == 0 ? "a" : "b");
}

auto hostName(int host) -> std::string
{
    return fmt::format("host-{}", host);
}

auto makeConfiguration() -> std::shared_ptr<Configuration>
{
    auto configuration = std::make_shared<Configuration>();
    configuration->revision_ = 1;
    for (auto region = 0; region < zoneCount / 2; ++region) {
        configuration->regions_.push_back({ fmt::format("region-{}", region), { zoneName(2 * region), zoneName(2 * region + 1) } });
    }
    for (auto host = 0; host < hostCount; ++host) {
        configuration->entryHosts_.push_back({ hostName(host), zoneName(host % zoneCount), "", "" });
    }
    return configuration;
}

/** The limit enforcers of all hosts with a shared simulated clock. Calls between them take no simulated time; callTime_ sums their latencies. */
class SimulatedFleet
{
public:
    explicit SimulatedFleet(const std::shared_ptr<Configuration> &configuration)
        : configuration_(configuration)
    {
        for (auto host = 0; host < hostCount; ++host) {
            enforcers_.push_back(std::make_unique<LimitEnforcer>(hostName(host), makeLoanClient(host)));
            enforcers_.back()->configure(now_, configuration_);
        }
        now_ += startupTime;
    }

    absl::Time now_ = epoch;
    std::vector<std::unique_ptr<LimitEnforcer>> enforcers_;
    std::array<bool, hostCount> isUp_ = []() {
        auto up = std::array<bool, hostCount> {};
        up.fill(true);
        return up;
    }();
    int calls_ = 0;
    /** Latency in seconds of all calls since it was last set to 0. */
    double callTime_ = 0;

private:
    auto callHost(int from, const EntryHost &lender) -> int
    {
        const auto to = std::stoi(lender.name_.substr(5));
        ++calls_;
        const auto isSameZone = from % zoneCount == to % zoneCount;
        const auto isSameRegion = from % zoneCount / 2 == to % zoneCount / 2;
        callTime_ += isSameZone ? 0.0002 : (isSameRegion ? 0.001 : 0.055);
        return isUp_[static_cast<std::size_t>(to)] ? to : -1;
    }

    auto makeLoanClient(int host) -> LoanClient
    {
        auto loanClient = LoanClient {};
        loanClient.clock_ = [this]() {
            return now_;
        };
        loanClient.borrowRate_ = [this,
                                  host](const EntryHost &lender, std::int64_t revision, const std::string &limit, const RateShare &wanted, absl::Duration) {
            const auto to = callHost(host, lender);
            return to < 0 ? std::optional<peer::RateLoan> {}
                          : enforcers_[static_cast<std::size_t>(to)]->lendRate(now_, hostName(host), revision, limit, wanted.rate_, wanted.burst_);
        };
        loanClient.borrowSlots_ = [this, host](const EntryHost &lender, std::int64_t revision, const std::string &pool, int count, absl::Duration) {
            const auto to = callHost(host, lender);
            return to < 0 ? std::optional<peer::SlotLoan> {} : enforcers_[static_cast<std::size_t>(to)]->lendSlots(now_, hostName(host), revision, pool, count);
        };
        loanClient.returnSlots_ = [this, host](const EntryHost &lender, const std::string &pool, std::int64_t loan, const std::map<std::string, int> &kept) {
            const auto latency = callTime_;
            const auto to = callHost(host, lender);
            // A background thread returns slots in the daemon, so these calls add no latency to a request.
            callTime_ = latency;
            if (to >= 0) {
                enforcers_[static_cast<std::size_t>(to)]->acceptReturnedSlots(now_, pool, loan, kept);
            }
        };
        return loanClient;
    }

    ConfigurationPointer configuration_;
};

// ---- Rates ----

constexpr auto rateRunSeconds = 100.0;
constexpr auto zoneLostFrom = 30.0;
constexpr auto zoneLostUntil = 45.0;
constexpr auto storeDownFrom = 60.0;
constexpr auto storeDownUntil = 75.0;
constexpr auto holderPausedFrom = 85.0;
constexpr auto holderPausedUntil = 90.0;
constexpr auto leaseSeconds = 3.0;
constexpr auto organisationRates = std::array<double, 8> { 600, 400, 300, 60, 40, 30, 20, 10 };
constexpr auto offeredFraction = 0.8;
constexpr auto greedyOrganisation = 1;
constexpr auto greedyFactor = 4.0;

/** A token bucket. Times are in seconds. */
struct Bucket
{
    double rate_ = 0;
    double burst_ = 0;
    double tokens_ = 0;
    double updatedAt_ = 0;

    auto take(double now, double wanted) -> double
    {
        tokens_ = std::min(burst_, tokens_ + rate_ * (now - updatedAt_));
        updatedAt_ = now;
        const auto taken = std::floor(std::min(tokens_, wanted) + 1e-9);
        tokens_ -= taken;
        return taken;
    }
};

using RatePolicy = std::function<bool(double now, int host, int organisation)>;

struct RateFigures
{
    double excess_ = 0;
    double wrongfulRefusalPercent_ = 0;
    double lowestServedFraction_ = 2;
};

auto burstOf(double rate) -> double
{
    return std::max(4.0, rate / 4);
}

auto isZoneLost(double now, int host) -> bool
{
    return host % zoneCount == 0 && now >= zoneLostFrom && now < zoneLostUntil;
}

/** Picks the host that a caller uses: 70%, 20% and 10% of the callers are in the three regions, and each uses one host from its cached lookup. */
auto pickCallerHost(const Configuration &configuration, Random &random, double now, int organisation) -> int
{
    const auto draw = uniform(random);
    const auto region = draw < 0.7 ? 0 : (draw < 0.9 ? 1 : 2);
    const auto hosts = organisationHosts(configuration, fmt::format("org-{}", organisation), fmt::format("region-{}", region));
    // A product of two uniform variables favours the first hosts, since cached lookups are not spread evenly.
    const auto first = static_cast<std::size_t>(uniform(random) * uniform(random) * static_cast<double>(hosts.size()));
    for (auto step = std::size_t { 0 }; step < hosts.size(); ++step) {
        const auto host = std::stoi(hosts[(first + step) % hosts.size()].name_.substr(5));
        if (!isZoneLost(now, host)) {
            return host;
        }
    }
    return 1;
}

auto runRates(const Configuration &configuration, std::uint64_t seed, const RatePolicy &admit) -> RateFigures
{
    auto random = Random(seed);
    auto figures = RateFigures {};
    struct Arrival
    {
        double at_;
        int organisation_;
    };
    auto arrivals = std::vector<Arrival> {};
    for (auto organisation = 0; organisation < 8; ++organisation) {
        const auto rate = organisationRates[static_cast<std::size_t>(organisation)] * (organisation == greedyOrganisation ? greedyFactor : offeredFraction);
        for (auto at = exponential(random, 1 / rate); at < rateRunSeconds; at += exponential(random, 1 / rate)) {
            arrivals.push_back({ at, organisation });
        }
    }
    std::sort(arrivals.begin(), arrivals.end(), [](const Arrival &left, const Arrival &right) {
        return left.at_ < right.at_;
    });
    auto idealBuckets = std::vector<Bucket> {};
    // Tokens left after the policy's admissions; below zero, the policy has admitted more than the rate and burst allow.
    auto meters = std::vector<Bucket> {};
    auto ideallyAdmitted = std::array<double, 8> {};
    auto admitted = std::array<double, 8> {};
    for (const auto rate : organisationRates) {
        idealBuckets.push_back({ rate, burstOf(rate), burstOf(rate), 0 });
        meters.push_back({ rate, burstOf(rate), burstOf(rate), 0 });
    }
    for (const auto &arrival : arrivals) {
        const auto index = static_cast<std::size_t>(arrival.organisation_);
        const auto host = pickCallerHost(configuration, random, arrival.at_, arrival.organisation_);
        ideallyAdmitted[index] += idealBuckets[index].take(arrival.at_, 1);
        auto &meter = meters[index];
        meter.tokens_ = std::min(meter.burst_, meter.tokens_ + meter.rate_ * (arrival.at_ - meter.updatedAt_));
        meter.updatedAt_ = arrival.at_;
        if (admit(arrival.at_, host, arrival.organisation_)) {
            admitted[index] += 1;
            meter.tokens_ -= 1;
            figures.excess_ = std::max(figures.excess_, -meter.tokens_);
        }
    }
    auto totalIdeallyAdmitted = 0.0;
    auto wrongfulRefusals = 0.0;
    for (auto index = std::size_t { 0 }; index < ideallyAdmitted.size(); ++index) {
        if (index != greedyOrganisation) {
            totalIdeallyAdmitted += ideallyAdmitted[index];
            wrongfulRefusals += std::max(0.0, ideallyAdmitted[index] - admitted[index]);
        }
        figures.lowestServedFraction_ = std::min(figures.lowestServedFraction_, admitted[index] / ideallyAdmitted[index]);
    }
    figures.wrongfulRefusalPercent_ = 100.0 * wrongfulRefusals / totalIdeallyAdmitted;
    return figures;
}

/** Token buckets with fixed shares of each limit, assigned before the first request. */
auto fixedPolicy(const std::vector<std::vector<HostShare>> &sharesByOrganisation) -> RatePolicy
{
    auto buckets = std::make_shared<std::map<std::pair<int, int>, Bucket>>();
    for (auto organisation = 0; organisation < 8; ++organisation) {
        for (const auto &hostShare : sharesByOrganisation[static_cast<std::size_t>(organisation)]) {
            (*buckets)[{ organisation, std::stoi(hostShare.host_.substr(5)) }] = {
                hostShare.share_.rate_, hostShare.share_.burst_, hostShare.share_.burst_, 0
            };
        }
    }
    return [buckets](double now, int host, int organisation) {
        const auto bucket = buckets->find({ organisation, host });
        return bucket != buckets->end() && bucket->second.take(now, 1) >= 1;
    };
}

/**
 * One host holds a lease in the store and one token bucket per organisation. The other hosts fetch tokens in batches, each worth 50 ms of an equal
 * share of the rate. The holder is in the zone that is lost. During the store outage the lease expires and no host can acquire it. After a pause, the
 * holder responds to the calls that were waiting before it detects that another host has acquired the lease.
 */
auto tokenServerPolicy() -> RatePolicy
{
    struct State
    {
        std::vector<Bucket> server_;
        std::map<std::pair<int, int>, double> cached_;
        std::map<std::pair<int, int>, double> waiting_;
        int takeovers_ = 0;
        bool hasRespondedLate_ = false;
    };
    auto state = std::make_shared<State>();
    for (const auto rate : organisationRates) {
        state->server_.push_back({ rate, burstOf(rate), burstOf(rate), 0 });
    }
    return [state](double now, int host, int organisation) {
        const auto takeOverLease = [&](int number) {
            if (state->takeovers_ < number) {
                state->takeovers_ = number;
                for (auto &bucket : state->server_) {
                    bucket.tokens_ = 0;
                    bucket.updatedAt_ = now;
                }
            }
        };
        const auto key = std::pair(organisation, host);
        const auto batch = std::max(1.0, std::ceil(organisationRates[static_cast<std::size_t>(organisation)] / hostCount * 0.05));
        if (state->cached_[key] >= 1) {
            state->cached_[key] -= 1;
            return true;
        }
        const auto isLeaseGap = (now >= zoneLostFrom && now < zoneLostFrom + leaseSeconds) || (now >= storeDownFrom + leaseSeconds && now < storeDownUntil)
            || (now >= holderPausedFrom && now < holderPausedFrom + leaseSeconds);
        if (isLeaseGap) {
            if (now >= holderPausedFrom && now < holderPausedFrom + leaseSeconds) {
                state->waiting_[key] = batch;
            }
            return false;
        }
        takeOverLease(now >= holderPausedFrom ? 3 : (now >= storeDownUntil ? 2 : (now >= zoneLostFrom ? 1 : 0)));
        if (now >= holderPausedUntil && !state->hasRespondedLate_) {
            state->hasRespondedLate_ = true;
            for (const auto &[waitingKey, tokens] : state->waiting_) {
                state->cached_[waitingKey] += tokens;
            }
        }
        const auto fetched = state->server_[static_cast<std::size_t>(organisation)].take(now, batch);
        state->cached_[key] += fetched;
        if (state->cached_[key] < 1) {
            return false;
        }
        state->cached_[key] -= 1;
        return true;
    };
}

auto limitEnforcerPolicy(const std::shared_ptr<SimulatedFleet> &fleet) -> RatePolicy
{
    const auto begin = fleet->now_;
    return [fleet, begin](double now, int host, int organisation) {
        fleet->now_ = begin + absl::Seconds(now);
        for (auto index = 0; index < hostCount; ++index) {
            fleet->isUp_[static_cast<std::size_t>(index)] = !isZoneLost(now, index);
        }
        return fleet->enforcers_[static_cast<std::size_t>(host)]->takeToken(fleet->now_, organisationLimitName(fmt::format("org-{}", organisation)));
    };
}

auto printRates() -> void
{
    auto configuration = makeConfiguration();
    for (auto organisation = 0; organisation < 8; ++organisation) {
        const auto rate = organisationRates[static_cast<std::size_t>(organisation)];
        configuration->organisations_.push_back({ fmt::format("org-{}", organisation), rate, burstOf(rate), 1 });
    }
    auto equalShares = std::vector<std::vector<HostShare>> {};
    auto subsetShares = std::vector<std::vector<HostShare>> {};
    for (const auto &organisation : configuration->organisations_) {
        auto hostShares = std::vector<HostShare> {};
        for (auto host = 0; host < hostCount; ++host) {
            hostShares.push_back({ hostName(host), { organisation.rate_ / hostCount, organisation.burst_ / hostCount } });
        }
        equalShares.push_back(hostShares);
        subsetShares.push_back(organisationShares(*configuration, organisation));
    }
    fmt::print("| Rate policy | Largest excess over rate and burst (requests) | Wrongful refusals (% of due, organisations within their rate) | Worst-served "
               "organisation's part of its due |\n");
    fmt::print("|---|---|---|---|\n");
    const auto policies = std::vector<std::pair<std::string, std::function<RatePolicy()>>> {
        { "Fixed equal split over all hosts",
          [&]() {
              return fixedPolicy(equalShares);
          } },
        { "Fixed split over the organisation's hosts",
          [&]() {
              return fixedPolicy(subsetShares);
          } },
        { "Token server under a store lease",
          [&]() {
              return tokenServerPolicy();
          } },
        { "Shares with loans (default)",
          [&]() {
              return limitEnforcerPolicy(std::make_shared<SimulatedFleet>(configuration));
          } },
    };
    for (const auto &[name, make] : policies) {
        auto excess = 0.0;
        auto wrongfulRefusalPercent = 0.0;
        auto lowestServedFraction = 2.0;
        for (const auto seed : seeds) {
            const auto figures = runRates(*configuration, seed, make());
            excess = std::max(excess, figures.excess_);
            wrongfulRefusalPercent += figures.wrongfulRefusalPercent_ / static_cast<double>(seeds.size());
            lowestServedFraction = std::min(lowestServedFraction, figures.lowestServedFraction_);
        }
        fmt::print("| {} | {:.1f} | {:.2f} | {:.3f} |\n", name, excess, wrongfulRefusalPercent, lowestServedFraction);
    }
    fmt::print("\n");
}

// ---- Backend choice ----

constexpr auto serviceSeconds = 0.05;
constexpr auto simulatedSeconds = 10.0;
constexpr auto reportInterval = 0.5;
constexpr auto maximumWait = 0.5;
constexpr auto retryInterval = 0.005;
/** Interval in seconds at which idle borrowed slots are returned, as in the daemon. */
constexpr auto returnInterval = 0.02;

struct PoolSize
{
    std::string name_;
    int backends_;
    int slots_;
};

enum class BackendPolicy {
    LeastLoaded,
    TwoChoices,
    SlotShares,
};

struct PoolFigures
{
    std::vector<double> latencies_;
    int requests_ = 0;
    int overloads_ = 0;
    int refused_ = 0;
};

/** Simulates one pool under one policy. Load reports are up to one report interval old. A backend server slows down in proportion beyond its slots. */
class PoolSimulation
{
public:
    PoolSimulation(const PoolSize &size, BackendPolicy policy, double load, std::uint64_t seed)
        : size_(size)
        , policy_(policy)
        , load_(load)
        , random_(seed)
        , running_(static_cast<std::size_t>(size.backends_))
        , reported_(running_.size())
        , inFlightByHost_(running_.size() * hostCount)
    {
        auto configuration = makeConfiguration();
        auto pool = Pool { "pool", size.slots_, {}, absl::ZeroDuration() };
        for (auto backend = 0; backend < size.backends_; ++backend) {
            pool.backends_.push_back({ std::to_string(backend), zoneName(backend % zoneCount), "" });
        }
        configuration->pools_.push_back(pool);
        fleet_ = std::make_unique<SimulatedFleet>(configuration);
        begin_ = fleet_->now_;
    }

    auto run() -> PoolFigures
    {
        const auto rate = load_ * size_.backends_ * size_.slots_ / serviceSeconds;
        auto weights = std::vector<double> {};
        for (auto host = 0; host < hostCount; ++host) {
            // The load is skewed: the first host of each zone gets three times the load of the last.
            const auto rank = host / zoneCount;
            const auto last = hostCount / zoneCount - 1;
            weights.push_back(3 - 2.0 * rank / last);
        }
        auto hosts = std::discrete_distribution<int>(weights.begin(), weights.end());
        for (auto at = exponential(random_, 1 / rate); at < simulatedSeconds; at += exponential(random_, 1 / rate)) {
            const auto host = hosts(random_);
            schedule(at, [this, at, host]() {
                handleArrival(at, host);
            });
        }
        for (auto at = 0.0; at < simulatedSeconds; at += reportInterval) {
            schedule(at, [this]() {
                reported_ = running_;
            });
        }
        for (auto at = 0.0; at < simulatedSeconds; at += returnInterval) {
            schedule(at, [this]() {
                returnIdleSlots();
            });
        }
        while (!events_.empty()) {
            const auto event = events_.top();
            events_.pop();
            now_ = event.at_;
            event.action_();
        }
        return figures_;
    }

private:
    struct Event
    {
        double at_;
        std::uint64_t order_;
        std::function<void()> action_;

        auto operator<(const Event &other) const -> bool
        {
            return std::tie(other.at_, other.order_) < std::tie(at_, order_);
        }
    };

    auto schedule(double at, std::function<void()> action) -> void
    {
        events_.push({ at, ++order_, std::move(action) });
    }

    [[nodiscard]] auto networkTime(int host, int backend) const -> double
    {
        const auto isSameRegion = host % zoneCount / 2 == backend % zoneCount / 2;
        return isSameRegion ? 0.001 : 0.055;
    }

    [[nodiscard]] auto inFlightIndex(int host, int backend) const -> std::size_t
    {
        return static_cast<std::size_t>(host) * static_cast<std::size_t>(size_.backends_) + static_cast<std::size_t>(backend);
    }

    [[nodiscard]] auto estimatedLoad(int host, int backend) const -> double
    {
        return reported_[static_cast<std::size_t>(backend)] + inFlightByHost_[inFlightIndex(host, backend)];
    }

    /** Backend servers of the host's region with a free slot by the estimated load; all backend servers if there is none. */
    [[nodiscard]] auto candidates(int host) const -> std::vector<int>
    {
        auto localBackends = std::vector<int> {};
        auto all = std::vector<int> {};
        for (auto backend = 0; backend < size_.backends_; ++backend) {
            all.push_back(backend);
            if (networkTime(host, backend) < 0.01 && estimatedLoad(host, backend) < size_.slots_) {
                localBackends.push_back(backend);
            }
        }
        return localBackends.empty() ? all : localBackends;
    }

    auto pickUncoordinated(int host) -> int
    {
        const auto candidateBackends = candidates(host);
        const auto draw = [&]() {
            return candidateBackends[static_cast<std::size_t>(uniform(random_) * static_cast<double>(candidateBackends.size()))];
        };
        auto best = draw();
        const auto tries = policy_ == BackendPolicy::TwoChoices ? 1 : static_cast<int>(candidateBackends.size());
        for (auto index = 0; index < tries; ++index) {
            const auto other = policy_ == BackendPolicy::TwoChoices ? draw() : candidateBackends[static_cast<std::size_t>(index)];
            best = estimatedLoad(host, other) < estimatedLoad(host, best) ? other : best;
        }
        return best;
    }

    auto handleArrival(double arrivedAt, int host) -> void
    {
        ++figures_.requests_;
        if (policy_ == BackendPolicy::SlotShares) {
            trySlot(arrivedAt, host);
            return;
        }
        start(arrivedAt, now_, host, pickUncoordinated(host), []() {});
    }

    auto returnIdleSlots() -> void
    {
        fleet_->now_ = begin_ + absl::Seconds(now_);
        if (policy_ == BackendPolicy::SlotShares) {
            for (auto &enforcer : fleet_->enforcers_) {
                enforcer->returnIdleSlots(fleet_->now_);
            }
        }
    }

    auto trySlot(double arrivedAt, int host) -> void
    {
        fleet_->now_ = begin_ + absl::Seconds(now_);
        fleet_->callTime_ = 0;
        auto &enforcer = *fleet_->enforcers_[static_cast<std::size_t>(host)];
        const auto grant = enforcer.acquireSlot(fleet_->now_, { "pool", "org", "", {}, fleet_->now_ + absl::Seconds(2), fleet_->now_ });
        if (!grant.has_value()) {
            if (now_ - arrivedAt > maximumWait) {
                ++figures_.refused_;
                return;
            }
            schedule(now_ + retryInterval, [this, arrivedAt, host]() {
                trySlot(arrivedAt, host);
            });
            return;
        }
        start(arrivedAt, now_ + fleet_->callTime_, host, std::stoi(grant->backend_.name_), [this, host, grant]() {
            fleet_->now_ = begin_ + absl::Seconds(now_);
            fleet_->enforcers_[static_cast<std::size_t>(host)]->releaseSlot(fleet_->now_, *grant, true);
        });
    }

    auto start(double arrivedAt, double startsAt, int host, int backend, std::function<void()> done) -> void
    {
        auto &inFlightOfHost = inFlightByHost_[inFlightIndex(host, backend)];
        auto &running = running_[static_cast<std::size_t>(backend)];
        ++inFlightOfHost;
        schedule(startsAt, [this, &inFlightOfHost, &running, arrivedAt, host, backend, done = std::move(done)]() {
            running += 1;
            figures_.overloads_ += running > size_.slots_ ? 1 : 0;
            const auto slowdown = std::max(1.0, running / size_.slots_);
            schedule(now_ + exponential(random_, serviceSeconds) * slowdown, [this, &inFlightOfHost, &running, arrivedAt, host, backend, done]() {
                running -= 1;
                --inFlightOfHost;
                figures_.latencies_.push_back(now_ - arrivedAt + networkTime(host, backend));
                done();
            });
        });
    }

    PoolSize size_;
    BackendPolicy policy_;
    double load_;
    Random random_;
    double now_ = 0;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<double> running_;
    std::vector<double> reported_;
    std::vector<int> inFlightByHost_;
    std::unique_ptr<SimulatedFleet> fleet_;
    absl::Time begin_;
    PoolFigures figures_;
};

auto percentile(std::vector<double> values, double fraction) -> double
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0 : values[std::min(values.size() - 1, static_cast<std::size_t>(fraction * static_cast<double>(values.size())))] * 1000;
}

/** Highest load in percent at which at most one request in a thousand is refused or starts on a full backend server. */
auto highestCleanLoad(const PoolSize &size, BackendPolicy policy) -> int
{
    auto highest = 0;
    for (const auto percent : { 30, 40, 50, 60, 70, 80, 90 }) {
        const auto figures = PoolSimulation(size, policy, percent / 100.0, 7).run();
        if ((figures.overloads_ + figures.refused_) * 1000 > figures.requests_) {
            break;
        }
        highest = percent;
    }
    return highest;
}

auto printBackendPolicies() -> void
{
    fmt::print("| Pool | Backend choice at 70% load | p50 (ms) | p99 (ms) | Overloads (% of requests) | Refused (%) | Highest clean load (%) |\n");
    fmt::print("|---|---|---|---|---|---|---|\n");
    const auto names = std::map<BackendPolicy, std::string> {
        { BackendPolicy::LeastLoaded, "least loaded, uncoordinated" },
        { BackendPolicy::TwoChoices, "two random choices" },
        { BackendPolicy::SlotShares, "slot shares with loans (default)" },
    };
    for (const auto &size : std::vector<PoolSize> { { "20 x 9", 20, 9 }, { "10 x 4", 10, 4 }, { "20 x 3", 20, 3 }, { "10 x 3", 10, 3 } }) {
        for (const auto &[policy, name] : names) {
            auto all = PoolFigures {};
            for (const auto seed : seeds) {
                const auto figures = PoolSimulation(size, policy, 0.7, seed).run();
                all.latencies_.insert(all.latencies_.end(), figures.latencies_.begin(), figures.latencies_.end());
                all.requests_ += figures.requests_;
                all.overloads_ += figures.overloads_;
                all.refused_ += figures.refused_;
            }
            fmt::print("| {} | {} | {:.1f} | {:.1f} | {:.2f} | {:.2f} | {} |\n",
                       size.name_,
                       name,
                       percentile(all.latencies_, 0.5),
                       percentile(all.latencies_, 0.99),
                       100.0 * all.overloads_ / all.requests_,
                       100.0 * all.refused_ / all.requests_,
                       highestCleanLoad(size, policy));
        }
    }
    fmt::print("\n");
}

// ---- Region overflow ----

/** Three regions of 60 slots; the first is offered 120% of its slots, the others 50%. A request overflows to another region if the fraction of its region's
 * slots in use has reached the threshold. */
auto printOverflow() -> void
{
    constexpr auto slots = 60;
    fmt::print("| Region overflow | p50 (ms) | p99 (ms) | Moved between regions (%) | Refused (%) |\n|---|---|---|---|---|\n");
    for (const auto threshold : { 1.0, 0.8 }) {
        auto latencies = std::vector<double> {};
        auto requests = 0;
        auto moved = 0;
        auto refused = 0;
        for (const auto seed : seeds) {
            auto random = Random(seed);
            auto endTimes = std::array<std::priority_queue<double, std::vector<double>, std::greater<>>, 3> {};
            const auto loads = std::array<double, 3> { 1.2, 0.5, 0.5 };
            auto regions = std::discrete_distribution<std::size_t>(loads.begin(), loads.end());
            const auto rate = (loads[0] + loads[1] + loads[2]) * slots / serviceSeconds;
            for (auto at = exponential(random, 1 / rate); at < simulatedSeconds; at += exponential(random, 1 / rate)) {
                ++requests;
                const auto home = regions(random);
                for (auto &region : endTimes) {
                    while (!region.empty() && region.top() <= at) {
                        region.pop();
                    }
                }
                auto target = home;
                for (auto other = std::size_t { 0 }; other < endTimes.size() && static_cast<double>(endTimes[home].size()) >= threshold * slots; ++other) {
                    target = endTimes[other].size() < endTimes[target].size() ? other : target;
                }
                if (endTimes[target].size() >= slots) {
                    ++refused;
                    continue;
                }
                const auto service = exponential(random, serviceSeconds);
                endTimes[target].push(at + service);
                moved += target == home ? 0 : 1;
                latencies.push_back(service + (target == home ? 0.001 : 0.055));
            }
        }
        fmt::print("| {} | {:.1f} | {:.1f} | {:.1f} | {:.2f} |\n",
                   threshold == 1.0 ? "when no slot is free (default)" : "from 80% of the slots in use",
                   percentile(latencies, 0.5),
                   percentile(latencies, 0.99),
                   100.0 * moved / requests,
                   100.0 * refused / requests);
    }
}

}

auto main() -> int
{
    printRates();
    printBackendPolicies();
    printOverflow();
    return 0;
}
