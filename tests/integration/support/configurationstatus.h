/** What a daemon's administration API says of its configuration, for tests that compare hosts. */
#pragma once

#include "support/deployment.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace integration
{

/** One daemon's configuration as it states it. */
struct ConfigurationStatus
{
    std::int64_t revision_ = 0;
    std::string digest_;
    /** Whether it serves callers. A daemon that starts takes several revisions before that. */
    bool ready_ = false;
    /** Names of withdrawn keys that the configuration in force still shows as active. */
    std::vector<std::string> pendingWithdrawals_;

    auto operator==(const ConfigurationStatus &other) const -> bool = default;
};

/** Options of the tool that name the operator key and the administration address of each host. */
[[nodiscard]] auto administrationOptions(Deployment &deployment, const std::vector<std::string> &hosts) -> std::vector<std::string>;

/** Asks a daemon; none when it does not answer. */
[[nodiscard]] auto readConfigurationStatus(const Deployment &deployment, const TestHost &host) -> std::optional<ConfigurationStatus>;

/** Revision of the head that the store holds; 0 without a head. */
[[nodiscard]] auto storedRevision(const Deployment &deployment) -> std::int64_t;

/** Waits until all running daemons have one revision, and one digest with it. Gives what each has if they don't after the time; else nothing. */
[[nodiscard]] auto waitForRevision(Deployment &deployment, std::int64_t revision, std::chrono::milliseconds limit) -> std::string;

}
