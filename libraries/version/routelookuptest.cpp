#include "version/routelookup.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

struct RouteCase
{
    std::string host_;
    std::string path_;
    /** Empty if no route matches. */
    std::string expected_;
};

auto route(const std::string &name, const std::string &host, const std::string &path) -> Route
{
    auto route = Route {};
    route.name_ = name;
    route.host_ = host;
    route.pathPrefix_ = path;
    return route;
}

}

// Guards against routing a request by a rule other than the first match in file order, which may have another pool or access.
TEST_CASE("findRoute returns the first match in file order")
{
    auto configuration = Configuration {};
    configuration.routes_ = {
        route("tides-today", "dive.example", "/tides/today"),
        route("tides", "dive.example", "/tides"),
        route("any-status", "*", "/status"),
        route("rest", "dive.example", "/"),
    };
    const auto cases = std::vector<RouteCase> {
        { "dive.example", "/tides/today", "tides-today" },
        { "dive.example", "/tides/today/late", "tides-today" },
        { "dive.example", "/tides", "tides" },
        { "dive.example", "/tides/", "tides" },
        { "dive.example", "/tidesx", "rest" },
        { "Dive.Example:8080", "/tides", "tides" },
        { "other.example", "/status", "any-status" },
        { "other.example", "/tides", "" },
        { "[::1]:80", "/status", "any-status" },
        { "dive.example", "", "rest" },
        { "", "/tides", "" },
    };
    for (const auto &routeCase : cases) {
        CAPTURE(routeCase.host_);
        CAPTURE(routeCase.path_);
        const auto *found = findRoute(configuration, routeCase.host_, routeCase.path_);
        CHECK((found == nullptr ? std::string {} : found->name_) == routeCase.expected_);
    }
}
