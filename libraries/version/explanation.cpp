#include "version/explanation.h"

#include "version/routelookup.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <string_view>

namespace lycheecleat
{

namespace
{

auto isSafeMethod(const std::string &method) -> bool
{
    constexpr auto safeMethods = std::array<std::string_view, 3> { "GET", "HEAD", "OPTIONS" };
    return std::find(safeMethods.begin(), safeMethods.end(), method) != safeMethods.end();
}

auto backendsOfZone(const Configuration &configuration, const Pool &pool, const std::string &region, const std::string &zone) -> ZoneBackends
{
    auto result = ZoneBackends { region, zone, {}, {} };
    for (const auto &backend : pool.backends_) {
        if (backend.zone_ == zone) {
            auto &names = isDrained(configuration, backend) ? result.drained_ : result.inUse_;
            names.push_back(backend.name_);
        }
    }
    return result;
}

auto backendsByZone(const Configuration &configuration, const Pool &pool) -> std::vector<ZoneBackends>
{
    auto zones = std::vector<ZoneBackends> {};
    for (const auto &region : configuration.regions_) {
        for (const auto &zone : region.zones_) {
            zones.push_back(backendsOfZone(configuration, pool, region.name_, zone));
        }
    }
    return zones;
}

auto describeAccess(const Route &route) -> std::string
{
    if (route.access_ == Access::Open) {
        return "open to all";
    }
    return route.isolation_ == Isolation::Serve ? "needs a key; served while the host is isolated" : "needs a key; refused while the host is isolated";
}

auto describeZone(const ZoneBackends &zone) -> std::string
{
    const auto drained = zone.drained_.empty() ? std::string {} : fmt::format("; drained: {}", fmt::join(zone.drained_, ", "));
    const auto inUse = zone.inUse_.empty() ? std::string("none") : fmt::format("{}", fmt::join(zone.inUse_, ", "));
    return fmt::format("  {} / {}: {}{}\n", zone.region_, zone.zone_, inUse, drained);
}

auto describeShift(const Shift &shift) -> std::string
{
    constexpr auto percentPerWhole = 100.0;
    const auto start = absl::FormatTime(absl::RFC3339_sec, shift.start_, absl::UTCTimeZone());
    constexpr auto format = "shift      {}: {:g}% from {} to {}, at most {:g}/s, from {} over {}\n";
    return fmt::format(
        format, shift.name_, shift.share_ * percentPerWhole, shift.from_, shift.to_, shift.rateCap_, start, absl::FormatDuration(shift.rampDuration_));
}

}

auto explainRequest(const Configuration &configuration, const std::string &host, const std::string &path, const std::string &method) -> Explanation
{
    auto explanation = Explanation {};
    const auto *route = findRoute(configuration, host, path);
    if (route == nullptr) {
        return explanation;
    }
    explanation.route_ = *route;
    explanation.needsIdempotencyKey_ = !route->repeatable_ && !isSafeMethod(method);
    const auto *pool = findByName(configuration.pools_, route->pool_);
    if (pool != nullptr) {
        explanation.slots_ = pool->slots_;
        explanation.zones_ = backendsByZone(configuration, *pool);
    }
    std::copy_if(configuration.shifts_.begin(), configuration.shifts_.end(), std::back_inserter(explanation.shifts_), [&](const Shift &shift) {
        return shift.pool_ == route->pool_;
    });
    return explanation;
}

auto describe(const Explanation &explanation) -> std::string
{
    if (!explanation.route_) {
        return "no route matches; the request is refused\n";
    }
    const auto &route = *explanation.route_;
    auto text = fmt::format("route      {} in {} (host {}, path {})\n", route.name_, route.file_, route.host_, route.pathPrefix_);
    text += fmt::format("access     {}\n", describeAccess(route));
    text += fmt::format("repeat     {}\n", explanation.needsIdempotencyKey_ ? "runs at most once; needs an Idempotency-Key" : "may be repeated");
    text += fmt::format("deadline   {}\n", absl::FormatDuration(route.deadline_));
    for (const auto &shift : explanation.shifts_) {
        text += describeShift(shift);
    }
    text += fmt::format("pool       {}, {} slots on each backend server\n", route.pool_, explanation.slots_);
    for (const auto &zone : explanation.zones_) {
        text += describeZone(zone);
    }
    return text;
}

}
