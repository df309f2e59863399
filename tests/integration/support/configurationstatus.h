/** The configuration status that daemons report through the administration API, for tests that compare hosts. */
#pragma once

#include "support/deployment.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace integration
{

/** The configuration that a daemon reports as in force. */
struct ConfigurationStatus
{
    std::int64_t revision_ = 0;
    std::string digest_;
    /** Whether the daemon serves callers. During startup a daemon may adopt several revisions before it is ready. */
    bool ready_ = false;
    /** Names of withdrawn keys that are still active in the configuration in force. */
    std::vector<std::string> pendingWithdrawals_;

    auto operator==(const ConfigurationStatus &other) const -> bool = default;
};

/** Options of the command-line tool with the operator key file and the administration address of each host. */
[[nodiscard]] auto administrationOptions(Deployment &deployment, const std::vector<std::string> &hosts) -> std::vector<std::string>;

/** Reads the status of a daemon; none if the daemon does not respond with a 200. */
[[nodiscard]] auto readConfigurationStatus(const Deployment &deployment, const TestHost &host) -> std::optional<ConfigurationStatus>;

/** Revision of the configuration head in the store; 0 if the store has no head. */
[[nodiscard]] auto storedRevision(const Deployment &deployment) -> std::int64_t;

/** Waits until all running daemons have the given revision and equal digests. Returns an empty text, or after the time limit what each daemon has. */
[[nodiscard]] auto waitForRevision(Deployment &deployment, std::int64_t revision, std::chrono::milliseconds limit) -> std::string;

}
