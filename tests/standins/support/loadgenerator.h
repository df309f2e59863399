/** Open-loop load generator: requests have fixed start times, and a late start counts as latency, so that a slow system does not reduce the measured load. */
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace standin
{

/** Settings of the load. */
struct LoadSettings
{
    /** Entry hosts as IP address and port. */
    std::vector<std::string> targets_;
    double rate_ = 100;
    std::chrono::duration<double> duration_ { 5 };
    int threads_ = 16;
    std::string method_ = "GET";
    std::string path_ = "/";
    std::string host_ = "service.example";
    std::string key_;
    /** Each as "NAME:VALUE". */
    std::vector<std::string> headers_;
    std::size_t bodyBytes_ = 0;
    std::chrono::milliseconds timeout_ { 5000 };
    std::string idempotencyPrefix_;
};

/** Whether there are targets, the rate, thread count and duration are positive, and the duration is at most 120 s. */
[[nodiscard]] auto isValid(const LoadSettings &settings) -> bool;

/**
 * Sends the load and returns the result as JSON: sent, seconds, served, p50_us, p99_us, max_us (latency of served requests from their scheduled start),
 * service_p50_us, service_p99_us (from their actual start), statuses, outcomes, reasons and errors with their counts.
 */
[[nodiscard]] auto runLoad(const LoadSettings &settings) -> std::string;

}
