/** State of one request in FleetRequestHandler; included by its source files only. */
#pragma once

#include "process/fleetrequesthandler.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lycheecleat
{

/** State of one request while it is handled. */
struct FleetRequestHandler::RequestState
{
    const ReceivedRequest &received_;
    std::string requestId_;
    FleetViewPointer view_;
    PolicyPointer policy_;
    const PolicyRoute *route_ = nullptr;
    const PolicyOrganisation *organisation_ = nullptr;
    /** The request without the caller's API key. */
    RequestContent content_ = {};
    /** When the last byte of the request arrived; set during a planned stop only. */
    absl::Time completeAt_ = absl::InfinitePast();
    /** When the caller's remaining time or the route's timeout ends, whichever is first. */
    absl::Time limitEndsAt_ = absl::InfiniteFuture();
    /** Limit of all waits: limitEndsAt_, or the end of the host if that is earlier. */
    absl::Time deadline_ = absl::InfiniteFuture();
    QuotaAdmission admission_ = {};
    std::string service_ = {};
    std::uint64_t objectHash_ = 0;
    BackendChoice choice_ = {};
    absl::Time sentAt_ = absl::InfinitePast();
    /** When the request was written to the connection; infinite past if it was not. */
    absl::Time writtenAt_ = absl::InfinitePast();
    std::vector<std::string> tried_ = {};
    /** Addresses to which the request was sent; several registrations may have the same one. */
    std::vector<std::string> triedAddresses_ = {};
    /** Number of backend servers to which the request was sent. */
    int attempts_ = 0;
    int failedConnections_ = 0;
    /** A backend server may have run the request. */
    bool mayHaveRun_ = false;
    /** The newest response; passed on unless a further attempt replaces it. */
    std::optional<HttpResponse> response_ = std::nullopt;
    /** What follows the body of that response. */
    std::optional<ResponseRest> rest_ = std::nullopt;
    Refusal refusal_ = Refusal::NoCapacity;
    /** When the backend servers return; set when the request waits or is refused. */
    BackendReturn return_ = {};
    /** Identifies the set of backend servers of the last choice. */
    std::uint64_t candidates_ = 0;
    /** The request waits for a backend server to return. */
    bool isWaiting_ = false;
    bool isAbandoned_ = false;
    /** Requests for permits that were made for the request, those without an answer, and the time that all of them took. */
    int permitsAsked_ = 0;
    int permitsUnanswered_ = 0;
    absl::Duration permitTime_ = absl::ZeroDuration();
    std::string detail_ = {};
};

}
