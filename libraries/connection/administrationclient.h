/** Client of a daemon's administration API (HTTP and JSON). */
#pragma once

#include "connection/hoststatus.h"
#include "core/error.h"

#include <absl/time/time.h>

#include <string>

namespace lycheecleat
{

/** Address, credentials and timeout of one daemon's administration API. */
struct AdministrationEndpoint
{
    /** IP address and port. */
    std::string address_;
    /** Sent as `Authorization: Bearer`; empty when the daemon's administration API listens on loopback only. */
    std::string operatorKey_;
    absl::Duration timeout_ = absl::Seconds(1);

    auto operator==(const AdministrationEndpoint &other) const -> bool = default;
};

/** Reads a daemon's status. Errors: no response within the timeout, an error status, malformed response. */
[[nodiscard]] auto fetchHostStatus(const AdministrationEndpoint &daemon) -> Result<HostStatus>;

/** The request whose routing a host of a discovered deployment is to explain. */
struct ExplanationRequest
{
    std::string host_;
    std::string path_;
    std::string object_;
    std::string organisation_;

    auto operator==(const ExplanationRequest &other) const -> bool = default;
};

/** Fetches a host's explanation of where it would route a request and why, as JSON text. Errors: as for fetchHostStatus. */
[[nodiscard]] auto fetchExplanation(const AdministrationEndpoint &daemon, const ExplanationRequest &request) -> Result<std::string>;

/** Submits the withdrawal of a key to a daemon. Errors: as for fetchHostStatus; the daemon may have stored the withdrawal even so. */
[[nodiscard]] auto submitWithdrawal(const AdministrationEndpoint &daemon, const std::string &keyName) -> Result<WithdrawalStatus>;

}
