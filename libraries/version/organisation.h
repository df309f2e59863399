/** An organisation and its limits. */
#pragma once

#include <string>

namespace lycheecleat
{

/** An organisation as declared by a rule of kind `organisation`. */
struct Organisation
{
    std::string name_;
    /** Requests per second, all hosts together. */
    double rate_ = 0;
    /** Token bucket burst in requests, all hosts together. */
    double burst_ = 0;
    /** Weight in fair queueing. */
    double weight_ = 1;

    auto operator==(const Organisation &other) const -> bool = default;
};

}
