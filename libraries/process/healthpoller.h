/** Polls the health endpoints of backend servers, so that a draining server is detected even while the store is unreachable. */
#pragma once

#include "connection/backendpool.h"
#include "request/backendhealth.h"
#include "version/backendserver.h"

#include <absl/base/thread_annotations.h>
#include <absl/container/flat_hash_map.h>
#include <absl/synchronization/mutex.h>
#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace lycheecleat
{

/** Path of the health endpoint of every backend server. The response body is JSON such as {"status": "draining"}. */
inline constexpr auto healthPath = "/health";

/** Interval between polls of a server that responds. */
inline constexpr auto healthInterval = absl::Seconds(1);

/** Timeout of one poll. */
inline constexpr auto healthTimeout = absl::Milliseconds(300);

/** Interval between polls of a server that does not respond. Longer than healthInterval, so that such servers can't occupy all threads. */
inline constexpr auto unresponsiveInterval = absl::Seconds(2);

/** Number of polling threads. With healthTimeout and unresponsiveInterval, about 50 unresponsive servers do not delay the polls of the others. */
inline constexpr auto healthThreads = 8;

/**
 * Parses the response of a health endpoint; none if it is incomplete. A complete response without the status "draining" in a JSON object
 * reports a server that is not draining.
 */
[[nodiscard]] auto parseHealthReport(const BackendExchange &exchange) -> std::optional<HealthReport>;

/** Callbacks of the poller. Each may be called from several threads at once. */
struct HealthPollerServices
{
    /** Returns the servers to poll now. */
    std::function<std::vector<BackendServer>()> servers_;
    /** Receives each report, with the name of its server. */
    std::function<void(const std::string &, const HealthReport &)> report_;
};

/** Polls each responsive server once a second, with a fixed number of threads. Thread-safe. */
class HealthPoller
{
public:
    explicit HealthPoller(HealthPollerServices services);
    ~HealthPoller();
    HealthPoller(const HealthPoller &) = delete;
    auto operator=(const HealthPoller &) -> HealthPoller & = delete;

    auto start() -> void;
    auto stop() -> void;

    /** Processor time used by the polling threads. */
    [[nodiscard]] auto processorTime() -> absl::Duration;

private:
    struct Target
    {
        std::string address_;
        absl::Time dueAt_ = absl::InfinitePast();
        bool isBusy_ = false;
    };
    struct Poll
    {
        std::string name_;
        std::string address_;
    };

    auto run() -> void;
    [[nodiscard]] auto claimDuePoll(absl::Time now) -> std::optional<Poll>;
    auto finish(const Poll &poll, bool hasResponse) -> void;
    auto poll(const Poll &poll) -> void;
    auto refresh(absl::Time now) -> void;

    HealthPollerServices services_;
    BackendPool connections_;
    absl::Mutex mutex_;
    bool stopping_ ABSL_GUARDED_BY(mutex_) = false;
    absl::Time refreshAt_ ABSL_GUARDED_BY(mutex_) = absl::InfinitePast();
    absl::flat_hash_map<std::string, Target> targets_ ABSL_GUARDED_BY(mutex_);
    std::vector<std::thread> threads_;
};

}
