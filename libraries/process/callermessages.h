/** Converts between the messages of callers and those of request handlers. */
#pragma once

#include "request/httpfields.h"
#include "request/idempotencytable.h"

#include <httplib.h>

#include <string>

namespace lycheecleat
{

/** Formats a response to a request with the given method as it is sent to a caller; close tells the caller that its connection ends with it. */
[[nodiscard]] auto formatResponse(HttpResponse source, const std::string &method, bool close) -> std::string;

[[nodiscard]] auto toHttpResponse(const httplib::Response &response) -> HttpResponse;

/** The head of a received request with its decoded path, without the body. */
[[nodiscard]] auto requestOf(const RequestContent &content, const std::string &remoteAddress) -> httplib::Request;

}
