/** Names and forms that callers and backend servers of a deployment use, which an adapter may replace. */
#pragma once

#include "request/httpfields.h"
#include "request/idempotencytable.h"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** What a caller asks of a lookup. */
struct LookupRequest
{
    std::string host_;
    std::string region_;
    std::string zone_;

    auto operator==(const LookupRequest &other) const -> bool = default;
};

/** Where a caller may connect. */
struct LookupResponse
{
    /** IP addresses and ports of entry hosts. */
    std::vector<std::string> addresses_;
    /** How long the caller may keep the answer. */
    absl::Duration lifetime_;

    auto operator==(const LookupResponse &other) const -> bool = default;
};

/** Header names, paths and forms of a deployment. */
struct CallerProtocol
{
    /** Header with the caller's identifier of one sending of a request; echoed by backend servers. */
    std::string requestId_ = "X-Request-Id";
    /** Header with the milliseconds that the caller, or the sender of a request to a backend server, still waits. */
    std::string timeoutMillis_ = "X-Request-Timeout-Ms";
    /** Header that is equal for requests about the same object. */
    std::string object_ = "X-Object";
    /** Header that holds the caller's key and nothing else. */
    std::string key_ = "X-Api-Key";
    /** Header that tells a backend server the organisation. */
    std::string organisation_ = "X-Organisation";
    /** Header that names the backend server for which a request is meant. */
    std::string expectedInstance_ = "X-Expected-Backend";
    /** Header by which a backend server states that it did not run a request. */
    std::string notRun_ = "X-Not-Executed";
    /** Header with a backend server's running requests, waiting requests and slots, separated by commas. */
    std::string load_ = "X-Load";
    /** Path of readiness checks and of lookups. */
    std::string readyPath_ = "/ready";
    std::string lookupPath_ = "/lookup";
    /** Reads a lookup from a request; none when it is malformed. */
    std::function<std::optional<LookupRequest>(const RequestContent &)> decodeLookup_;
    std::function<HttpResponse(const LookupResponse &)> encodeLookup_;
};

}
