#include "support/configurationstatus.h"

#include "support/controlcall.h"

#include <fmt/format.h>
#include <httplib.h>
#include <nlohmann/json.hpp>

#include <set>
#include <thread>

namespace integration
{

namespace
{

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;

constexpr auto pollInterval = std::chrono::milliseconds { 50 };
constexpr auto responseTimeout = std::chrono::milliseconds { 500 };
constexpr auto statusOk = 200;

auto operatorKeyFile(const Deployment &deployment) -> std::string
{
    return deployment.folder() + "/operator-key";
}

auto operatorKey(const Deployment &deployment) -> std::string
{
    auto key = readText(operatorKeyFile(deployment));
    key.erase(key.find_last_not_of('\n') + 1);
    return key;
}

/** Revision and digest of each running daemon, one per line; empty if all have the given revision and equal digests. */
auto describeDifferences(Deployment &deployment, std::int64_t revision) -> std::string
{
    auto description = std::string {};
    auto digests = std::set<std::string> {};
    auto allHaveRevision = true;
    for (auto &host : deployment.hosts()) {
        if (!host.process_ || !host.process_->isRunning()) {
            continue;
        }
        const auto status = readConfigurationStatus(deployment, host).value_or(ConfigurationStatus {});
        description += fmt::format("{} has revision {} {}, expected {}\n", host.name_, status.revision_, status.digest_, revision);
        digests.insert(status.digest_);
        allHaveRevision = allHaveRevision && status.revision_ == revision;
    }
    return allHaveRevision && digests.size() <= 1 ? std::string {} : description;
}

}

auto administrationOptions(Deployment &deployment, const std::vector<std::string> &hosts) -> std::vector<std::string>
{
    auto options = std::vector<std::string> { "--operator-key-file", operatorKeyFile(deployment) };
    for (const auto &name : hosts) {
        options.insert(options.end(), { "--admin", deployment.host(name).adminAddress_ });
    }
    return options;
}

auto readConfigurationStatus(const Deployment &deployment, const TestHost &host) -> std::optional<ConfigurationStatus>
{
    auto connection = httplib::Client("http://" + host.adminAddress_);
    connection.set_connection_timeout(responseTimeout);
    connection.set_read_timeout(responseTimeout);
    const auto response = connection.Get("/v1/status", httplib::Headers { { "Authorization", "Bearer " + operatorKey(deployment) } });
    if (!response || response->status != statusOk) {
        return std::nullopt;
    }
    const auto status = Json::parse(response->body);
    return ConfigurationStatus { status.at("revision"), status.at("digest"), status.at("ready"), status.at("pending_withdrawals") };
}

auto storedRevision(const Deployment &deployment) -> std::int64_t
{
    const auto entries = readControl(deployment.storeAddress(), "/control/dump").at("entries");
    if (!entries.contains("head")) {
        return 0;
    }
    return Json::parse(entries.at("head").at("value").get<std::string>()).at("revision");
}

auto waitForRevision(Deployment &deployment, std::int64_t revision, std::chrono::milliseconds limit) -> std::string
{
    const auto deadline = Clock::now() + limit;
    auto differences = describeDifferences(deployment, revision);
    while (!differences.empty() && Clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
        differences = describeDifferences(deployment, revision);
    }
    return differences;
}

}
