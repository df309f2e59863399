// A request that a client sends 4.5 s after SIGTERM is accepted and then broken off before the end of the grace of 10 s.
#include "../standins-2/deployment2.h"

#include <fmt/format.h>

#include <csignal>
#include <exception>

using namespace review;

namespace
{

constexpr auto key = "dev3nax7u27gxprymh2r";
constexpr auto graceSeconds = 10;
/** Within the route's timeout of 10 s and the largest work of a booking there, 11 s. */
constexpr auto bookingTime = std::chrono::milliseconds { 5500 };
constexpr auto readTime = std::chrono::milliseconds { 400 };
/** Later than the 3 s of the rule; the client's directory answer may be up to three times its 2 s old. */
constexpr auto sentAfterStop = std::chrono::milliseconds { 4500 };
constexpr auto timeLimit = std::chrono::milliseconds { 20000 };
constexpr auto okStatus = 200;

auto run(Record &record) -> int
{
    auto settings = DeploymentSettings {};
    settings.graceSeconds_ = graceSeconds;
    auto deployment = Deployment(settings);
    auto book = routeJson("booking", "unsafe", "dive-log", 2);
    book["timeout"] = "10000ms";
    deployment.configure(Json::array({ routeJson("board", "safe", "dive-log", 2), book }),
                         { "dive-log" },
                         Json::array({ Json { { "name", "huka270" }, { "api_keys", { key } }, { "priority", 1 } } }));
    const auto work = [&](const UpstreamRequest &request) {
        const auto id = request.id_;
        const auto isBooking = request.method_ == "POST";
        if (isBooking) {
            record.write(fmt::format("an upstream began to run {} with X-Deadline-Ms {}", id, request.remainingMilliseconds_));
        }
        std::this_thread::sleep_for(isBooking ? bookingTime : readTime);
        if (isBooking) {
            record.write(fmt::format("the upstream's run of {} is complete", id));
        }
        return UpstreamAnswer {};
    };
    deployment.addUpstream({ "i-dive-1", "dive-log", "gisenyi-a", work });
    deployment.addUpstream({ "i-dive-2", "dive-log", "kibuye-a", work });
    deployment.startHosts();
    if (!deployment.waitUntilServing("/board/1", key)) {
        record.write("the deployment does not serve");
        return couldNotRun;
    }
    // No impairment for longer than stable_window, and some ordinary reads.
    for (auto number = 0; number < 12; ++number) {
        auto connection = ClientConnection(deployment.hosts().front().front_);
        const auto answer = connection.send("GET", "/board/2", key, fmt::format("read{}", number), timeLimit);
        record.write(fmt::format("read{}: status {}", number, answer.status_));
    }
    auto &host = deployment.hosts().front();
    if (isTroubled()) {
        deployment.signal(host, SIGTERM);
        record.write(fmt::format("SIGTERM to {}; its grace is {} s", host.name_, graceSeconds));
    }
    const auto stoppedAt = Clock::now();
    std::this_thread::sleep_until(stoppedAt + sentAfterStop);
    auto connection = ClientConnection(host.front_);
    record.write("a client sends booking1");
    const auto answer = connection.send("POST", "/booking/slot", key, "booking1", timeLimit);
    const auto answeredAt = std::chrono::duration<double>(Clock::now() - stoppedAt).count();
    record.write(fmt::format("booking1: status {}, stamp '{}'{} after {:.2f} s, {:.2f} s after the SIGTERM",
                             answer.status_,
                             answer.stamp_,
                             answer.status_ == 0 ? ", no answer" : "",
                             answer.seconds_,
                             answeredAt));
    // A refusal that says that the request has not run is allowed, as is the upstream's answer.
    const auto isRefused = answer.status_ == 503 || answer.status_ == 429;
    const auto isBroken = answer.status_ != okStatus && !isRefused;
    std::this_thread::sleep_for(std::chrono::milliseconds { 1500 });
    record.write(isBroken ? "the rule was broken: a request that was passed on was broken off while its upstream was at work" : "the rule held");
    return isBroken ? ruleBroken : ruleHeld;
}

}

auto main(int, char **argv) -> int
{
    auto record = Record(argv[1]);
    try {
        return run(record);
    } catch (const std::exception &exception) {
        record.write(fmt::format("could not run: {}", exception.what()));
        return couldNotRun;
    }
}
