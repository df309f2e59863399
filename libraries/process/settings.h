/** Settings of one daemon, read from a YAML file and checked wholly at start. */
#pragma once

#include "core/error.h"
#include "core/log.h"
#include "version/ruleproblem.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace lycheecleat
{

/** Caller connections served at once when the settings do not say. */
inline constexpr auto defaultThreads = 512;

/** How long callers may keep a lookup answer when the settings do not say. */
inline constexpr auto defaultLookupLifetime = absl::Seconds(5);

/** Settings of a daemon. Addresses are an IP address and a port. */
struct Settings
{
    /** Declared name of this host. */
    std::string name_;
    std::string zone_;
    /** Address for callers. */
    std::string listen_;
    /** Address for other daemons. */
    std::string peerListen_;
    /** Address for operators and metrics. */
    std::string adminListen_;
    /** Address of the platform's store. */
    std::string store_;
    /** File that holds the fleet secret. */
    std::string secretFile_;
    /** File that holds the operator key; empty when only loopback callers administer this host. */
    std::string operatorKeyFile_;
    /** Caller connections served at once. */
    int threads_ = defaultThreads;
    absl::Duration lookupLifetime_ = defaultLookupLifetime;
    LogSettings log_;
};

/** Settings, valid only when there are no problems. */
struct CheckedSettings
{
    Settings settings_;
    std::vector<RuleProblem> problems_;
};

/** Parses and checks settings and reports every problem at once. The file name is for the problems. */
[[nodiscard]] auto checkSettings(const std::string &file, const std::string &text) -> CheckedSettings;

/** Reads and checks a settings file. Errors: the file cannot be read, or every problem found, one a line. */
[[nodiscard]] auto readSettings(const std::string &file) -> Result<Settings>;

/** Reads a secret from a file, without white space at its end. Errors: the file cannot be read or is empty. */
[[nodiscard]] auto readSecret(const std::string &file) -> Result<std::string>;

}
