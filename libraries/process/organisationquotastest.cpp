#include "process/organisationquotas.h"

#include "process/quotafleetmodel.h"

#include <doctest/doctest.h>

#include <cmath>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);
const auto settings = QuotaSettings { absl::Seconds(5), 0.06, 12 };

/** The users' bound on the requests of a window. */
auto allowedIn(const Organisation &limits) -> double
{
    return (limits.rate_ * 5 + limits.burst_) * 1.1 + 20;
}

/** What happens to the hosts at a time after the start. */
using Event = std::function<void(QuotaFleetModel &, absl::Time)>;

struct Disturbance
{
    double atSeconds_ = 0;
    Event event_;
};

struct LoadCase
{
    std::string title_;
    QuotaFleetShape shape_;
    Organisation limits_;
    /** Demand as a fraction of the limit's rate, until the jump and after it. */
    double demand_ = 0.5;
    double demandAfterJump_ = 0.5;
    double jumpAtSeconds_ = 1e9;
    /** Fraction of the demand that arrives in the first zone; the rest is spread evenly. */
    double skew_ = 0;
    std::vector<Disturbance> disturbances_ = {};
    /** Largest fraction of the requests that may be refused while the demand is within the limit. */
    std::optional<double> mostRefused_ = std::nullopt;
    /** Least fraction of the limit that must be used at full demand. */
    std::optional<double> leastUsed_ = std::nullopt;
};

struct LoadResult
{
    std::int64_t requests_ = 0;
    std::int64_t refused_ = 0;
    std::int64_t largestWindow_ = 0;
    double admittedPerSecond_ = 0;
};

constexpr auto durationSeconds = 40.0;

auto chooseHost(const LoadCase &load, const QuotaFleetModel &fleet, std::mt19937_64 &random) -> std::size_t
{
    const auto isSkewed = std::uniform_real_distribution<double>(0, 1)(random) < load.skew_;
    while (true) {
        const auto host = std::uniform_int_distribution<std::size_t>(0, fleet.size() - 1)(random);
        if (!isSkewed || fleet.zoneOf(host) == 0) {
            return host;
        }
    }
}

auto play(const LoadCase &load, std::uint64_t seed) -> LoadResult
{
    auto fleet = QuotaFleetModel(load.shape_, settings, start, seed);
    auto random = std::mt19937_64 { seed };
    auto result = LoadResult {};
    auto disturbance = load.disturbances_.begin();
    auto seconds = 0.0;
    while (seconds < durationSeconds) {
        const auto demand = seconds < load.jumpAtSeconds_ ? load.demand_ : load.demandAfterJump_;
        seconds += std::exponential_distribution<double>(load.limits_.rate_ * demand)(random);
        const auto now = start + absl::Seconds(seconds);
        while (disturbance != load.disturbances_.end() && disturbance->atSeconds_ <= seconds) {
            disturbance->event_(fleet, start + absl::Seconds(disturbance->atSeconds_));
            ++disturbance;
        }
        const auto host = chooseHost(load, fleet, random);
        // Callers use another host than one that does not respond.
        if (!fleet.isUp(now, host)) {
            continue;
        }
        result.requests_ += 1;
        result.refused_ += fleet.admit(now, host, load.limits_).isAdmitted_ ? 0 : 1;
    }
    result.admittedPerSecond_ = static_cast<double>(fleet.admittedCount()) / durationSeconds;
    result.largestWindow_ = fleet.largestWindow();
    return result;
}

auto restartThird(QuotaFleetModel &fleet, absl::Time now) -> void
{
    for (auto host = std::size_t { 0 }; host < fleet.size(); host += 3) {
        fleet.restart(now, host, now + absl::Seconds(1));
    }
}

auto freezeTenth(QuotaFleetModel &fleet, absl::Time now) -> void
{
    for (auto host = std::size_t { 0 }; host < fleet.size(); host += 10) {
        fleet.freeze(now, host, now + absl::Seconds(7));
    }
}

auto cutFirstZone(QuotaFleetModel &fleet, absl::Time now) -> void
{
    fleet.cutZone(now, 0, now + absl::Seconds(20));
}

auto addQuarter(QuotaFleetModel &fleet, absl::Time now) -> void
{
    fleet.addHosts(now, static_cast<int>(fleet.size()) / 4);
}

const auto smallOrganisation = Organisation { "small", 7, 7, 1 };
const auto largeOrganisation = Organisation { "large", 160, 160, 1 };
auto restartAll(QuotaFleetModel &fleet, absl::Time now) -> void
{
    for (auto host = std::size_t { 0 }; host < fleet.size(); ++host) {
        fleet.restart(now, host, now + absl::Seconds(1));
    }
}

constexpr auto steadyRefusals = 0.001;
constexpr auto refusalsAfterChange = 0.01;

/** Demand above the limit is played at this size at most, since it makes many messages. */
constexpr auto largestFloodedFleet = 300;

auto loadCases() -> std::vector<LoadCase>
{
    auto cases = std::vector<LoadCase> {};
    for (const auto &shape : { QuotaFleetShape { 18, 6, 2 },
                               QuotaFleetShape { 95, 9, 3 },
                               QuotaFleetShape { 115, 6, 2 },
                               QuotaFleetShape { 300, 9, 3 },
                               QuotaFleetShape { 3100, 30, 3 } }) {
        const auto title = std::to_string(shape.hosts_) + " hosts";
        for (const auto &limits : { smallOrganisation, largeOrganisation }) {
            const auto name = title + ", " + limits.name_;
            cases.push_back({ name + ", steady", shape, limits, 0.6, 0.6, 1e9, 0, {}, steadyRefusals });
            cases.push_back({ name + ", skewed", shape, limits, 0.6, 0.6, 1e9, 0.8, {}, steadyRefusals });
            cases.push_back({ name + ", jump", shape, limits, 0.13, 1, 15, 0, {}, refusalsAfterChange });
            if (shape.hosts_ <= largestFloodedFleet) {
                cases.push_back({ name + ", full", shape, limits, 1.5, 1.5, 1e9, 0, {}, {}, 0.9 });
                cases.push_back({ name + ", flood", shape, limits, 0.6, 4.5, 15, 0, {}, {}, 0.6 });
            }
        }
    }
    return cases;
}

}

// Guards against refusals of organisations within their limits: where each host admitted an even part, up to half of the requests of small ones were refused.
TEST_CASE("an organisation within its limit is not refused at any size of the fleet, and the limit holds")
{
    for (const auto &load : loadCases()) {
        CAPTURE(load.title_);
        auto requests = std::int64_t { 0 };
        auto refused = std::int64_t { 0 };
        for (const auto seed : { 1U, 2U }) {
            const auto result = play(load, seed);
            CAPTURE(seed);
            requests += result.requests_;
            refused += result.refused_;
            CHECK(static_cast<double>(result.largestWindow_) <= allowedIn(load.limits_));
            if (load.leastUsed_) {
                CHECK(result.admittedPerSecond_ >= *load.leastUsed_ * load.limits_.rate_);
            }
        }
        CAPTURE(requests);
        CAPTURE(refused);
        if (load.mostRefused_) {
            // A single refusal among a few hundred requests says nothing about one in a thousand.
            CHECK(static_cast<double>(refused) <= std::max(1.0, *load.mostRefused_ * static_cast<double>(requests)));
        }
    }
}

// Guards against an organisation that gets more than its limit while hosts restart, stand still, join, or are cut off, and messages are lost.
TEST_CASE("the limit holds beside restarts, frozen hosts, new hosts and cut zones")
{
    struct FaultCase
    {
        std::string title_;
        std::vector<Disturbance> disturbances_;
        std::optional<double> mostRefused_;
    };
    const auto faultCases = std::vector<FaultCase> {
        { "a third restarts", { { 10, restartThird } }, refusalsAfterChange },
        { "frozen hosts", { { 10, freezeTenth }, { 20, freezeTenth } }, refusalsAfterChange },
        { "a zone is cut off", { { 10, cutFirstZone } }, std::nullopt },
        { "hosts join", { { 10, addQuarter } }, refusalsAfterChange },
        { "all restart", { { 10, restartAll } }, refusalsAfterChange },
        { "all of them", { { 10, restartThird }, { 12, freezeTenth }, { 14, cutFirstZone }, { 16, addQuarter }, { 25, restartThird } }, std::nullopt },
    };
    constexpr auto loss = 0.01;
    for (const auto &faultCase : faultCases) {
        for (const auto &limits : { smallOrganisation, largeOrganisation }) {
            for (const auto demand : { 0.5, 4.5 }) {
                for (const auto seed : { 1U, 2U, 3U }) {
                    const auto load = LoadCase { faultCase.title_, { 95, 9, 3, loss }, limits, demand, demand, 1e9, 0, faultCase.disturbances_ };
                    const auto result = play(load, seed);
                    CAPTURE(faultCase.title_);
                    CAPTURE(limits.name_);
                    CAPTURE(demand);
                    CAPTURE(seed);
                    CAPTURE(result.refused_);
                    CHECK(static_cast<double>(result.largestWindow_) <= allowedIn(limits));
                    if (faultCase.mostRefused_ && demand < 1) {
                        CHECK(static_cast<double>(result.refused_) <= std::max(1.0, *faultCase.mostRefused_ * static_cast<double>(result.requests_)));
                    }
                }
            }
        }
    }
}

// Guards against a holder that takes over a part while the host that held it before may have admitted requests within the window.
TEST_CASE("a part that a host takes over is usable after a window")
{
    const auto limits = Organisation { "org", 1, 1, 1 };
    auto hosts = ShareHosts {};
    for (auto index = 0; index < 2; ++index) {
        const auto name = "host" + std::to_string(index);
        hosts.push_back({ static_cast<std::uint32_t>(hostHash(name)), "zone", "region", name, true });
    }
    const auto both = std::make_shared<const ShareHosts>(hosts);
    const auto quota = fleetQuota(limits, settings);
    const auto holders = partitionQuota(quota, hosts, stableHash(limits.name_));
    REQUIRE(holders.size() == 1);
    for (const auto &host : hosts) {
        auto quotas = OrganisationQuotas(host.address_, start);
        const auto isHolder = host.hash_ == holders.front().host_.hash_;
        CAPTURE(isHolder);
        const auto now = start + absl::Minutes(1);
        const auto alone = std::make_shared<const ShareHosts>(ShareHosts { host });
        CHECK(quotas.admitRequest(now, { limits, settings, both }, nullptr).isAdmitted_ == isHolder);
        CHECK(quotas.admitRequest(now, { limits, settings, alone }, nullptr).own_.limit_ == (isHolder ? quota : 0));
        const auto during = now + settings.window_ - absl::Milliseconds(1);
        const auto after = now + settings.window_ + absl::Seconds(1);
        CHECK(quotas.admitRequest(during, { limits, settings, alone }, nullptr).own_.limit_ == (isHolder ? quota : 0));
        CHECK(quotas.admitRequest(after, { limits, settings, alone }, nullptr).own_.limit_ == quota);
    }
}

// Guards against a restarted host that admits what its earlier process has admitted within the window, and against a fleet that admits nothing after all its
// hosts restarted.
TEST_CASE("a new process uses its part after a window if most others have run for long, and a growing part otherwise")
{
    const auto limits = Organisation { "org", 10, 10, 1 };
    struct StartCase
    {
        int hosts_;
        int established_;
        bool growsLinearly_;
    };
    for (const auto &startCase :
         { StartCase { 1, 0, true }, StartCase { 4, 0, true }, StartCase { 4, 1, true }, StartCase { 4, 2, false }, StartCase { 18, 17, false } }) {
        CAPTURE(startCase.hosts_);
        CAPTURE(startCase.established_);
        auto hosts = ShareHosts {};
        for (auto index = 0; index < startCase.hosts_; ++index) {
            const auto name = "host" + std::to_string(index);
            const auto isEstablished = index >= startCase.hosts_ - startCase.established_;
            hosts.push_back({ static_cast<std::uint32_t>(hostHash(name)), "zone" + std::to_string(index), "region", name, true, isEstablished });
        }
        const auto known = std::make_shared<const ShareHosts>(hosts);
        auto quotas = OrganisationQuotas("host0", start);
        const auto part = partOf(partitionQuota(fleetQuota(limits, settings), hosts, stableHash(limits.name_)), hosts.front().hash_);
        const auto usableAt = [&](absl::Duration time) {
            return quotas.admitRequest(start + time, { limits, settings, known }, nullptr).own_.limit_;
        };
        CHECK(usableAt(absl::ZeroDuration()) == 0);
        CHECK((usableAt(settings.window_ / 2) > 0) == startCase.growsLinearly_);
        CHECK(usableAt(settings.window_ + absl::Seconds(1)) == part);
    }
}

// Guards against messages for requests that the host could admit itself, and to holders that have just refused or did not respond.
TEST_CASE("holders are asked only as far as needed")
{
    const auto limits = Organisation { "org", 10, 10, 1 };
    auto hosts = ShareHosts {};
    for (auto index = 0; index < 40; ++index) {
        const auto name = "host" + std::to_string(index);
        hosts.push_back({ static_cast<std::uint32_t>(hostHash(name)), "zone" + std::to_string(index % 4), "region", name, true });
    }
    const auto known = std::make_shared<const ShareHosts>(hosts);
    const auto holders = partitionQuota(fleetQuota(limits, settings), hosts, stableHash(limits.name_));
    struct AnswerCase
    {
        std::string title_;
        std::optional<QuotaAnswer> answer_;
        int askedAtFirst_;
        int askedNext_;
        int askedThird_;
        bool isAdmitted_;
    };
    const auto answerCases = std::vector<AnswerCase> {
        { "admitted", QuotaAnswer { true }, 1, 1, 1, true },
        { "refused", QuotaAnswer { false, absl::Seconds(1) }, 2, 1, 0, false },
        { "silent", std::nullopt, 3, 1, 0, false },
    };
    for (const auto &answerCase : answerCases) {
        CAPTURE(answerCase.title_);
        const auto ask = [&](absl::Time now, const ShareHost &, const std::string &, absl::Time) {
            return HolderExchange { answerCase.answer_, now + absl::Milliseconds(1) };
        };
        for (const auto &host : hosts) {
            auto quotas = OrganisationQuotas(host.address_, start);
            const auto now = start + absl::Minutes(1);
            const auto isHolder = partOf(holders, host.hash_) > 0;
            const auto first = quotas.admitRequest(now, { limits, settings, known }, ask);
            const auto second = quotas.admitRequest(now + absl::Milliseconds(100), { limits, settings, known }, ask);
            CHECK(first.asked_ == (isHolder ? 0 : answerCase.askedAtFirst_));
            const auto third = quotas.admitRequest(now + absl::Milliseconds(200), { limits, settings, known }, ask);
            CHECK(second.asked_ == (isHolder ? 0 : answerCase.askedNext_));
            CHECK(third.asked_ == (isHolder ? 0 : answerCase.askedThird_));
            CHECK(first.isAdmitted_ == (isHolder || answerCase.isAdmitted_));
        }
    }
}

// Guards against messages between regions for each request while many organisations have used up their limits: 0.42 GB in a day, and hosts too busy to answer.
TEST_CASE("a host asks other regions a bounded number of times")
{
    constexpr auto organisations = 200;
    constexpr auto seconds = 5;
    constexpr auto mostAsked = 60 + 30 * seconds;
    const auto known = std::make_shared<const ShareHosts>(
        ShareHosts { { static_cast<std::uint32_t>(hostHash("host")), "zone0", "near", "host", true }, { 1, "zone1", "far", "holder", true } });
    auto asked = 0;
    const auto refuse = [&](absl::Time now, const ShareHost &, const std::string &, absl::Time) {
        asked += 1;
        return HolderExchange { QuotaAnswer { false, absl::Seconds(1) }, now };
    };
    // The host has not held its part for a window, so that it asks for each request.
    auto quotas = OrganisationQuotas("host", start);
    for (auto request = 0; request < organisations * seconds; ++request) {
        const auto now = start + absl::Milliseconds(1000 / organisations) * request;
        const auto limits = Organisation { "organisation" + std::to_string(request % organisations), 0.5, 0, 1 };
        static_cast<void>(quotas.admitRequest(now, { limits, QuotaSettings {}, known }, refuse));
    }
    CHECK(asked > 60);
    CHECK(asked <= mostAsked);
}
