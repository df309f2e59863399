/** Settings of a daemon, read from a YAML file and validated in full at start. */
#pragma once

#include "core/error.h"
#include "core/log.h"
#include "version/ruleproblem.h"

#include <absl/time/time.h>

#include <string>
#include <vector>

namespace lycheecleat
{

/** Default of Settings::threads_. */
inline constexpr auto defaultThreads = 512;

/** Default of Settings::lookupLifetime_. */
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
    /** File that holds the operator key; if empty, only loopback addresses may use the operator interface. */
    std::string operatorKeyFile_;
    /** Caller requests served concurrently. */
    int threads_ = defaultThreads;
    /** How long callers may use a lookup response. */
    absl::Duration lookupLifetime_ = defaultLookupLifetime;
    LogSettings log_;
};

/** Parsed settings, valid only if there are no problems. */
struct CheckedSettings
{
    Settings settings_;
    std::vector<RuleProblem> problems_;
};

/** Parses and validates settings and reports all problems. The file name appears in the problems only. */
[[nodiscard]] auto checkSettings(const std::string &file, const std::string &text) -> CheckedSettings;

/** Reads and validates a settings file. Errors: the file cannot be read, or the settings have problems, listed one per line. */
[[nodiscard]] auto readSettings(const std::string &file) -> Result<Settings>;

/** Reads a secret from a file, without trailing white space. Errors: the file cannot be read or is empty. */
[[nodiscard]] auto readSecret(const std::string &file) -> Result<std::string>;

}
