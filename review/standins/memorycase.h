/** The common part of the cases in which a machine's daemon exceeds its memory while small requests are in flight. */
#pragma once

#include "deployment.h"

#include <cstddef>
#include <functional>
#include <string>

namespace review
{

struct MemoryCase
{
    /** Size of the upstreams' answers to paths that end with "/report". */
    std::size_t reportBytes_ = 0;
    /** Sends the requests of the disruption to the front address of the first machine. Blocks; not called with TROUBLE=0. */
    std::function<void(const std::string &, Record &)> disrupt_;
};

constexpr auto bytesPerMegabyte = std::size_t { 1024 } * 1024;

/**
 * Runs two machines with 182 MB each, as in the site ikivu-lb, and small requests on kept connections to the first one. The platform kills a process that
 * exceeds its memory and starts it again. The rule is broken if more than three small requests ran and had no answer on a kept connection.
 */
auto runMemoryCase(Record &record, const MemoryCase &memoryCase) -> int;

}
