/** Measurements on a running deployment, for the benchmark and the performance test. */
#pragma once

#include "support/deployment.h"

#include <absl/time/time.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <sys/types.h>
#include <vector>

namespace integration
{

/** Processor time that all threads of a process have used since it started. Throws when there is no such process. */
[[nodiscard]] auto processorTime(pid_t pid) -> absl::Duration;

/** Resident memory of a process in bytes. Throws when there is no such process. */
[[nodiscard]] auto residentMemory(pid_t pid) -> std::int64_t;

/** The load client's report on a load (see loadgenerator.h) and the processor time that the given process used meanwhile. */
struct LoadReport
{
    nlohmann::json client_;
    absl::Duration processorTime_;

    /** Requests answered with status 200. */
    [[nodiscard]] auto served() const -> std::int64_t;
    /** Service time of a share of the requests: "p50" or "p99". */
    [[nodiscard]] auto serviceTime(const std::string &percentile) const -> absl::Duration;
};

/** Runs the load client with options such as "--rate" against an address, and watches a process. Throws when the client fails. */
[[nodiscard]] auto runLoad(Deployment &deployment, const std::string &address, pid_t measuredPid, const std::vector<std::string> &options) -> LoadReport;

/** How long changes took to be in force. */
struct ChangeTimes
{
    /** From just before the change was written to the store until a daemon reported it in force; one for each change and daemon, sorted. */
    std::vector<absl::Duration> delays_;
    /** Pairs of change and daemon without a report in time. */
    int missing_ = 0;

    /** The delay that this share of the pairs does not exceed; a missing pair is infinite. */
    [[nodiscard]] auto percentile(double share) const -> absl::Duration;
};

/** Changes an organisation's burst many times, with a pause that varies after each, and waits until the last change is in force. Throws on a refusal. */
[[nodiscard]] auto measureChanges(Deployment &deployment, int count, absl::Duration meanPause, absl::Duration limit) -> ChangeTimes;

}
