#include "version/policycheck.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <vector>

using namespace lycheecleat;

namespace
{

auto validPolicy() -> TrafficPolicy
{
    auto service = PolicyService {};
    service.name_ = "s";
    auto route = PolicyRoute {};
    route.name_ = "r";
    route.host_ = "a.example";
    route.prefix_ = "/x/";
    route.destinations_ = { { "s", 1 } };
    auto organisation = PolicyOrganisation {};
    organisation.limits_.name_ = "o";
    organisation.keys_ = { "k" };
    auto policy = TrafficPolicy {};
    policy.version_ = 1;
    policy.services_ = { service };
    policy.routes_ = { route };
    policy.organisations_ = { organisation };
    return policy;
}

struct FaultCase
{
    std::string title_;
    std::function<void(TrafficPolicy &)> change_;
    bool isValid_;
};

}

// Guards against an inconsistent policy coming into force, which would answer proper requests with errors or send them to the wrong organisation's limits.
TEST_CASE("a policy that cannot be served as a whole is a fault")
{
    const auto cases = std::vector<FaultCase> {
        { "unchanged", [](TrafficPolicy &) {}, true },
        { "no routes",
          [](TrafficPolicy &policy) {
              policy.routes_.clear();
          },
          true },
        { "an unknown service",
          [](TrafficPolicy &policy) {
              policy.routes_[0].destinations_ = { { "t", 1 } };
          },
          false },
        { "an unknown service without weight",
          [](TrafficPolicy &policy) {
              policy.routes_[0].destinations_ = { { "s", 1 }, { "t", 0 } };
          },
          false },
        { "a weight of 0 beside another",
          [](TrafficPolicy &policy) {
              policy.routes_[0].destinations_ = { { "s", 1 }, { "s", 0 } };
          },
          true },
        { "no weight",
          [](TrafficPolicy &policy) {
              policy.routes_[0].destinations_ = { { "s", 0 } };
          },
          false },
        { "a negative weight",
          [](TrafficPolicy &policy) {
              policy.routes_[0].destinations_ = { { "s", 1 }, { "s", -1 } };
          },
          false },
        { "no attempts",
          [](TrafficPolicy &policy) {
              policy.routes_[0].maximumAttempts_ = 0;
          },
          false },
        { "two routes at one place",
          [](TrafficPolicy &policy) {
              policy.routes_.push_back(policy.routes_[0]);
          },
          false },
        { "two routes with different prefixes",
          [](TrafficPolicy &policy) {
              policy.routes_.push_back(policy.routes_[0]);
              policy.routes_[1].prefix_ = "/x/y/";
          },
          true },
        { "a key of two organisations",
          [](TrafficPolicy &policy) {
              policy.organisations_.push_back(policy.organisations_[0]);
          },
          false },
        { "a key listed twice",
          [](TrafficPolicy &policy) {
              policy.organisations_[0].keys_ = { "k", "k" };
          },
          true },
    };
    for (const auto &faultCase : cases) {
        CAPTURE(faultCase.title_);
        auto policy = validPolicy();
        faultCase.change_(policy);
        const auto fault = findPolicyFault(policy);
        CAPTURE(fault.value_or(""));
        CHECK(fault.has_value() != faultCase.isValid_);
    }
}
