#include "version/explanation.h"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

auto sampleConfiguration() -> Configuration
{
    auto configuration = Configuration {};
    configuration.regions_ = { { "north", { "n1", "n2" } }, { "south", { "s1" } } };
    configuration.pools_ = { { "log", 9, { { "b1", "n1", "" }, { "b2", "n1", "" }, { "b3", "s1", "" } }, absl::ZeroDuration() } };
    auto route = Route {};
    route.name_ = "bookings";
    route.file_ = "60.yaml";
    route.host_ = "*";
    route.pathPrefix_ = "/bookings";
    route.pool_ = "log";
    route.repeatable_ = false;
    configuration.routes_ = { route };
    configuration.drains_ = { { "d", DrainTarget::Backend, "b2" }, { "e", DrainTarget::Zone, "s1" } };
    auto shift = Shift {};
    shift.name_ = "move";
    shift.pool_ = "log";
    configuration.shifts_ = { shift };
    return configuration;
}

struct MethodCase
{
    std::string method_;
    bool needsIdempotencyKey_;
};

}

// Guards against an explanation that lists backend servers that get no requests, or the wrong route.
TEST_CASE("explainRequest returns the route, the backend servers by zone and the shifts")
{
    const auto explanation = explainRequest(sampleConfiguration(), "any.example", "/bookings/7", "POST");
    REQUIRE(explanation.route_);
    CHECK(explanation.route_->name_ == "bookings");
    CHECK(explanation.slots_ == 9);
    CHECK(explanation.zones_
          == std::vector<ZoneBackends> { { "north", "n1", { "b1" }, { "b2" } }, { "north", "n2", {}, {} }, { "south", "s1", {}, { "b3" } } });
    CHECK(explanation.shifts_.size() == 1);
    CHECK(describe(explanation).find("bookings in 60.yaml") != std::string::npos);
}

// Guards against wrong information on which requests need an idempotency key.
TEST_CASE("explainRequest reports whether an idempotency key is needed")
{
    for (const auto &methodCase : std::vector<MethodCase> { { "POST", true }, { "DELETE", true }, { "GET", false }, { "HEAD", false }, { "OPTIONS", false } }) {
        CAPTURE(methodCase.method_);
        CHECK(explainRequest(sampleConfiguration(), "a", "/bookings", methodCase.method_).needsIdempotencyKey_ == methodCase.needsIdempotencyKey_);
    }
}

// Guards against explaining a request without a route by an unrelated route.
TEST_CASE("explainRequest reports that no route matches")
{
    const auto explanation = explainRequest(sampleConfiguration(), "a", "/other", "GET");
    CHECK(explanation == Explanation {});
    CHECK(describe(explanation) == "no route matches; the request is refused\n");
}
