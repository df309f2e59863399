#include "version/policyindex.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

auto makeRoute(const std::string &name, const std::string &host, const std::string &prefix) -> PolicyRoute
{
    auto route = PolicyRoute {};
    route.name_ = name;
    route.host_ = host;
    route.prefix_ = prefix;
    return route;
}

struct RouteCase
{
    std::string host_;
    std::string path_;
    /** Empty if no route matches. */
    std::string expected_;
};

}

// Guards against matching a shorter prefix before a longer one, and against matching routes of other hosts.
TEST_CASE("findRoute returns the route of the host with the longest matching prefix")
{
    auto policy = TrafficPolicy {};
    policy.routes_ = { makeRoute("short", "a.example", "/x/"), makeRoute("long", "a.example", "/x/y/"), makeRoute("other", "b.example", "/x/") };
    const auto index = PolicyIndex(policy);
    const auto cases = std::vector<RouteCase> {
        { "a.example", "/x/1", "short" },   { "a.example", "/x/y/1", "long" }, { "A.Example:80", "/x/y", "short" },
        { "b.example", "/x/y/1", "other" }, { "b.example", "/y/", "" },        { "c.example", "/x/", "" },
    };
    for (const auto &routeCase : cases) {
        CAPTURE(routeCase.host_ + routeCase.path_);
        const auto *route = index.findRoute(routeCase.host_, routeCase.path_);
        CHECK((route == nullptr ? std::string {} : route->name_) == routeCase.expected_);
    }
}

// Guards against attributing requests to the wrong organisation.
TEST_CASE("findByKey returns the organisation that lists the key")
{
    auto policy = TrafficPolicy {};
    policy.organisations_ = { { { "first", 1, 1, 1 }, { "k1", "k2" }, {}, {} }, { { "second", 1, 1, 1 }, { "k3" }, {}, {} } };
    const auto index = PolicyIndex(policy);
    REQUIRE(index.findByKey("k2") != nullptr);
    CHECK(index.findByKey("k2")->limits_.name_ == "first");
    CHECK(index.findByKey("k3")->limits_.name_ == "second");
    CHECK(index.findByKey("k") == nullptr);
}
