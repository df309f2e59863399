/** Calls a daemon's administration API. */
#pragma once

#include "connection/hoststatus.h"
#include "core/error.h"

#include <absl/time/time.h>

#include <string>

namespace lycheecleat
{

/** Which daemon to call, and how. */
struct AdministrationEndpoint
{
    /** IP address and port. */
    std::string address_;
    /** Sent as `Authorization: Bearer`; empty when the daemon serves operators on loopback only. */
    std::string operatorKey_;
    absl::Duration timeout_ = absl::Seconds(1);

    auto operator==(const AdministrationEndpoint &other) const -> bool = default;
};

/** Reads a daemon's status. Errors: no answer in time, refused, malformed answer. */
[[nodiscard]] auto fetchHostStatus(const AdministrationEndpoint &daemon) -> Result<HostStatus>;

/** Which request a host of a discovered deployment is asked to explain. */
struct ExplanationRequest
{
    std::string host_;
    std::string path_;
    std::string object_;
    std::string organisation_;

    auto operator==(const ExplanationRequest &other) const -> bool = default;
};

/** Asks a host where a request would go and why; gives the JSON text of its answer. Errors: as above. */
[[nodiscard]] auto fetchExplanation(const AdministrationEndpoint &daemon, const ExplanationRequest &request) -> Result<std::string>;

/** Submits the withdrawal of a key to a daemon. Errors: as above; the daemon may then hold the withdrawal. */
[[nodiscard]] auto submitWithdrawal(const AdministrationEndpoint &daemon, const std::string &keyName) -> Result<WithdrawalStatus>;

}
