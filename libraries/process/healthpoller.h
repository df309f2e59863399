/** Asks backend servers for their health, so that a server that drains is noticed while the store can't be reached. */
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

/** Path of the health endpoint of every backend server. It answers with JSON such as {"status": "draining"}. */
inline constexpr auto healthPath = "/health";

/** Time between two polls of a server that answers. */
inline constexpr auto healthInterval = absl::Seconds(1);

/** Longest wait for an answer. */
inline constexpr auto healthTimeout = absl::Milliseconds(300);

/** Time until a server that did not answer is asked again; silent servers then can't keep all threads from the others. */
inline constexpr auto unresponsiveInterval = absl::Seconds(2);

/** Threads that poll. With the two times above, about 50 silent servers do not delay the polls of the others. */
inline constexpr auto healthThreads = 8;

/** Reads the answer of a health endpoint; none when there is no whole answer. */
[[nodiscard]] auto parseHealthReport(const BackendExchange &exchange) -> std::optional<HealthReport>;

/** What the poller needs; all functions may be called from several threads at once. */
struct HealthPollerServices
{
    /** Servers to poll now. */
    std::function<std::vector<BackendServer>()> servers_;
    /** Takes each answer, with the name of its server. */
    std::function<void(const std::string &, const HealthReport &)> report_;
};

/** Polls each server once a second, on a bounded number of threads. Thread-safe. */
class HealthPoller
{
public:
    explicit HealthPoller(HealthPollerServices services);
    ~HealthPoller();
    HealthPoller(const HealthPoller &) = delete;
    auto operator=(const HealthPoller &) -> HealthPoller & = delete;

    auto start() -> void;
    auto stop() -> void;

    /** Processor time of the threads. */
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
    auto finish(const Poll &poll, bool isAnswered) -> void;
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
