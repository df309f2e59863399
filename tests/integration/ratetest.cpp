#include "support/caller.h"
#include "support/deployment.h"
#include "support/invariants.h"
#include "support/load.h"

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
constexpr auto acceptedLimit = 20s;
constexpr auto triesPerRequest = 3;
/** Longest time in which an accepted change is in force or a host without it has stopped keyed service: the freshness bound and a margin of it. */
constexpr auto changeLimit = 6s;

/** An organisation, what its callers offer, and its key. */
struct Offer
{
    std::string name_;
    int rate_;
    int burst_;
    double offered_;
    int threads_;
    std::string key_;
};

/** Callers that ask for entry hosts and keep the answer for its lifetime. */
class Directory
{
public:
    explicit Directory(Deployment &deployment)
        : deployment_(deployment)
    {
    }

    /** Addresses of the hosts for an organisation's callers in a region. */
    auto hosts(const std::string &organisation, int region) -> std::vector<std::string>
    {
        const auto lock = std::lock_guard(mutex_);
        auto &entry = entries_[{ organisation, region }];
        if (entry.hosts_.empty() || Clock::now() - entry.at_ >= lookupLifetime) {
            refresh(entry, organisation, region);
        }
        return entry.hosts_;
    }

private:
    struct Entry
    {
        std::vector<std::string> hosts_;
        Clock::time_point at_;
    };

    /** Asks the hosts of the last region first: no fault of this test is in it. */
    auto refresh(Entry &entry, const std::string &organisation, int region) -> void
    {
        for (auto host = deployment_.hosts().rbegin(); host != deployment_.hosts().rend(); ++host) {
            auto request = CallerRequest {};
            request.path_ = fmt::format("/.well-known/lycheecleat/lookup?client=127.{}.0.1&organisation={}", 9 + region, organisation);
            request.timeout_ = 1000ms;
            const auto answer = caller_.send(host->address_, request);
            if (answer.status_ == 200) {
                entry.hosts_.clear();
                const auto body = nlohmann::json::parse(answer.body_);
                for (const auto &found : body.at("hosts")) {
                    entry.hosts_.push_back(found.at("address").get<std::string>());
                }
                entry.at_ = Clock::now();
                return;
            }
        }
    }

    Deployment &deployment_;
    Caller caller_;
    std::mutex mutex_;
    std::map<std::pair<std::string, int>, Entry> entries_;
};

/** Most callers are in the first region. */
auto regionOfCall(int number) -> int
{
    const auto part = number % 10;
    return part < 7 ? 1 : (part < 9 ? 2 : 3);
}

/** Sends to the hosts that the lookup named until one serves the request or refuses it for its rate. */
auto sendByLookup(Caller &caller, Directory &directory, const Offer &offer, int number) -> void
{
    const auto hosts = directory.hosts(offer.name_, regionOfCall(number));
    for (auto attempt = 0; attempt < triesPerRequest && !hosts.empty(); ++attempt) {
        auto request = CallerRequest {};
        request.path_ = "/dives/" + offer.name_;
        request.key_ = offer.key_;
        request.timeout_ = 2000ms;
        const auto answer = caller.send(hosts[static_cast<std::size_t>(number + attempt) % hosts.size()], request);
        if (answer.status_ == 200 || answer.reason_ == "rate_exceeded") {
            return;
        }
    }
}

/** Calls that were admitted and wholly between two times. */
auto admittedSpans(const std::vector<CallRecord> &records, const std::string &organisation, Clock::time_point from, Clock::time_point to) -> std::vector<Span>
{
    auto spans = std::vector<Span> {};
    for (const auto &record : records) {
        const auto span = Span { record.startedAt_, record.startedAt_ + record.answer_.latency_ };
        if (record.request_.path_ == "/dives/" + organisation && record.answer_.outcome_ == "ran" && span.begin_ >= from && span.end_ <= to) {
            spans.push_back(span);
        }
    }
    return spans;
}

auto countRefused(const std::vector<CallRecord> &records, const std::string &organisation) -> int
{
    return static_cast<int>(std::count_if(records.begin(), records.end(), [&](const CallRecord &record) {
        return record.request_.path_ == "/dives/" + organisation && record.answer_.reason_ == "rate_exceeded";
    }));
}

/** How many calls ended in which way. */
auto summaryOf(const std::vector<CallRecord> &records) -> std::string
{
    auto counts = std::map<std::string, int> {};
    for (const auto &record : records) {
        const auto &answer = record.answer_;
        counts[answer.answered_ ? answer.outcome_ + " " + answer.reason_ : answer.error_] += 1;
    }
    return nlohmann::json(counts).dump();
}

auto organisationRule(const Offer &offer) -> std::string
{
    return fmt::format("kind: organisation\nname: {}\nrate: {}/s\nburst: {}\nweight: 1\n", offer.name_, offer.rate_, offer.burst_);
}

}

// Guards against hosts that together admit more than an organisation's rate and burst, under skew, a crash, a partition, a store outage or a change.
TEST_CASE("no organisation gets more than its rate and burst over all hosts, whatever fails")
{
    auto offers =
        std::vector<Offer> { { "alpha", 60, 30, 240, 40, "" }, { "beta", 40, 20, 24, 8, "" }, { "gamma", 20, 10, 12, 6, "" }, { "delta", 10, 8, 5, 4, "" } };
    auto settings = DeploymentSettings {};
    settings.regions_ = 3;
    settings.hostsPerZone_ = 3;
    settings.slots_ = 24;
    settings.proxied_ = true;
    settings.routeDeadline_ = "1s";
    settings.lookupLifetime_ = "1s";
    settings.organisations_.clear();
    for (const auto &offer : offers) {
        settings.organisations_.push_back({ offer.name_, fmt::format("{}/s", offer.rate_), offer.burst_ });
    }
    auto deployment = Deployment(settings);
    auto keys = std::vector<std::string> {};
    for (auto &offer : offers) {
        offer.key_ = deployment.grantKey(offer.name_).key_;
        keys.push_back(offer.key_);
    }
    for (const auto &key : keys) {
        deployment.waitUntilAccepted(key, acceptedLimit);
    }
    auto caller = Caller {};
    auto directory = Directory(deployment);
    auto loads = std::vector<std::unique_ptr<Load>> {};
    const auto begin = Clock::now();
    for (const auto &offer : offers) {
        loads.push_back(std::make_unique<Load>(offer.offered_, offer.threads_, [&](int number) {
            sendByLookup(caller, directory, offer, number);
        }));
    }
    std::this_thread::sleep_for(5s);
    deployment.host("r1-1-h1").process_->kill();
    std::this_thread::sleep_for(2s);
    deployment.startHost(deployment.host("r1-1-h1"));
    std::this_thread::sleep_for(4s);

    deployment.isolateZone("r1-2", true);
    std::this_thread::sleep_for(1s);
    auto slower = offers.front();
    slower.rate_ = 30;
    slower.burst_ = 15;
    deployment.writeRule("40-organisation-alpha.yaml", organisationRule(slower));
    const auto beforeChange = Clock::now();
    CHECK(deployment.applyRules().exitCode_ == 0);
    const auto afterChange = Clock::now() + changeLimit;
    std::this_thread::sleep_for(7s);
    deployment.isolateZone("r1-2", false);
    std::this_thread::sleep_for(3s);

    deployment.store().freeze();
    std::this_thread::sleep_for(8s);
    deployment.store().resume();
    std::this_thread::sleep_for(3s);
    for (auto &load : loads) {
        load->stop();
    }
    const auto end = Clock::now();

    const auto records = caller.records();
    MESSAGE("calls by end: " << summaryOf(records));
    const auto check = [&](const Offer &offer, Clock::time_point from, Clock::time_point to) {
        const auto spans = admittedSpans(records, offer.name_, from, to);
        const auto excess = largestExcess(spans, offer.rate_, offer.burst_);
        MESSAGE(offer.name_ << " at " << offer.rate_ << "/s: admitted " << spans.size() << ", largest excess " << excess);
        CAPTURE(offer.name_);
        CHECK(excess <= 0);
        return static_cast<double>(spans.size());
    };
    // The bound would hold trivially if little were admitted.
    CHECK(check(offers.front(), begin, beforeChange) > 0.25 * offers.front().rate_ * std::chrono::duration<double>(beforeChange - begin).count());
    CHECK(check(slower, afterChange, end) > 0.25 * slower.rate_ * std::chrono::duration<double>(end - afterChange).count());
    auto worstPart = 1.0;
    for (auto offer = offers.begin() + 1; offer != offers.end(); ++offer) {
        const auto admitted = check(*offer, begin, end);
        const auto due = offer->offered_ * std::chrono::duration<double>(end - begin).count();
        MESSAGE(offer->name_ << " refused for its rate " << countRefused(records, offer->name_) << " of " << due << " offered within its rate");
        worstPart = std::min(worstPart, admitted / due);
    }
    MESSAGE("worst-served organisation within its rate: " << worstPart << " of its due");
    CHECK(findViolations(deployment, records, keys) == "");
}
