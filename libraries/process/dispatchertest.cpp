#include "process/dispatcher.h"

#include "connection/scriptedserver.h"
#include "core/clock.h"
#include "core/log.h"
#include "process/limitenforcer.h"

#include <absl/synchronization/notification.h>
#include <absl/time/clock.h>
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto cap = 4;

/** Start times of the requests of a backend server. */
class StartTimes
{
public:
    auto add(absl::Time now) -> void
    {
        const auto lock = std::lock_guard(mutex_);
        times_.push_back(now);
    }

    /** Most starts within the duration. */
    auto most(absl::Duration duration) const -> int
    {
        const auto lock = std::lock_guard(mutex_);
        auto most = 0;
        for (const auto first : times_) {
            const auto count = std::count_if(times_.begin(), times_.end(), [&](absl::Time time) {
                return time >= first && time < first + duration;
            });
            most = std::max(most, static_cast<int>(count));
        }
        return most;
    }

private:
    mutable std::mutex mutex_;
    std::vector<absl::Time> times_;
};

auto serverThatCounts(const std::string &address, StartTimes &starts) -> std::unique_ptr<ScriptedServer>
{
    return std::make_unique<ScriptedServer>(address, [&starts](const ScriptedRequest &) {
        starts.add(monotonicNow());
        return ScriptedReply { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
    });
}

/** Two regions with a backend server each, and a shift of all requests from the region of the host to the other one. */
auto configurationWithShift(const std::string &home, const std::string &far) -> ConfigurationPointer
{
    auto configuration = Configuration {};
    configuration.revision_ = 1;
    configuration.regions_ = { { "region", { "zone" } }, { "far", { "zone2" } } };
    configuration.entryHosts_ = { { "host", "zone", "127.0.0.1:1", "127.0.0.1:1" } };
    configuration.organisations_ = { { "org", 1000, 1000, 1 } };
    configuration.pools_ = { { "pool", 32, { { "b0", "zone", home }, { "b1", "zone2", far } }, absl::ZeroDuration() } };
    configuration.routes_ = { { "route", "routes.yaml", "*", "/", "pool", Access::Keyed, true } };
    configuration.routes_.front().deadline_ = absl::Seconds(10);
    configuration.shifts_ = { { "move", "pool", "region", "far", 1.0, cap, wallNow() - absl::Hours(1), absl::Minutes(1) } };
    return std::make_shared<const Configuration>(configuration);
}

/** Limits whose shares are in effect. */
auto limitsFor(const ConfigurationPointer &configuration) -> std::unique_ptr<LimitEnforcer>
{
    const auto offset = std::make_shared<absl::Duration>(absl::Hours(1));
    auto limits = std::make_unique<LimitEnforcer>("host",
                                                  LoanClient { [offset] {
                                                                  return monotonicNow() - *offset;
                                                              },
                                                               [](const auto &...) {
                                                                   return std::nullopt;
                                                               },
                                                               [](const auto &...) {
                                                                   return std::nullopt;
                                                               } });
    limits->configure(monotonicNow() - *offset, configuration);
    *offset = absl::ZeroDuration();
    return limits;
}

}

// Guards against moving more requests at once than the cap allows, because requests that took tokens earlier were held back and then sent together.
TEST_CASE("requests that are held back after they were admitted to a shift start within its cap")
{
    configureLog({ LogLevel::Error });
    auto homeStarts = StartTimes {};
    auto farStarts = StartTimes {};
    const auto home = serverThatCounts("127.0.0.1", homeStarts);
    const auto far = serverThatCounts("127.0.0.2", farStarts);
    const auto configuration = configurationWithShift(home->address(), far->address());
    const auto limits = limitsFor(configuration);
    auto dispatcher = Dispatcher("zone", limits.get());
    auto released = absl::Notification {};
    auto threads = std::vector<std::thread> {};
    for (auto number = 0; number < 24; ++number) {
        threads.emplace_back([&, number] {
            absl::SleepFor(absl::Milliseconds(100) * number);
            auto request = DispatchRequest {};
            request.configuration_ = configuration;
            request.route_ = &configuration->routes_.front();
            request.requestId_ = std::to_string(number);
            request.organisation_ = "org";
            request.content_.method_ = "GET";
            request.content_.target_ = "/";
            request.deadline_ = monotonicNow() + absl::Seconds(10);
            request.repeatable_ = true;
            request.beforeSend_ = [&]() -> std::optional<ResponseOrRefusal> {
                released.WaitForNotification();
                return std::nullopt;
            };
            const auto result = dispatcher.dispatch(request);
            CHECK_MESSAGE(result.response_, result.detail_, " ", result.refusal_ ? static_cast<int>(*result.refusal_) : -1);
        });
    }
    absl::SleepFor(absl::Seconds(3));
    released.Notify();
    for (auto &thread : threads) {
        thread.join();
    }
    CHECK(homeStarts.most(absl::Seconds(10)) + farStarts.most(absl::Seconds(10)) == 24);
    CHECK(farStarts.most(absl::Seconds(10)) >= 1);
    CHECK(farStarts.most(absl::Seconds(1)) <= cap);
}
