#include "support/scenario.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <thread>

namespace integration
{

namespace
{

constexpr auto statusOk = 200;
constexpr auto pollInterval = std::chrono::milliseconds { 5 };

}

auto lookUpKeyPrefix(Caller &caller, const TestHost &host) -> std::string
{
    auto request = CallerRequest {};
    request.path_ = "/.well-known/lycheecleat/lookup";
    const auto response = caller.send(host.address_, request);
    if (response.status_ != statusOk) {
        throw std::runtime_error("the lookup failed: " + response.body_ + response.error_);
    }
    return nlohmann::json::parse(response.body_).at("idempotency_key_prefix").get<std::string>();
}

auto hostOfKeyPrefix(const std::string &prefix) -> std::string
{
    return prefix.substr(0, prefix.find('.'));
}

auto waitForExecution(const Deployment &deployment, const std::string &testId, std::chrono::milliseconds limit) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (executionsOf(deployment, testId) == 0) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

auto executionsOf(const Deployment &deployment, const std::string &testId) -> int
{
    const auto counts = deployment.executions();
    const auto found = counts.find(testId);
    return found == counts.end() ? 0 : found->second;
}

}
