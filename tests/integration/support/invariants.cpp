#include "support/invariants.h"

#include "support/controlcall.h"

#include <fmt/format.h>

#include <algorithm>
#include <cctype>
#include <map>

namespace integration
{

namespace
{

using Json = nlohmann::json;

constexpr auto statusOk = 200;

auto lowerCase(std::string text) -> std::string
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

/** Summary of all calls with the same X-Test-Id. */
struct CallGroup
{
    bool runsAtMostOnce_ = false;
    bool isEveryCallNotRun_ = true;
};

auto groupCalls(const std::vector<CallRecord> &calls) -> std::map<std::string, CallGroup>
{
    auto groups = std::map<std::string, CallGroup> {};
    for (const auto &call : calls) {
        auto &group = groups[call.request_.testId_];
        group.runsAtMostOnce_ = group.runsAtMostOnce_ || call.request_.runsAtMostOnce_;
        group.isEveryCallNotRun_ = group.isEveryCallNotRun_ && call.response_.outcome_ == "not-run";
    }
    return groups;
}

auto executionViolations(const Deployment &deployment, const std::vector<CallRecord> &calls) -> std::string
{
    auto violations = std::string {};
    const auto executions = deployment.executions();
    for (const auto &[testId, group] : groupCalls(calls)) {
        const auto found = executions.find(testId);
        const auto count = found == executions.end() ? 0 : found->second;
        if (group.runsAtMostOnce_ && count > 1) {
            violations += fmt::format("{} must run at most once and has {} executions\n", testId, count);
        }
        if (group.isEveryCallNotRun_ && count > 0) {
            violations += fmt::format("{} has the outcome not-run and {} executions\n", testId, count);
        }
    }
    return violations;
}

/** Checks that responses are complete and belong to their request: a backend server's 200 response contains the X-Test-Id of its request. */
auto responseViolations(const std::vector<CallRecord> &calls) -> std::string
{
    auto violations = std::string {};
    for (const auto &call : calls) {
        if (!call.response_.isComplete_ || call.response_.status_ != statusOk) {
            continue;
        }
        const auto body = Json::parse(call.response_.body_, nullptr, false);
        if (body.is_discarded()) {
            violations += fmt::format("{} received an incomplete response\n", call.request_.testId_);
        } else if (body.is_object() && body.contains("id") && body.at("id") != call.request_.testId_) {
            violations += fmt::format("{} received the response to {}\n", call.request_.testId_, body.at("id").dump());
        }
    }
    return violations;
}

auto recordViolations(const TestBackend &backend, const std::vector<std::string> &keys) -> std::string
{
    auto violations = std::string {};
    const auto record = readControl(backend.listen_, "/control/record");
    if (record.at("discarded") != 0) {
        violations += fmt::format("{} discarded parts of its request record, so the check for keys is incomplete\n", backend.name_);
    }
    for (const auto &request : record.at("requests")) {
        const auto raw = lowerCase(request.at("raw").get<std::string>());
        for (const auto &key : keys) {
            if (raw.find(lowerCase(key)) != std::string::npos) {
                violations += fmt::format("{} received a key with request {}\n", backend.name_, request.at("id").dump());
            }
        }
    }
    return violations;
}

auto concurrencyViolations(const TestBackend &backend) -> std::string
{
    const auto counts = readControl(backend.listen_, "/control/counts");
    if (counts.at("highest_concurrency").get<int>() <= counts.at("slots").get<int>()) {
        return {};
    }
    return fmt::format("{} had {} concurrent requests with {} slots\n", backend.name_, counts.at("highest_concurrency").dump(), counts.at("slots").dump());
}

}

auto findViolations(Deployment &deployment, const std::vector<CallRecord> &calls, const std::vector<std::string> &keys) -> std::string
{
    auto violations = executionViolations(deployment, calls) + responseViolations(calls);
    for (auto &backend : deployment.backends()) {
        if (!backend.process_ || !backend.process_->isRunning()) {
            continue;
        }
        violations += recordViolations(backend, keys) + concurrencyViolations(backend);
    }
    return violations;
}

}
