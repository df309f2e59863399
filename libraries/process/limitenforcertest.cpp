#include "process/limitenforcer.h"

#include "core/clock.h"

#include <doctest/doctest.h>

#include <array>
#include <atomic>
#include <map>
#include <set>
#include <thread>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

/** Time after which every share of a first configuration is effective. */
constexpr auto startupWait = absl::Seconds(60);

/** The limit enforcers of all declared hosts in one process, with a shared simulated clock. Calls succeed unless the lender is unreachable. */
class Fleet
{
public:
    explicit Fleet(ConfigurationPointer configuration)
        : configuration_(std::move(configuration))
    {
        for (const auto &host : configuration_->entryHosts_) {
            enforcers_[host.name_] = std::make_unique<LimitEnforcer>(host.name_, loanClientOf(host.name_));
            enforcers_[host.name_]->configure(now_, configuration_);
        }
        now_ += startupWait;
    }

    [[nodiscard]] auto enforcer(const std::string &name) -> LimitEnforcer &
    {
        return *enforcers_.at(name);
    }

    absl::Time now_ = start;
    std::set<std::string> unreachable_;
    /** Called after a lender has responded and before the borrower receives the loan. */
    std::function<void()> beforeReply_ = []() {};
    int calls_ = 0;

private:
    auto loanClientOf(const std::string &borrower) -> LoanClient
    {
        auto loanClient = LoanClient {};
        loanClient.clock_ = [this]() {
            return now_;
        };
        loanClient.borrowRate_ = [this,
                                  borrower](const EntryHost &lender, std::int64_t revision, const std::string &limit, const RateShare &wanted, absl::Duration) {
            ++calls_;
            if (unreachable_.count(lender.name_) > 0) {
                return std::optional<peer::RateLoan> {};
            }
            auto loan = enforcer(lender.name_).lendRate(now_, borrower, revision, limit, wanted.rate_, wanted.burst_);
            beforeReply_();
            return std::optional<peer::RateLoan> { loan };
        };
        loanClient.borrowSlots_ = [this, borrower](const EntryHost &lender, std::int64_t revision, const std::string &pool, int count, absl::Duration) {
            ++calls_;
            return unreachable_.count(lender.name_) > 0 ? std::optional<peer::SlotLoan> {}
                                                        : enforcer(lender.name_).lendSlots(now_, borrower, revision, pool, count);
        };
        return loanClient;
    }

    ConfigurationPointer configuration_;
    std::map<std::string, std::unique_ptr<LimitEnforcer>> enforcers_;
};

/** Two regions of two zones with a host each; pool "dive-log" has one backend server of three slots in each zone. */
auto makeConfiguration() -> std::shared_ptr<Configuration>
{
    auto configuration = std::make_shared<Configuration>();
    configuration->revision_ = 7;
    auto pool = Pool { "dive-log", 3, {}, absl::ZeroDuration() };
    for (const auto *name : { "gisenyi", "kibuye" }) {
        const auto region = std::string(name);
        configuration->regions_.push_back({ region, { region + "-a", region + "-b" } });
        for (const auto *suffix : { "-a", "-b" }) {
            configuration->entryHosts_.push_back({ "host-" + region + suffix, region + suffix, "", "" });
            pool.backends_.push_back({ "backend-" + region + suffix, region + suffix, "" });
        }
    }
    configuration->pools_.push_back(pool);
    configuration->organisations_.push_back({ "hull", 40, 20, 1 });
    return configuration;
}

auto slotRequest(absl::Time now, const std::string &region = {}) -> SlotRequest
{
    return { "dive-log", "hull", region, {}, now + absl::Seconds(2), now };
}

}

// Guards against refusing requests while other hosts have tokens, and against admitting more than the limit.
TEST_CASE("a single host can use most of a limit by borrowing, and never exceeds it")
{
    auto fleet = Fleet(makeConfiguration());
    const auto limit = organisationLimitName("hull");
    auto admitted = 0;
    for (auto step = 0; step < 1000; ++step) {
        fleet.now_ += absl::Milliseconds(10);
        admitted += fleet.enforcer("host-gisenyi-a").takeToken(fleet.now_, limit) ? 1 : 0;
    }
    // 10 s at 40/s. A loan ends later at the lender than at the borrower, by the clock margin; its rate is unused meanwhile.
    CHECK(admitted >= 300);
    CHECK(admitted <= 40 * 10 + 20);
    CHECK_FALSE(fleet.enforcer("host-gisenyi-a").takeToken(fleet.now_, "organisation/absent"));
}

// Guards against a flood of borrow calls while a limit is exhausted on all hosts.
TEST_CASE("the number of borrow calls is bounded while no peer lends")
{
    auto fleet = Fleet(makeConfiguration());
    const auto limit = organisationLimitName("hull");
    fleet.unreachable_ = { "host-gisenyi-a", "host-gisenyi-b", "host-kibuye-a", "host-kibuye-b" };
    auto admitted = 0;
    for (auto step = 0; step < 10000; ++step) {
        fleet.now_ += absl::Milliseconds(1);
        admitted += fleet.enforcer("host-gisenyi-a").takeToken(fleet.now_, limit) ? 1 : 0;
    }
    CHECK(admitted <= 10 * 10 + 5);
    CHECK(admitted >= 100);
    CHECK(fleet.calls_ <= 30);
}

// Guards against lending to a host with another revision, whose shares may overlap.
TEST_CASE("nothing is lent to a host with another revision")
{
    auto fleet = Fleet(makeConfiguration());
    auto &lender = fleet.enforcer("host-gisenyi-a");
    CHECK(lender.lendRate(fleet.now_, "host-kibuye-a", 6, organisationLimitName("hull"), 1, 1).burst == 0);
    CHECK(lender.lendSlots(fleet.now_, "host-kibuye-a", 8, "dive-log", 1).slots.empty());
    CHECK(lender.lendRate(fleet.now_, "host-kibuye-a", 7, organisationLimitName("hull"), 1, 1).burst == 1);
    CHECK(lender.lendSlots(fleet.now_, "host-kibuye-a", 7, "dive-log", 1).slots.size() == 1);
}

// Guards against using distant slots while near ones are free, and against running more requests than there are slots.
TEST_CASE("slots are acquired in the host's zone, then in its region, then in other regions")
{
    auto fleet = Fleet(makeConfiguration());
    auto &enforcer = fleet.enforcer("host-gisenyi-a");
    auto zones = std::vector<std::string> {};
    auto used = std::map<std::string, int> {};
    for (auto index = 0; index < 400; ++index) {
        fleet.now_ += absl::Milliseconds(1);
        const auto grant = enforcer.acquireSlot(fleet.now_, { "dive-log", "hull", "", {}, start + startupWait + absl::Seconds(2), fleet.now_ });
        if (grant.has_value()) {
            zones.push_back(grant->backend_.zone_);
            ++used[grant->backend_.name_];
        }
    }
    REQUIRE(zones.size() >= 9);
    CHECK(std::vector(zones.begin(), zones.begin() + 3) == std::vector<std::string>(3, "gisenyi-a"));
    CHECK(std::vector(zones.begin() + 3, zones.begin() + 6) == std::vector<std::string>(3, "gisenyi-b"));
    for (const auto &[name, count] : used) {
        CHECK(count <= 3);
    }
}

// Guards against ignoring the region that a shift or a failover requires, or the backend servers that the caller excludes.
TEST_CASE("a slot request can select a region and exclude backend servers")
{
    auto fleet = Fleet(makeConfiguration());
    auto &enforcer = fleet.enforcer("host-gisenyi-a");
    const auto moved = enforcer.acquireSlot(fleet.now_, slotRequest(fleet.now_, "kibuye"));
    REQUIRE(moved.has_value());
    CHECK(moved->backend_.zone_.substr(0, 6) == "kibuye");
    auto request = slotRequest(fleet.now_);
    request.excludedBackends_ = { "backend-gisenyi-a" };
    const auto other = enforcer.acquireSlot(fleet.now_, request);
    REQUIRE(other.has_value());
    CHECK(other->backend_.name_ != "backend-gisenyi-a");
    CHECK_FALSE(enforcer.acquireSlot(fleet.now_, { "absent", "hull", "", {}, fleet.now_ + absl::Seconds(1), fleet.now_ }).has_value());
}

// Guards against a restarted host that uses slots and tokens that its previous run may still have in use.
TEST_CASE("a host that has just started admits only what it can borrow")
{
    auto fleet = Fleet(makeConfiguration());
    fleet.now_ = start + absl::Seconds(4);
    CHECK_FALSE(fleet.enforcer("host-gisenyi-a").takeToken(fleet.now_, organisationLimitName("hull")));
    CHECK_FALSE(fleet.enforcer("host-gisenyi-a").acquireSlot(fleet.now_, slotRequest(fleet.now_)).has_value());
}

// Guards against using a loan after its lender has lost the share: the new owner does not account for the loan.
TEST_CASE("a loan ends when its borrower applies a configuration that splits the limit differently")
{
    auto configuration = makeConfiguration();
    const auto limit = organisationLimitName("hull");
    auto next = std::make_shared<Configuration>(*configuration);
    next->revision_ = 8;
    next->organisations_[0].rate_ = 20;
    auto unrelated = std::make_shared<Configuration>(*configuration);
    unrelated->revision_ = 8;
    unrelated->organisations_.push_back({ "other", 1, 1, 1 });
    struct LoanCase
    {
        ConfigurationPointer nextConfiguration_;
        bool beforeReply_ = false;
        bool expectLoan_ = false;
    };
    const auto cases = std::vector<LoanCase> { { next, false, false }, { next, true, false }, { unrelated, false, true } };
    for (const auto &loanCase : cases) {
        CAPTURE(loanCase.nextConfiguration_->organisations_.size());
        CAPTURE(loanCase.beforeReply_);
        auto fleet = Fleet(configuration);
        auto &enforcer = fleet.enforcer("host-gisenyi-a");
        if (loanCase.beforeReply_) {
            fleet.beforeReply_ = [&]() {
                enforcer.configure(fleet.now_, loanCase.nextConfiguration_);
            };
        }
        for (auto index = 0; index < 6; ++index) {
            std::ignore = enforcer.takeToken(fleet.now_, limit);
        }
        CHECK(fleet.calls_ > 0);
        enforcer.configure(fleet.now_, loanCase.nextConfiguration_);
        CHECK(enforcer.bucketOf(limit).borrowed_.empty() != loanCase.expectLoan_);
    }
}

// Guards against a host that was isolated, missed revisions and uses shares that may have been assigned to another host and back.
TEST_CASE("a host that was isolated and missed a revision discards its own shares")
{
    struct RejoinCase
    {
        std::int64_t revision_ = 0;
        absl::Duration previousAge_;
        bool keepsShare_ = false;
    };
    const auto cases = std::vector<RejoinCase> {
        { 8, absl::Seconds(60), true },
        { 9, absl::Seconds(3), true },
        { 9, absl::Seconds(5), false },
    };
    for (const auto &rejoin : cases) {
        CAPTURE(rejoin.revision_);
        CAPTURE(rejoin.previousAge_);
        auto configuration = makeConfiguration();
        auto fleet = Fleet(configuration);
        auto next = std::make_shared<Configuration>(*configuration);
        next->revision_ = rejoin.revision_;
        auto &enforcer = fleet.enforcer("host-gisenyi-a");
        enforcer.configure(fleet.now_, next, rejoin.previousAge_);
        CHECK((enforcer.bucketOf(organisationLimitName("hull")).own_.rate_ > 0) == rejoin.keepsShare_);
        CHECK((enforcer.slotsOf("dive-log", "backend-gisenyi-a").own_ > 0) == rejoin.keepsShare_);
    }
}

// Guards against an organisation that gets more than its weighted share because more of its requests wait.
TEST_CASE("organisations that wait for slots are served by weight")
{
    auto configuration = makeConfiguration();
    // The whole fleet is one host with three slots, so that every thread waits for the same slots.
    configuration->entryHosts_.resize(1);
    configuration->pools_[0].backends_.resize(1);
    configuration->organisations_ = { { "loud", 1, 1, 1 }, { "quiet", 1, 1, 1 }, { "heavy", 1, 1, 2 } };
    auto loanClient = LoanClient {};
    auto clockOffset = absl::ZeroDuration();
    const auto clock = [&clockOffset]() {
        return monotonicNow() + clockOffset;
    };
    loanClient.clock_ = clock;
    auto enforcer = LimitEnforcer("host-gisenyi-a", loanClient);
    enforcer.configure(clock(), configuration);
    clockOffset = startupWait;
    const auto names = std::array<std::string, 3> { "loud", "quiet", "heavy" };
    const auto threadCounts = std::array<int, 3> { 24, 4, 8 };
    auto served = std::array<std::atomic<int>, 3> {};
    const auto end = clock() + absl::Seconds(1);
    auto threads = std::vector<std::thread> {};
    for (auto organisation = std::size_t { 0 }; organisation < names.size(); ++organisation) {
        for (auto index = 0; index < threadCounts[organisation]; ++index) {
            threads.emplace_back([&, organisation]() {
                while (clock() < end) {
                    const auto now = clock();
                    const auto grant =
                        enforcer.acquireSlot(now, { "dive-log", names[organisation], "", {}, now + absl::Seconds(2), now + absl::Milliseconds(500) });
                    if (grant.has_value()) {
                        std::this_thread::sleep_for(std::chrono::milliseconds(2));
                        enforcer.releaseSlot(clock(), *grant, true);
                        ++served[organisation];
                    }
                }
            });
        }
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto total = static_cast<double>(served[0] + served[1] + served[2]);
    MESSAGE("served loud " << served[0].load() << " quiet " << served[1].load() << " heavy " << served[2].load());
    REQUIRE(total > 100);
    // The fair shares are a quarter, a quarter and a half. A thread is not queued between two requests, so organisations with few threads get a little less.
    CHECK(served[1] >= 0.2 * total);
    CHECK(served[2] >= 0.4 * total);
}
