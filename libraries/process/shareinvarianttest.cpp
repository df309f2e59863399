#include "process/limitenforcer.h"

#include "core/digest.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto epoch = absl::UnixEpoch() + absl::Hours(1000);

/** Largest relative rate error of the clocks of hosts and backend servers. Far above that of real clocks, so that the margins are exercised. */
constexpr auto clockError = 0.04;

constexpr auto limitRate = 40.0;
constexpr auto limitBurst = 24.0;
constexpr auto slotsPerBackend = 3;
constexpr auto hostCount = 6;
constexpr auto backendCount = 4;
constexpr auto callTimeout = absl::Milliseconds(125);
constexpr auto requestDeadline = absl::Seconds(2);
constexpr auto simulatedTime = absl::Minutes(5);

/** Each period starts with a spike of requests. */
constexpr auto spikePeriodMs = 4000;
constexpr auto spikeMs = 1000;

/** Load between spikes as a fraction of the load during a spike. */
constexpr auto baselineLoadFraction = 0.025;

/** Shortest time between revisions. Longer than the freshness bound, so that a host whose store state stays fresh misses no revision. */
constexpr auto minimumRevisionInterval = absl::Seconds(5);

/** The results of one simulated run. */
struct Outcome
{
    int offered_ = 0;
    int admitted_ = 0;
    /** Peak level of a leaky bucket that counts all admissions and drains at the limit's rate plus the clock error: the largest burst over any window. */
    double largestBurst_ = 0;
    /** Largest sum of the tokens held by hosts and in transit. */
    double largestHeld_ = 0;
    /** Largest sum of the effective rates of the hosts. */
    double largestRate_ = 0;
    int granted_ = 0;
    int largestConcurrency_ = 0;
    /** Returns of slots that reached a lender. */
    int returns_ = 0;
};

struct SimulatedHost
{
    std::string name_;
    std::shared_ptr<LimitEnforcer> enforcer_;
    double clockRate_ = 1;
    absl::Duration clockOffset_;
    int run_ = 0;
    bool isUp_ = true;
    absl::Time pausedUntil_ = absl::InfinitePast();
    /** Until when no peer is reachable. */
    absl::Time partitionedUntil_ = absl::InfinitePast();
    /** Until when no new revision is received. */
    absl::Time storeUnreachableUntil_ = absl::InfinitePast();
    /** Local time at which the host last received the store state. */
    absl::Time newestStateAt_ = absl::InfinitePast();
    bool isTakingToken_ = false;
    bool isTakingSlot_ = false;
};

/** Hosts in simulated time, connected by calls that are lost, delayed or blocked by partitions, with pauses, restarts and revisions that move shares. */
class Simulation
{
public:
    explicit Simulation(std::uint64_t seed)
        : random_(seed)
    {
        for (auto index = 0; index < hostCount; ++index) {
            auto host = std::make_unique<SimulatedHost>();
            host->name_ = "host-" + std::to_string(index);
            host->clockRate_ = 1 + clockError * uniform(-1, 1);
            host->clockOffset_ = absl::Seconds(uniform(0, 1000));
            hosts_.push_back(std::move(host));
        }
        publish();
        for (auto &host : hosts_) {
            startHost(*host);
            scheduleArrival(*host);
            scheduleSlotArrival(*host);
            scheduleSync(*host);
            scheduleReturns(*host);
        }
        scheduleFault();
    }

    auto run() -> Outcome
    {
        runUntil(epoch + simulatedTime, []() {
            return false;
        });
        return outcome_;
    }

private:
    struct Event
    {
        absl::Time at_;
        std::uint64_t order_ = 0;
        std::function<void()> action_;

        auto operator<(const Event &other) const -> bool
        {
            return std::tie(other.at_, other.order_) < std::tie(at_, order_);
        }
    };

    /** Tokens that a lender has lent and the borrower has not received. */
    struct TokensInTransit
    {
        double tokens_ = 0;
        const SimulatedHost *borrower_ = nullptr;
        /** Local time of the borrower from which it discards the loan. */
        absl::Time expiresAt_;
    };

    auto uniform(double low, double high) -> double
    {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }

    auto chance(double probability) -> bool
    {
        return uniform(0, 1) < probability;
    }

    auto exponential(absl::Duration mean) -> absl::Duration
    {
        return mean * std::exponential_distribution<double>(1)(random_);
    }

    auto at(absl::Time time, std::function<void()> action) -> void
    {
        events_.push({ time, ++order_, std::move(action) });
    }

    auto after(absl::Duration delay, std::function<void()> action) -> void
    {
        at(now_ + delay, std::move(action));
    }

    template<typename Stop>
    auto runUntil(absl::Time end, Stop &&stop) -> void
    {
        while (!stop() && !events_.empty() && events_.top().at_ <= end) {
            const auto event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.at_);
            event.action_();
            observe();
        }
        if (!stop()) {
            now_ = std::max(now_, end);
        }
    }

    [[nodiscard]] auto localTime(const SimulatedHost &host) const -> absl::Time
    {
        return epoch + host.clockOffset_ + (now_ - epoch) * host.clockRate_;
    }

    [[nodiscard]] auto isFresh(const SimulatedHost &host) const -> bool
    {
        return localTime(host) - host.newestStateAt_ <= latestConfiguration_->platform_.freshness_;
    }

    /** Publishes a revision that declares another set of hosts, so that shares and slots change owners. */
    auto publish() -> void
    {
        auto next = std::make_shared<Configuration>();
        next->revision_ = latestConfiguration_ == nullptr ? 1 : latestConfiguration_->revision_ + 1;
        next->regions_ = { { "gisenyi", { "gisenyi-a", "gisenyi-b" } }, { "kibuye", { "kibuye-a" } } };
        const auto zones = std::vector<std::string> { "gisenyi-a", "gisenyi-b", "kibuye-a" };
        for (auto index = std::size_t { 0 }; index < hosts_.size(); ++index) {
            if (index == 0 || chance(0.8)) {
                next->entryHosts_.push_back({ hosts_[index]->name_, zones[index % zones.size()], "", "" });
            }
        }
        next->organisations_ = { { "hull", limitRate, limitBurst, 1 } };
        auto pool = Pool { "dive-log", slotsPerBackend, {}, absl::ZeroDuration() };
        for (auto index = 0; index < backendCount; ++index) {
            pool.backends_.push_back({ "backend-" + std::to_string(index), zones[static_cast<std::size_t>(index) % zones.size()], "" });
        }
        next->pools_ = { pool };
        auto route = Route {};
        route.pool_ = pool.name_;
        route.deadline_ = requestDeadline;
        next->routes_ = { route };
        latestConfiguration_ = next;
        after(minimumRevisionInterval + exponential(absl::Seconds(2)), [this]() {
            publish();
        });
    }

    auto startHost(SimulatedHost &host) -> void
    {
        ++host.run_;
        host.isUp_ = true;
        host.newestStateAt_ = absl::InfinitePast();
        host.enforcer_ = std::make_shared<LimitEnforcer>(host.name_, loanClientOf(host, host.run_));
        // Calls of the previous run may still be on the stack, so its enforcer is kept alive.
        enforcers_.push_back(host.enforcer_);
        host.isTakingToken_ = false;
        host.isTakingSlot_ = false;
    }

    [[nodiscard]] auto isConnected(const SimulatedHost &left, const SimulatedHost &right) const -> bool
    {
        return left.partitionedUntil_ <= now_ && right.partitionedUntil_ <= now_;
    }

    auto hostNamed(const std::string &name) -> SimulatedHost &
    {
        return **std::find_if(hosts_.begin(), hosts_.end(), [&](const auto &host) {
            return host->name_ == name;
        });
    }

    auto messageDelay() -> absl::Duration
    {
        return chance(0.1) ? absl::Milliseconds(uniform(0, 3000)) : absl::Milliseconds(uniform(0, 40));
    }

    /** Sends a call, runs the simulation until the reply or the timeout, and returns the reply if it arrived in time. */
    template<typename Reply>
    auto call(SimulatedHost &borrower, int run, const std::string &lenderName, const std::function<Reply(SimulatedHost &)> &serve) -> std::optional<Reply>
    {
        auto reply = std::make_shared<std::optional<Reply>>();
        const auto deadline = now_ + callTimeout;
        const auto expiresAt = localTime(borrower) + latestConfiguration_->platform_.loan_;
        deliver(borrower, hostNamed(lenderName), messageDelay(), [this, &borrower, reply, serve, expiresAt](SimulatedHost &lender) {
            const auto response = serve(lender);
            const auto transit = transits_.insert(transits_.end(), { tokensOf(response), &borrower, expiresAt });
            const auto isLost = chance(0.1);
            after(messageDelay(), [this, reply, response, transit, isLost, &borrower, &lender]() {
                transits_.erase(transit);
                if (!isLost && isConnected(borrower, lender)) {
                    *reply = response;
                }
            });
        });
        runUntil(deadline, [&]() {
            return reply->has_value();
        });
        auto received = *reply;
        const auto tokens = received.has_value() ? tokensOf(*received) : 0;
        const auto transit = transits_.insert(transits_.end(), { tokens, &borrower, expiresAt });
        // A paused thread resumes with its reply after the pause, whatever has happened meanwhile.
        while (borrower.run_ == run && borrower.pausedUntil_ > now_) {
            runUntil(borrower.pausedUntil_, []() {
                return false;
            });
        }
        transits_.erase(transit);
        return received;
    }

    auto deliver(SimulatedHost &from, SimulatedHost &to, absl::Duration delay, std::function<void(SimulatedHost &)> action) -> void
    {
        const auto isLost = chance(0.05);
        after(delay, [this, &from, &to, isLost, action = std::move(action)]() {
            if (isLost || !to.isUp_ || !isConnected(from, to)) {
                return;
            }
            const auto run = to.run_;
            at(std::max(now_, to.pausedUntil_), [&to, run, action]() {
                if (to.isUp_ && to.run_ == run) {
                    action(to);
                }
            });
        });
    }

    [[nodiscard]] static auto tokensOf(const peer::RateLoan &loan) -> double
    {
        return loan.tokens;
    }

    [[nodiscard]] static auto tokensOf(const peer::SlotLoan &loan) -> double
    {
        (void)loan;
        return 0;
    }

    auto loanClientOf(SimulatedHost &borrower, int run) -> LoanClient
    {
        auto loanClient = LoanClient {};
        loanClient.clock_ = [this, &borrower]() {
            return localTime(borrower);
        };
        loanClient.borrowRate_ =
            [this, &borrower, run](const EntryHost &lender, std::int64_t revision, const std::string &limit, const RateShare &wanted, absl::Duration) {
                return call<peer::RateLoan>(borrower, run, lender.name_, [=, this, &borrower](SimulatedHost &host) {
                    return host.enforcer_->lendRate(localTime(host), borrower.name_, revision, limit, wanted.rate_, wanted.burst_);
                });
            };
        loanClient.borrowSlots_ = [this, &borrower, run](const EntryHost &lender, std::int64_t revision, const std::string &pool, int count, absl::Duration) {
            return call<peer::SlotLoan>(borrower, run, lender.name_, [=, this, &borrower](SimulatedHost &host) {
                return host.enforcer_->lendSlots(localTime(host), borrower.name_, revision, pool, count);
            });
        };
        loanClient.returnSlots_ =
            [this, &borrower](const EntryHost &lender, const std::string &pool, std::int64_t loan, const std::map<std::string, int> &keptSlots) {
                sendReturn(borrower, lender.name_, pool, loan, keptSlots);
            };
        return loanClient;
    }

    [[nodiscard]] auto isRunning(const SimulatedHost &host) const -> bool
    {
        return host.isUp_ && host.pausedUntil_ <= now_;
    }

    /** Load comes in spikes, so that full buckets are emptied at once. */
    [[nodiscard]] auto isSpike() const -> bool
    {
        return absl::ToInt64Milliseconds(now_ - epoch) % spikePeriodMs < spikeMs;
    }

    /** The total load is eight times the limit during a spike and a fifth of the limit otherwise. The first host gets a third of it. */
    auto scheduleArrival(SimulatedHost &host) -> void
    {
        const auto loadFraction = host.name_ == "host-0" ? 1.0 / 3 : 2.0 / 3 / (hostCount - 1);
        after(exponential(absl::Seconds(1) / (8 * limitRate * loadFraction)), [this, &host]() {
            scheduleArrival(host);
            const auto arrives = isSpike() || chance(baselineLoadFraction);
            if (arrives && isRunning(host) && !host.isTakingToken_ && isFresh(host)) {
                requestToken(host);
            }
        });
    }

    auto requestToken(SimulatedHost &host) -> void
    {
        ++outcome_.offered_;
        const auto run = host.run_;
        const auto enforcer = host.enforcer_;
        host.isTakingToken_ = true;
        const auto isTaken = enforcer->takeToken(localTime(host), organisationLimitName("hull"));
        if (host.run_ != run || !host.isUp_) {
            return;
        }
        host.isTakingToken_ = false;
        if (isTaken && isFresh(host)) {
            countAdmission();
        }
    }

    auto countAdmission() -> void
    {
        ++outcome_.admitted_;
        const auto rate = limitRate * (1 + clockError);
        bucketLevel_ = std::max(0.0, bucketLevel_ - rate * absl::ToDoubleSeconds(now_ - bucketUpdatedAt_)) + 1;
        bucketUpdatedAt_ = now_;
        outcome_.largestBurst_ = std::max(outcome_.largestBurst_, bucketLevel_);
    }

    auto scheduleSlotArrival(SimulatedHost &host) -> void
    {
        const auto mean = host.name_ == "host-0" ? absl::Milliseconds(60) : absl::Milliseconds(400);
        after(exponential(mean), [this, &host]() {
            scheduleSlotArrival(host);
            if (isRunning(host) && !host.isTakingSlot_ && isFresh(host)) {
                requestSlot(host);
            }
        });
    }

    auto requestSlot(SimulatedHost &host) -> void
    {
        const auto run = host.run_;
        const auto enforcer = host.enforcer_;
        const auto local = localTime(host);
        host.isTakingSlot_ = true;
        const auto grant = enforcer->acquireSlot(local, { "dive-log", "hull", "", {}, local + requestDeadline, local });
        if (host.run_ != run || !host.isUp_) {
            return;
        }
        host.isTakingSlot_ = false;
        if (!grant.has_value()) {
            return;
        }
        const auto left = grant->deadline_ - localTime(host);
        if (!isFresh(host) || left <= absl::ZeroDuration()) {
            enforcer->releaseSlot(localTime(host), *grant, true);
            return;
        }
        ++outcome_.granted_;
        runOnBackend(host, run, *grant, left);
    }

    /** The backend server stops the request at the deadline, measured by its own clock from the arrival; the host may stop waiting earlier. */
    auto runOnBackend(SimulatedHost &host, int run, const SlotGrant &grant, absl::Duration timeLeft) -> void
    {
        const auto name = grant.backend_.name_;
        const auto arrivalDelay = absl::Milliseconds(uniform(0, 20));
        const auto maximumServiceTime = timeLeft / (1 + clockError * uniform(-1, 1));
        const auto serviceTime = chance(0.2) ? maximumServiceTime : std::min(maximumServiceTime, exponential(absl::Milliseconds(500)));
        after(arrivalDelay, [this, name]() {
            ++runningRequests_[name];
            outcome_.largestConcurrency_ = std::max(outcome_.largestConcurrency_, runningRequests_[name]);
        });
        after(arrivalDelay + serviceTime, [this, name]() {
            --runningRequests_[name];
        });
        const auto stopsWaiting = chance(0.2);
        const auto releaseDelay = stopsWaiting ? absl::Milliseconds(uniform(0, 300)) : arrivalDelay + serviceTime;
        const auto certainlyEnded = releaseDelay >= arrivalDelay + serviceTime;
        after(releaseDelay, [this, &host, run, grant, certainlyEnded]() {
            at(std::max(now_, host.pausedUntil_), [this, &host, run, grant, certainlyEnded]() {
                if (host.isUp_ && host.run_ == run) {
                    host.enforcer_->releaseSlot(localTime(host), grant, certainlyEnded);
                }
            });
        });
    }

    auto scheduleReturns(SimulatedHost &host) -> void
    {
        after(absl::Milliseconds(uniform(20, 60)), [this, &host]() {
            scheduleReturns(host);
            if (isRunning(host)) {
                host.enforcer_->returnIdleSlots(localTime(host));
            }
        });
    }

    /** Sends a return that may be lost, duplicated, reordered, or delayed beyond the end of its loan. */
    auto
    sendReturn(SimulatedHost &borrower, const std::string &lenderName, const std::string &pool, std::int64_t loan, const std::map<std::string, int> &keptSlots)
        -> void
    {
        const auto copies = chance(0.2) ? 0 : (chance(0.3) ? 3 : 1);
        for (auto copy = 0; copy < copies; ++copy) {
            const auto delay = chance(0.2) ? absl::Milliseconds(uniform(0, 8000)) : messageDelay();
            deliver(borrower, hostNamed(lenderName), delay, [this, pool, loan, keptSlots](SimulatedHost &lender) {
                ++outcome_.returns_;
                lender.enforcer_->acceptReturnedSlots(localTime(lender), pool, loan, keptSlots);
            });
        }
    }

    auto scheduleSync(SimulatedHost &host) -> void
    {
        after(absl::Milliseconds(uniform(100, 500)), [this, &host]() {
            scheduleSync(host);
            if (!isRunning(host) || host.partitionedUntil_ > now_ || host.storeUnreachableUntil_ > now_) {
                return;
            }
            const auto local = localTime(host);
            host.enforcer_->configure(local, latestConfiguration_, local - host.newestStateAt_);
            host.newestStateAt_ = local;
        });
    }

    auto scheduleFault() -> void
    {
        after(exponential(absl::Milliseconds(1200)), [this]() {
            scheduleFault();
            auto &host = *hosts_[static_cast<std::size_t>(uniform(0, hostCount - 1e-6))];
            const auto kind = uniform(0, 1);
            if (kind < 0.1) {
                partitionHalfFromStore();
            } else if (kind < 0.4) {
                host.pausedUntil_ = std::max(host.pausedUntil_, now_ + exponential(absl::Seconds(2)));
            } else if (kind < 0.7) {
                host.partitionedUntil_ = std::max(host.partitionedUntil_, now_ + exponential(absl::Seconds(4)));
            } else if (kind < 0.9 && host.isUp_) {
                host.isUp_ = false;
                after(exponential(absl::Milliseconds(500)), [this, &host]() {
                    startHost(host);
                });
            }
        });
    }

    /** Makes the store unreachable for about half of the hosts. They still reach each other and go on lending under the old revision. */
    auto partitionHalfFromStore() -> void
    {
        const auto until = now_ + exponential(absl::Seconds(8));
        for (auto &host : hosts_) {
            if (chance(0.5)) {
                host->storeUnreachableUntil_ = std::max(host->storeUnreachableUntil_, until);
            }
        }
    }

    /** Records the tokens and rates held now, including tokens in transit. Each bucket is first advanced to the present, as when its host uses it. */
    auto observe() -> void
    {
        auto tokens = 0.0;
        auto rate = 0.0;
        for (const auto &host : hosts_) {
            if (host->isUp_ && isFresh(*host)) {
                auto bucket = host->enforcer_->bucketOf(organisationLimitName("hull"));
                advance(bucket, localTime(*host));
                tokens += bucket.tokens_;
                rate += effectiveShare(bucket).rate_;
            }
        }
        for (const auto &transit : transits_) {
            tokens += localTime(*transit.borrower_) < transit.expiresAt_ ? transit.tokens_ : 0;
        }
        outcome_.largestHeld_ = std::max(outcome_.largestHeld_, tokens);
        outcome_.largestRate_ = std::max(outcome_.largestRate_, rate);
    }

    std::mt19937_64 random_;
    absl::Time now_ = epoch;
    std::uint64_t order_ = 0;
    std::priority_queue<Event> events_;
    std::vector<std::unique_ptr<SimulatedHost>> hosts_;
    std::vector<std::shared_ptr<LimitEnforcer>> enforcers_;
    ConfigurationPointer latestConfiguration_;
    std::list<TokensInTransit> transits_;
    std::map<std::string, int> runningRequests_;
    double bucketLevel_ = 0;
    absl::Time bucketUpdatedAt_ = epoch;
    Outcome outcome_;
};

}

// Guards against hosts that together admit more than a limit or use more slots than a backend server has, after any order of losses, delays,
// partitions, pauses, restarts and revisions.
TEST_CASE("shares and loans never add up to more than a limit or a backend server's slots")
{
    auto admitted = 0;
    auto granted = 0;
    auto returns = 0;
    for (auto seed = std::uint64_t { 1 }; seed <= 12; ++seed) {
        CAPTURE(seed);
        auto simulation = Simulation(seed);
        const auto outcome = simulation.run();
        CHECK(outcome.largestHeld_ <= limitBurst + 1e-6);
        CHECK(outcome.largestRate_ <= limitRate + 1e-6);
        CHECK(outcome.largestBurst_ <= limitBurst + 1e-6);
        CHECK(outcome.largestConcurrency_ <= slotsPerBackend);
        admitted += outcome.admitted_;
        granted += outcome.granted_;
        returns += outcome.returns_;
        MESSAGE("seed " << seed << " offered " << outcome.offered_ << " admitted " << outcome.admitted_ << " burst " << outcome.largestBurst_ << " held "
                        << outcome.largestHeld_ << " rate " << outcome.largestRate_ << " granted " << outcome.granted_ << " use " << outcome.largestConcurrency_
                        << " returns " << outcome.returns_);
    }
    // The bounds would hold trivially if few requests were admitted.
    CHECK(admitted > 12 * 1000);
    CHECK(granted > 12 * 300);
    CHECK(returns > 12 * 30);
}
