/** Converts between the messages of callers and those of request handlers. */
#pragma once

#include "connection/responserest.h"
#include "connection/tcpconnection.h"
#include "request/httpfields.h"
#include "request/idempotencytable.h"

#include <absl/time/time.h>
#include <httplib.h>

#include <optional>
#include <string>

namespace lycheecleat
{

/** A response as it is sent to a caller. */
struct OutgoingResponse
{
    std::string head_;
    MessageBody body_;
    /** What follows the body. */
    std::optional<ResponseRest> rest_ = std::nullopt;
};

/** Formats a response to a request with the given method; close tells the caller that its connection ends with it. */
[[nodiscard]] auto formatResponse(HttpResponse source, const std::string &method, bool close, std::optional<ResponseRest> rest = std::nullopt)
    -> OutgoingResponse;

/** Writes a response; each of its parts may take as long as the timeout. A caller that gets only a part of the response sees that its connection is reset. */
[[nodiscard]] auto writeResponse(TcpConnection &connection, OutgoingResponse response, absl::Duration timeout) -> TransferStatus;

[[nodiscard]] auto toHttpResponse(const httplib::Response &response) -> HttpResponse;

/** The head of a received request with its decoded path, without the body. */
[[nodiscard]] auto requestOf(const RequestContent &content, const std::string &remoteAddress) -> httplib::Request;

}
