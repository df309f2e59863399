/** Header names, paths and message formats that callers and backend servers of a deployment use. An adapter may replace them. */
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

/** Request of a caller for entry hosts. */
struct LookupRequest
{
    std::string host_;
    std::string region_;
    std::string zone_;

    auto operator==(const LookupRequest &other) const -> bool = default;
};

/** Entry hosts that a caller may connect to. */
struct LookupResponse
{
    /** IP address and port of each entry host. */
    std::vector<std::string> addresses_;
    /** How long the caller may cache the response. */
    absl::Duration lifetime_;

    auto operator==(const LookupResponse &other) const -> bool = default;
};

/** Header names, paths and message formats of a deployment. Values of type std::string are header names unless stated otherwise. */
struct CallerProtocol
{
    /** Identifier that the caller gives to one attempt of a request; echoed by backend servers. */
    std::string requestId_ = "X-Request-Id";
    /** Remaining time in milliseconds for which the caller, or the host that sends a request to a backend server, waits for the response. */
    std::string timeoutMillis_ = "X-Request-Timeout-Ms";
    /** Object that the request concerns; requests with the same value concern the same object. */
    std::string object_ = "X-Object";
    /** The caller's key and nothing else. */
    std::string key_ = "X-Api-Key";
    /** Organisation of the caller, sent to the backend server. */
    std::string organisation_ = "X-Organisation";
    /** Name of the backend server that a request is intended for. */
    std::string expectedInstance_ = "X-Expected-Backend";
    /** Response header by which a backend server states that it did not run the request. */
    std::string notRun_ = "X-Not-Executed";
    /** Response header with a backend server's numbers of running requests, waiting requests and slots, separated by commas. */
    std::string load_ = "X-Load";
    /** Response header by which a backend server announces, with the value 1, that it is leaving; empty when there is none. */
    std::string leaving_ = "X-Leaving";
    /** Response header in which a backend server in need names the requests a second that it takes from all hosts together; empty when there is none. */
    std::string limit_ = "X-Limit";
    /** Paths (not headers) of readiness checks and of lookups. */
    std::string readyPath_ = "/ready";
    std::string lookupPath_ = "/lookup";
    /** Parses a lookup request; none when it is malformed. */
    std::function<std::optional<LookupRequest>(const RequestContent &)> decodeLookup_;
    std::function<HttpResponse(const LookupResponse &)> encodeLookup_;
};

}
