#include "process/healthpoller.h"

#include "core/clock.h"
#include "process/processortime.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace lycheecleat
{

namespace
{

constexpr auto dueCheckInterval = absl::Milliseconds(100);

constexpr auto maximumHealthBytes = std::size_t { 64 } * 1024;

auto poolSettings() -> BackendPoolSettings
{
    auto settings = BackendPoolSettings {};
    settings.connectTimeout_ = healthTimeout;
    settings.maximumIdlePerServer_ = 1;
    settings.maximumResponseHead_ = maximumHealthBytes;
    settings.maximumResponseBody_ = maximumHealthBytes;
    return settings;
}

}

auto parseHealthReport(const BackendExchange &exchange) -> std::optional<HealthReport>
{
    if (exchange.status_ != ExchangeStatus::Complete) {
        return std::nullopt;
    }
    const auto body = nlohmann::json::parse(exchange.response_.body_.text(), nullptr, false);
    auto report = HealthReport {};
    report.closing_ = exchange.closing_;
    if (body.is_object() && body.contains("status")) {
        report.draining_ = body.at("status") == "draining";
    }
    return report;
}

HealthPoller::HealthPoller(HealthPollerServices services)
    : services_(std::move(services))
    , connections_(poolSettings())
{
}

HealthPoller::~HealthPoller()
{
    stop();
}

auto HealthPoller::start() -> void
{
    for (auto index = 0; index < healthThreads; ++index) {
        threads_.emplace_back([this] {
            run();
        });
    }
}

auto HealthPoller::stop() -> void
{
    {
        const auto lock = absl::MutexLock(&mutex_);
        stopping_ = true;
    }
    for (auto &thread : threads_) {
        if (thread.joinable()) {
            thread.join();
        }
    }
}

auto HealthPoller::processorTime() -> absl::Duration
{
    return processorTimeOf(threads_);
}

auto HealthPoller::run() -> void
{
    while (true) {
        auto due = std::optional<Poll> {};
        {
            const auto lock = absl::MutexLock(&mutex_);
            if (stopping_) {
                return;
            }
            due = claimDuePoll(monotonicNow());
            if (!due) {
                mutex_.AwaitWithTimeout(absl::Condition(&stopping_), dueCheckInterval);
                continue;
            }
        }
        poll(*due);
    }
}

auto HealthPoller::claimDuePoll(absl::Time now) -> std::optional<Poll>
{
    mutex_.AssertHeld();
    refresh(now);
    // The server that has been due longest comes first, so that none is starved when there are more than the threads can poll.
    auto *chosen = static_cast<Target *>(nullptr);
    auto poll = Poll {};
    for (auto &[name, target] : targets_) {
        if (!target.isBusy_ && target.dueAt_ <= now && (chosen == nullptr || target.dueAt_ < chosen->dueAt_)) {
            chosen = &target;
            poll = Poll { name, target.address_ };
        }
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    chosen->isBusy_ = true;
    return poll;
}

auto HealthPoller::refresh(absl::Time now) -> void
{
    mutex_.AssertHeld();
    if (now < refreshAt_) {
        return;
    }
    refreshAt_ = now + healthInterval;
    auto next = absl::flat_hash_map<std::string, Target> {};
    for (const auto &server : services_.servers_()) {
        const auto existing = targets_.find(server.name_);
        auto target = existing == targets_.end() ? Target {} : existing->second;
        target.address_ = server.address_;
        next[server.name_] = target;
    }
    targets_ = std::move(next);
}

auto HealthPoller::poll(const Poll &poll) -> void
{
    auto call = BackendCall {};
    call.address_ = poll.address_;
    call.deadline_ = monotonicNow() + healthTimeout;
    call.repeatable_ = true;
    auto request = RequestContent {};
    request.method_ = "GET";
    request.target_ = healthPath;
    request.headers_ = { { "Host", poll.address_ } };
    const auto report = parseHealthReport(connections_.exchange(call, request));
    if (report) {
        services_.report_(poll.name_, *report);
    }
    finish(poll, report.has_value());
}

auto HealthPoller::finish(const Poll &poll, bool hasResponse) -> void
{
    const auto lock = absl::MutexLock(&mutex_);
    const auto found = targets_.find(poll.name_);
    if (found == targets_.end()) {
        return;
    }
    found->second.isBusy_ = false;
    found->second.dueAt_ = monotonicNow() + (hasResponse ? healthInterval : unresponsiveInterval);
}

}
