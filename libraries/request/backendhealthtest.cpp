#include "request/backendhealth.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

using Names = std::vector<std::string>;

const auto start = absl::UnixEpoch() + absl::Hours(1);

auto configurationOf(const Names &backends, absl::Duration slowStart = absl::ZeroDuration()) -> Configuration
{
    auto configuration = Configuration {};
    auto pool = Pool { "p", 1, {}, slowStart };
    for (const auto &name : backends) {
        pool.backends_.push_back({ name, name.substr(0, 2), "" });
    }
    configuration.pools_.push_back(pool);
    return configuration;
}

// Percentage of requests for which a server is excluded.
auto excludedPercent(const BackendHealth &health, absl::Time now, const Pool &pool, const std::string &name) -> double
{
    constexpr auto requests = 2000;
    auto count = 0;
    for (auto hash = std::uint64_t { 0 }; hash < requests; ++hash) {
        for (const auto &excluded : health.exclusions(now, pool, hash).preferred_) {
            count += excluded == name ? 1 : 0;
        }
    }
    return count * 100.0 / requests;
}

}

// Guards against sending requests to a failing server, and against ejecting a server for a failure caused by a single request.
TEST_CASE("a server is ejected after repeated failures and used again afterwards")
{
    const auto configuration = configurationOf({ "z1-a", "z1-b" });
    const auto &pool = configuration.pools_.front();
    auto health = BackendHealth();
    health.configure(start, configuration, {});
    health.recordExchange(start, "z1-a", ExchangeHealth::Failure);
    health.recordExchange(start, "z1-a", ExchangeHealth::Failure);
    health.recordExchange(start, "z1-a", ExchangeHealth::Success);
    health.recordExchange(start, "z1-a", ExchangeHealth::Failure);
    CHECK(health.exclusions(start, pool, 0).preferred_.empty());
    health.recordExchange(start, "z1-a", ExchangeHealth::Failure);
    health.recordExchange(start, "z1-a", ExchangeHealth::Failure);
    CHECK(health.exclusions(start, pool, 0).preferred_ == Names { "z1-a" });
    const auto afterEjection = start + absl::Seconds(1);
    CHECK(health.exclusions(afterEjection, pool, 0).preferred_.empty());
    health.recordExchange(afterEjection, "z1-a", ExchangeHealth::Unreachable);
    CHECK(health.exclusions(afterEjection + absl::Milliseconds(1999), pool, 0).preferred_ == Names { "z1-a" });
    CHECK(health.exclusions(afterEjection + absl::Seconds(2), pool, 0).preferred_.empty());
}

// Guards against overloading the remaining servers when a whole zone, or this host's network, fails.
TEST_CASE("ejection leaves at least half of each zone's servers")
{
    const auto configuration = configurationOf({ "z1-a", "z1-b", "z1-c", "z2-a", "z2-b" });
    auto health = BackendHealth();
    health.configure(start, configuration, {});
    for (const auto &backend : configuration.pools_.front().backends_) {
        health.recordExchange(start, backend.name_, ExchangeHealth::Unreachable);
    }
    CHECK(health.exclusions(start, configuration.pools_.front(), 0).preferred_.size() == 2);
}

// Guards against new requests to a server that is shutting down, by whichever means this becomes known.
TEST_CASE("drained, leaving and closing servers get no new requests")
{
    auto configuration = configurationOf({ "z1-a", "z1-b", "z1-c", "z1-d" });
    configuration.drains_.push_back({ "d", DrainTarget::Backend, "z1-a" });
    auto health = BackendHealth();
    health.configure(start, configuration, { "z1-b" });
    health.recordExchange(start, "z1-c", ExchangeHealth::Closing);
    const auto exclusions = health.exclusions(start, configuration.pools_.front(), 0);
    CHECK(exclusions.required_ == Names { "z1-a", "z1-b" });
    CHECK(exclusions.preferred_ == Names { "z1-c" });
}

// Guards against full load on a cold server after a drain, and against a starting host that puts all servers into slow start.
TEST_CASE("a server that is new or no longer drained goes through slow start")
{
    const auto before = configurationOf({ "z1-a", "z1-b" }, absl::Seconds(10));
    const auto after = configurationOf({ "z1-a", "z1-b", "z1-c" }, absl::Seconds(10));
    const auto &pool = after.pools_.front();
    auto health = BackendHealth();
    health.configure(start, before, { "z1-b" });
    CHECK(excludedPercent(health, start, pool, "z1-a") == 0);
    health.configure(start, after, {});
    CHECK(excludedPercent(health, start, pool, "z1-a") == 0);
    for (const auto &name : Names { "z1-b", "z1-c" }) {
        CAPTURE(name);
        CHECK(excludedPercent(health, start, pool, name) == doctest::Approx(90).epsilon(0.05));
        CHECK(excludedPercent(health, start + absl::Seconds(5), pool, name) == doctest::Approx(50).epsilon(0.1));
        CHECK(excludedPercent(health, start + absl::Seconds(10), pool, name) == 0);
    }
}

namespace
{

struct ReportCase
{
    std::string description_;
    std::vector<HealthReport> reports_;
    bool isExcluded_;
};

}

// Guards against new requests to a draining server, and against misreading endpoints that always close the connection.
TEST_CASE("health reports exclude a leaving server")
{
    const auto keeps = HealthReport {};
    const auto drains = HealthReport { true, false };
    const auto closes = HealthReport { false, true };
    const auto cases = std::vector<ReportCase> {
        { "no report", {}, false },
        { "healthy", { keeps }, false },
        { "draining", { drains }, true },
        { "draining and closing", { { true, true } }, true },
        { "draining, then healthy", { drains, keeps }, false },
        { "always closes", { closes, closes }, false },
        { "closes after keeping a connection", { keeps, closes, closes }, true },
        { "closes, then keeps a connection again", { keeps, closes, keeps }, false },
    };
    for (const auto &reportCase : cases) {
        CAPTURE(reportCase.description_);
        const auto configuration = configurationOf({ "z1-a", "z1-b" });
        auto health = BackendHealth();
        health.configure(start, configuration, {});
        for (const auto &report : reportCase.reports_) {
            static_cast<void>(health.recordReport(start, "z1-a", report));
        }
        const auto expected = reportCase.isExcluded_ ? Names { "z1-a" } : Names {};
        CHECK(health.exclusions(start + absl::Minutes(1), configuration.pools_.front(), 0).preferred_ == expected);
    }
}

// Guards against wrong health reports that exclude more than half of a zone, or that keep a failing server in use.
TEST_CASE("health reports exclude at most half of a zone's servers in use, ejected ones first")
{
    const auto configuration = configurationOf({ "z1-a", "z1-b", "z1-c", "z1-d", "z2-a" });
    const auto &pool = configuration.pools_.front();
    auto health = BackendHealth();
    health.configure(start, configuration, {});
    const auto *const reportedLater = "z1-a";
    for (const auto *const name : { "z1-b", "z1-c", "z1-d", "z2-a" }) {
        static_cast<void>(health.recordReport(start, name, { true, false }));
    }
    static_cast<void>(health.recordReport(start + absl::Seconds(1), reportedLater, { true, false }));
    const auto now = start + absl::Seconds(2);
    CHECK(health.exclusions(now, pool, 0).preferred_ == Names { "z1-b", "z1-c" });
    health.recordExchange(now, reportedLater, ExchangeHealth::Unreachable);
    CHECK(health.exclusions(now, pool, 0).preferred_ == Names { "z1-a", "z1-b" });
    health.configure(now, configuration, { "z1-c", "z1-d" });
    const auto withDrained = health.exclusions(now, pool, 0);
    CHECK(withDrained.required_ == Names { "z1-c", "z1-d" });
    CHECK(withDrained.preferred_ == Names { "z1-a" });
}

namespace
{

struct ZoneCase
{
    std::string description_;
    Names servers_;
    Names ejected_;
    /** Reported as leaving, in this order. */
    Names reported_;
    Names excluded_;
};

}

// Guards against new requests to a leaving server because the ejected servers of its zone already make up half of the zone, and against a zone without
// servers.
TEST_CASE("a server that is reported as leaving is excluded whatever is ejected, and one server of each zone remains")
{
    const auto four = Names { "z1-a", "z1-b", "z1-c", "z1-d" };
    const auto cases = std::vector<ZoneCase> {
        { "one reported beside two ejected", four, { "z1-a", "z1-b" }, { "z1-c" }, { "z1-a", "z1-b", "z1-c" } },
        { "two reported beside one ejected", four, { "z1-a" }, { "z1-c", "z1-d" }, { "z1-a", "z1-c", "z1-d" } },
        { "two reported beside two ejected", four, { "z1-a", "z1-b" }, { "z1-c", "z1-d" }, { "z1-b", "z1-c", "z1-d" } },
        { "one reported and ejected beside one ejected", four, { "z1-a", "z1-b" }, { "z1-b" }, { "z1-a", "z1-b" } },
        { "three reported", four, {}, { "z1-d", "z1-b", "z1-c" }, { "z1-b", "z1-d" } },
        { "three ejected", four, { "z1-a", "z1-b", "z1-c" }, {}, { "z1-b", "z1-c" } },
        { "three ejected beside one reported", four, { "z1-a", "z1-b", "z1-c" }, { "z1-d" }, { "z1-b", "z1-c", "z1-d" } },
        { "one reported and one ejected of two", { "z1-a", "z1-b" }, { "z1-a" }, { "z1-b" }, { "z1-b" } },
        { "one reported of one", { "z1-a" }, {}, { "z1-a" }, {} },
    };
    for (const auto &zoneCase : cases) {
        CAPTURE(zoneCase.description_);
        const auto configuration = configurationOf(zoneCase.servers_);
        auto health = BackendHealth();
        health.configure(start, configuration, {});
        auto now = start;
        for (const auto &name : zoneCase.reported_) {
            static_cast<void>(health.recordReport(now, name, { true, false }));
            now += absl::Milliseconds(1);
        }
        for (const auto &name : zoneCase.ejected_) {
            health.recordExchange(now, name, ExchangeHealth::Unreachable);
        }
        const auto exclusions = health.exclusions(now, configuration.pools_.front(), 0);
        CHECK(exclusions.required_.empty());
        CHECK(exclusions.preferred_ == zoneCase.excluded_);
    }
}

// Guards against sending callers' requests every two seconds to a server that keeps closing its connections.
TEST_CASE("the backoff grows while a server keeps closing its connections")
{
    const auto configuration = configurationOf({ "z1-a", "z1-b" });
    const auto &pool = configuration.pools_.front();
    auto health = BackendHealth();
    health.configure(start, configuration, {});
    auto now = start;
    for (const auto seconds : { 2, 4, 8, 16, 30, 30 }) {
        CAPTURE(seconds);
        health.recordExchange(now, "z1-a", ExchangeHealth::Closing);
        health.recordExchange(now, "z1-a", ExchangeHealth::Closing);
        const auto end = now + absl::Seconds(seconds);
        CHECK(health.exclusions(end - absl::Milliseconds(1), pool, 0).preferred_ == Names { "z1-a" });
        CHECK(health.exclusions(end, pool, 0).preferred_.empty());
        now = end;
    }
    health.recordExchange(now, "z1-a", ExchangeHealth::Success);
    health.recordExchange(now, "z1-a", ExchangeHealth::Closing);
    CHECK(health.exclusions(now + absl::Seconds(2), pool, 0).preferred_.empty());
}
