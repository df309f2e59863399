#include "support/caller.h"
#include "support/constantrateload.h"
#include "support/deployment.h"
#include "support/invariants.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

using namespace integration;
using namespace std::chrono_literals;

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto lookupLifetime = 1s;
constexpr auto keyAcceptanceLimit = 20s;
constexpr auto attemptsPerRequest = 3;
/** Time within which every host has a change in force or refuses keyed requests: the freshness bound plus a margin. */
constexpr auto changeLimit = 6s;

/** An organisation with its rate limit, the request rate of its callers, and its key. */
struct OrganisationLoad
{
    std::string name_;
    int rate_;
    int burst_;
    double requestRate_;
    int threads_;
    std::string key_;
};

/** Looks up entry hosts and caches each response for its lifetime. Thread-safe. */
class LookupCache
{
public:
    explicit LookupCache(Deployment &deployment)
        : deployment_(deployment)
    {
    }

    /** Addresses of the entry hosts for an organisation's callers in a region. */
    auto hosts(const std::string &organisation, int region) -> std::vector<std::string>
    {
        const auto lock = std::lock_guard(mutex_);
        auto &entry = entries_[{ organisation, region }];
        if (entry.hosts_.empty() || Clock::now() - entry.fetchedAt_ >= lookupLifetime) {
            refresh(entry, organisation, region);
        }
        return entry.hosts_;
    }

private:
    struct Entry
    {
        std::vector<std::string> hosts_;
        Clock::time_point fetchedAt_;
    };

    /** Tries the hosts of the last region first, because this test injects no fault there. */
    auto refresh(Entry &entry, const std::string &organisation, int region) -> void
    {
        for (auto host = deployment_.hosts().rbegin(); host != deployment_.hosts().rend(); ++host) {
            auto request = CallerRequest {};
            request.path_ = fmt::format("/.well-known/lycheecleat/lookup?client=127.{}.0.1&organisation={}", 9 + region, organisation);
            request.timeout_ = 1000ms;
            const auto response = caller_.send(host->address_, request);
            if (response.status_ == 200) {
                entry.hosts_.clear();
                const auto body = nlohmann::json::parse(response.body_);
                for (const auto &listed : body.at("hosts")) {
                    entry.hosts_.push_back(listed.at("address").get<std::string>());
                }
                entry.fetchedAt_ = Clock::now();
                return;
            }
        }
    }

    Deployment &deployment_;
    Caller caller_;
    std::mutex mutex_;
    std::map<std::pair<std::string, int>, Entry> entries_;
};

/** Distributes calls over the regions: 70 % to the first, 20 % to the second and 10 % to the third. */
auto regionOfCall(int number) -> int
{
    const auto lastDigit = number % 10;
    return lastDigit < 7 ? 1 : (lastDigit < 9 ? 2 : 3);
}

/** Sends a request to the hosts of the lookup response in turn until one serves it or refuses it with rate_exceeded. */
auto sendByLookup(Caller &caller, LookupCache &lookupCache, const OrganisationLoad &organisationLoad, int number) -> void
{
    const auto hosts = lookupCache.hosts(organisationLoad.name_, regionOfCall(number));
    for (auto attempt = 0; attempt < attemptsPerRequest && !hosts.empty(); ++attempt) {
        auto request = CallerRequest {};
        request.path_ = "/dives/" + organisationLoad.name_;
        request.key_ = organisationLoad.key_;
        request.timeout_ = 2000ms;
        const auto response = caller.send(hosts[static_cast<std::size_t>(number + attempt) % hosts.size()], request);
        if (response.status_ == 200 || response.reason_ == "rate_exceeded") {
            return;
        }
    }
}

/** Intervals of the admitted calls that are completely between two times. */
auto admittedIntervals(const std::vector<CallRecord> &records, const std::string &organisation, Clock::time_point from, Clock::time_point to)
    -> std::vector<TimeInterval>
{
    auto intervals = std::vector<TimeInterval> {};
    for (const auto &record : records) {
        const auto interval = TimeInterval { record.startedAt_, record.startedAt_ + record.response_.latency_ };
        if (record.request_.path_ == "/dives/" + organisation && record.response_.outcome_ == "ran" && interval.begin_ >= from && interval.end_ <= to) {
            intervals.push_back(interval);
        }
    }
    return intervals;
}

auto countRefused(const std::vector<CallRecord> &records, const std::string &organisation) -> int
{
    return static_cast<int>(std::count_if(records.begin(), records.end(), [&](const CallRecord &record) {
        return record.request_.path_ == "/dives/" + organisation && record.response_.reason_ == "rate_exceeded";
    }));
}

/** Number of calls by outcome and reason, or by transport error, as JSON. */
auto summarizeOutcomes(const std::vector<CallRecord> &records) -> std::string
{
    auto counts = std::map<std::string, int> {};
    for (const auto &record : records) {
        const auto &response = record.response_;
        counts[response.isComplete_ ? response.outcome_ + " " + response.reason_ : response.error_] += 1;
    }
    return nlohmann::json(counts).dump();
}

auto organisationRule(const OrganisationLoad &organisationLoad) -> std::string
{
    return fmt::format(
        "kind: organisation\nname: {}\nrate: {}/s\nburst: {}\nweight: 1\n", organisationLoad.name_, organisationLoad.rate_, organisationLoad.burst_);
}

}

// Guards against hosts that together admit more than an organisation's rate and burst, under skewed load, a crash, a partition, a store outage or a change.
TEST_CASE("the hosts together never admit more than an organisation's rate and burst, also under faults")
{
    auto organisationLoads = std::vector<OrganisationLoad> {
        { "alpha", 60, 30, 240, 40, "" }, { "beta", 40, 20, 24, 8, "" }, { "gamma", 20, 10, 12, 6, "" }, { "delta", 10, 8, 5, 4, "" }
    };
    auto settings = DeploymentSettings {};
    settings.regions_ = 3;
    settings.hostsPerZone_ = 3;
    settings.slots_ = 24;
    settings.usesFaultProxy_ = true;
    settings.routeDeadline_ = "1s";
    settings.lookupLifetime_ = "1s";
    settings.organisations_.clear();
    for (const auto &organisationLoad : organisationLoads) {
        settings.organisations_.push_back({ organisationLoad.name_, fmt::format("{}/s", organisationLoad.rate_), organisationLoad.burst_ });
    }
    auto deployment = Deployment(settings);
    auto keys = std::vector<std::string> {};
    for (auto &organisationLoad : organisationLoads) {
        organisationLoad.key_ = deployment.grantKey(organisationLoad.name_).key_;
        keys.push_back(organisationLoad.key_);
    }
    for (const auto &key : keys) {
        deployment.waitUntilKeyAccepted(key, keyAcceptanceLimit);
    }
    auto caller = Caller {};
    auto lookupCache = LookupCache(deployment);
    auto loads = std::vector<std::unique_ptr<ConstantRateLoad>> {};
    const auto begin = Clock::now();
    for (const auto &organisationLoad : organisationLoads) {
        loads.push_back(std::make_unique<ConstantRateLoad>(organisationLoad.requestRate_, organisationLoad.threads_, [&](int number) {
            sendByLookup(caller, lookupCache, organisationLoad, number);
        }));
    }
    std::this_thread::sleep_for(5s);
    deployment.host("r1-1-h1").process_->kill();
    std::this_thread::sleep_for(2s);
    deployment.startHost(deployment.host("r1-1-h1"));
    std::this_thread::sleep_for(4s);

    deployment.isolateZone("r1-2", true);
    std::this_thread::sleep_for(1s);
    auto reduced = organisationLoads.front();
    reduced.rate_ = 30;
    reduced.burst_ = 15;
    deployment.writeRule("40-organisation-alpha.yaml", organisationRule(reduced));
    const auto beforeChange = Clock::now();
    CHECK(deployment.applyRules().exitCode_ == 0);
    const auto afterChange = Clock::now() + changeLimit;
    std::this_thread::sleep_for(7s);
    deployment.isolateZone("r1-2", false);
    std::this_thread::sleep_for(3s);

    deployment.store().suspend();
    std::this_thread::sleep_for(8s);
    deployment.store().resume();
    std::this_thread::sleep_for(3s);
    for (auto &load : loads) {
        load->stop();
    }
    const auto end = Clock::now();

    const auto records = caller.records();
    MESSAGE("calls by outcome: " << summarizeOutcomes(records));
    const auto checkRate = [&](const OrganisationLoad &organisationLoad, Clock::time_point from, Clock::time_point to) {
        const auto intervals = admittedIntervals(records, organisationLoad.name_, from, to);
        const auto excess = maximumRateExcess(intervals, organisationLoad.rate_, organisationLoad.burst_);
        MESSAGE(organisationLoad.name_ << " at " << organisationLoad.rate_ << "/s: admitted " << intervals.size() << ", largest excess " << excess);
        CAPTURE(organisationLoad.name_);
        CHECK(excess <= 0);
        return static_cast<double>(intervals.size());
    };
    // The bound would hold trivially if few requests were admitted.
    CHECK(checkRate(organisationLoads.front(), begin, beforeChange)
          > 0.25 * organisationLoads.front().rate_ * std::chrono::duration<double>(beforeChange - begin).count());
    CHECK(checkRate(reduced, afterChange, end) > 0.25 * reduced.rate_ * std::chrono::duration<double>(end - afterChange).count());
    auto lowestServedFraction = 1.0;
    for (auto organisationLoad = organisationLoads.begin() + 1; organisationLoad != organisationLoads.end(); ++organisationLoad) {
        const auto admitted = checkRate(*organisationLoad, begin, end);
        const auto expected = organisationLoad->requestRate_ * std::chrono::duration<double>(end - begin).count();
        MESSAGE(organisationLoad->name_ << " refused with rate_exceeded " << countRefused(records, organisationLoad->name_) << " of " << expected
                                        << " offered within its rate");
        lowestServedFraction = std::min(lowestServedFraction, admitted / expected);
    }
    MESSAGE("lowest fraction served of an organisation within its rate: " << lowestServedFraction << " of the expected calls");
    CHECK(findViolations(deployment, records, keys) == "");
}
