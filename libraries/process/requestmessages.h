/** Conversions between the messages of callers, of peers and of the HTTP library, and the responses that refuse requests. */
#pragma once

#include "generated/peer_types.h"
#include "request/crashsuspecttable.h"
#include "request/httpfields.h"
#include "request/idempotencytable.h"
#include "request/refusal.h"

#include <absl/time/time.h>
#include <httplib.h>

#include <string>

namespace lycheecleat
{

/** Header that carries the identifier of a request in its response. */
inline constexpr auto requestIdHeader = "X-Request-Id";

/** The parts of a request that are forwarded. */
[[nodiscard]] auto contentOf(const httplib::Request &request) -> RequestContent;
[[nodiscard]] auto contentOf(const peer::ForwardedRequest &request) -> RequestContent;

/** The response in a peer's message. */
[[nodiscard]] auto responseOf(const peer::ForwardedAnswer &forwarded) -> HttpResponse;

/** The message that forwards a request to a run of another host, which may spend the remaining time on it. */
[[nodiscard]] auto toForwardedRequest(const RequestContent &content, const std::string &run, absl::Duration remaining) -> peer::ForwardedRequest;

/** The message that returns a response to the host that forwarded the request. */
[[nodiscard]] auto toForwardedAnswer(HttpResponse response) -> peer::ForwardedAnswer;

/** The message that tells peers of a crash, and the record of one that a peer has told. Messages carry the age, since hosts share no clock. */
[[nodiscard]] auto toCrashReport(absl::Time now, const CrashRecord &record) -> peer::CrashReport;
[[nodiscard]] auto crashRecordOf(absl::Time now, const peer::CrashReport &report) -> CrashRecord;

/** The response for the caller, from that of a backend server or of another host. Sets the outcome, unless it was forwarded by a host that has done so. */
[[nodiscard]] auto responseForCaller(HttpResponse response, const std::string &requestId, bool isForwarded) -> HttpResponse;

/** The response to a refused request, with outcome, reason and body. */
[[nodiscard]] auto refusalResponse(Refusal refusal, Outcome outcome, const std::string &requestId) -> HttpResponse;

/** Replaces the status, headers and body of a response of the HTTP library. */
auto setResponse(httplib::Response &response, HttpResponse httpResponse) -> void;

/** Writes a refusal into a response of the HTTP library. */
auto setRefusal(httplib::Response &response, Refusal refusal, Outcome outcome, const std::string &requestId) -> void;

}
