/** What became of one request, for metrics. */
#pragma once

#include <absl/time/time.h>

#include <string>

namespace lycheecleat
{

/** What became of one request. */
struct RequestObservation
{
    /** Empty when it is not known. */
    std::string organisation_;
    /** Empty when the request was not refused. */
    std::string refusalReason_;
    /** From the whole request to the whole answer. */
    absl::Duration duration_;
    /** Empty when no route matched. */
    std::string route_ = {};
    /** Status of the answer; 0 when the caller had left or the status is not observed. */
    int status_ = 0;
    /** Backend servers to which the request was sent. */
    int attempts_ = 0;
};

}
