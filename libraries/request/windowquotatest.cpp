#include "request/windowquota.h"

#include "core/digest.h"
#include "request/quotapartition.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

const auto start = absl::UnixEpoch() + absl::Hours(1);

auto largestWindow(const std::vector<absl::Time> &admitted, absl::Duration window) -> std::int64_t
{
    auto largest = std::size_t { 0 };
    for (auto first = std::size_t { 0 }, last = std::size_t { 0 }; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] >= window) {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return static_cast<std::int64_t>(largest);
}

}

// Guards against an organisation that exceeds its limit over all hosts, also while hosts restart and lose their record of admitted requests.
TEST_CASE("no window exceeds the quota while hosts are overloaded with requests and restart")
{
    const auto settings = QuotaSettings { absl::Seconds(5), 0.06, 12 };
    const auto limits = Organisation { "hot", 40, 40, 1 };
    const auto allowed = static_cast<double>(limits.rate_ * 5 + limits.burst_) * 1.1 + 20;
    auto hosts = ShareHosts {};
    for (auto host = 0; host < 18; ++host) {
        const auto name = "host" + std::to_string(host);
        hosts.push_back({ stableHash(name) % 100'000'007, "zone" + std::to_string(host % 6), "region" + std::to_string(host % 3), name, true });
    }
    const auto holders = partitionQuota(fleetQuota(limits, settings), hosts, stableHash(limits.name_));
    for (const auto seed : { 1U, 2U, 3U, 4U }) {
        auto random = std::mt19937(seed);
        auto startedAt = std::vector<absl::Time>(hosts.size(), start);
        auto quotas = std::vector<WindowQuota>(hosts.size());
        auto admitted = std::vector<absl::Time> {};
        for (auto millisecond = 0; millisecond < 30'000; ++millisecond) {
            const auto now = start + absl::Milliseconds(millisecond);
            const auto host = std::uniform_int_distribution<std::size_t>(0, hosts.size() - 1)(random);
            if (millisecond % 7000 == 6999) {
                const auto downUntil = now + absl::Milliseconds(500);
                std::fill(startedAt.begin(), startedAt.end(), downUntil);
                std::fill(quotas.begin(), quotas.end(), WindowQuota {});
            }
            const auto hostLimit = partOf(holders, hosts[host].hash_);
            if (now >= startedAt[host] && admit(quotas[host], now, { hostLimit, startedAt[host], PartGrowth::Linear }, settings.window_).isAdmitted_) {
                admitted.push_back(now);
            }
        }
        CAPTURE(seed);
        CHECK(static_cast<double>(largestWindow(admitted, settings.window_)) <= allowed);
        CHECK(admitted.size() > 500);
    }
}
