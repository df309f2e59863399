/** Result of one request, for metrics. */
#pragma once

#include <absl/time/time.h>

#include <string>

namespace lycheecleat
{

/** Result of one request. */
struct RequestObservation
{
    /** Empty when the request could not be attributed to one. */
    std::string organisation_;
    /** Empty when the request was not refused. */
    std::string refusalReason_;
    /** From the arrival of the request until its response is ready. */
    absl::Duration duration_;
    /** Empty when no route matched. */
    std::string route_ = {};
    /** HTTP status of the response; 0 when the caller had disconnected or the status is not observed. */
    int status_ = 0;
    /** Number of backend servers to which the request was sent. */
    int attempts_ = 0;
    /** How long the request waited at this host before it was read. */
    absl::Duration unreadTime_ = absl::ZeroDuration();
};

}
