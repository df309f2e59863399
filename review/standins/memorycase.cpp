#include "memorycase.h"

#include <algorithm>
#include <stdexcept>

namespace review
{

namespace
{

constexpr auto serverCount = 4;
constexpr auto smallClientCount = 12;
constexpr auto memoryMegabytes = 182;
constexpr auto caseTime = std::chrono::seconds { 20 };
constexpr auto disruptAfter = std::chrono::seconds { 4 };
/** How long the platform takes to start a process again. */
constexpr auto restartDelay = Milliseconds { 1000 };
constexpr auto reconnectDelay = Milliseconds { 100 };
/** Requests of kept connections that a machine may leave without an answer. */
constexpr auto allowedLosses = 3;

/** Ends the process when it exceeds its memory, and starts it again, as the platform does. */
class MemoryGuard
{
public:
    MemoryGuard(Host &host, Record &record)
        : host_(host)
        , record_(record)
        , thread_([this] {
            run();
        })
    {
    }

    ~MemoryGuard()
    {
        isStopped_ = true;
        thread_.join();
    }

    MemoryGuard(const MemoryGuard &) = delete;
    auto operator=(const MemoryGuard &) -> MemoryGuard & = delete;

private:
    auto run() -> void
    {
        auto peak = 0;
        while (!isStopped_) {
            const auto used = host_.memoryMegabytes();
            peak = std::max(peak, used);
            if (used > memoryMegabytes) {
                host_.kill();
                record_.add("platform: " + host_.name() + " uses " + std::to_string(used) + " MB of " + std::to_string(memoryMegabytes) + " and is killed");
                std::this_thread::sleep_for(restartDelay);
                host_.start();
                record_.add("platform: " + host_.name() + " is started again");
            }
            std::this_thread::sleep_for(Milliseconds { 1 });
        }
        record_.add("platform: the most memory of " + host_.name() + " was " + std::to_string(peak) + " MB");
    }

    Host &host_;
    Record &record_;
    std::atomic<bool> isStopped_ = false;
    std::thread thread_;
};

auto runSmallRequests(Client &client, int number, Clock::time_point end) -> std::vector<Call>
{
    auto calls = std::vector<Call> {};
    const auto isUnsafe = number % 2 == 1;
    while (Clock::now() < end) {
        auto settings = CallSettings { isUnsafe ? "POST" : "GET", isUnsafe ? "/book/x" : "/read/x", std::to_string(number), "" };
        settings.body_ = isUnsafe ? "booking" : "";
        calls.push_back(client.call(settings));
        if (calls.back().end_ == CallEnd::NotConnected) {
            std::this_thread::sleep_for(reconnectDelay);
        }
    }
    return calls;
}

}

auto runMemoryCase(Record &record, const MemoryCase &memoryCase) -> int
{
    const auto folder = TemporaryFolder();
    auto store = Store(loopbackIp(1, 1));
    store.put("op/config", configuration());
    auto servers = std::vector<std::unique_ptr<Server>> {};
    for (auto number = 0; number < serverCount; ++number) {
        auto settings = ServerSettings { "i-" + std::to_string(number), "s", "r-a", loopbackIp(2, 1 + number) };
        settings.reportBytes_ = memoryCase.reportBytes_;
        servers.push_back(std::make_unique<Server>(settings, store, record));
    }
    const auto ips = std::vector { loopbackIp(3, 1), loopbackIp(3, 2) };
    auto hosts = std::vector<std::unique_ptr<Host>> {};
    for (const auto &ip : ips) {
        const auto settings = HostSettings { "front-r-a-" + std::to_string(hosts.size() + 1), "r-a", ip, ips, memoryMegabytes };
        hosts.push_back(std::make_unique<Host>(settings, nlohmann::json { { "r-a", "r" } }, store.address(), folder.path()));
        hosts.back()->start();
    }
    awaitReady(hosts);
    auto mutex = std::mutex {};
    auto calls = std::vector<Call> {};
    const auto end = Clock::now() + caseTime;
    const auto address = hosts.front()->frontAddress();
    {
        const auto guard = MemoryGuard(*hosts.front(), record);
        auto threads = std::vector<std::thread> {};
        for (auto number = 0; number < smallClientCount; ++number) {
            threads.emplace_back([&, number] {
                auto client = Client("small" + std::to_string(number), address, record);
                const auto own = runSmallRequests(client, number, end);
                const auto lock = std::lock_guard(mutex);
                calls.insert(calls.end(), own.begin(), own.end());
            });
        }
        std::this_thread::sleep_for(disruptAfter);
        if (!isTroubleOff()) {
            memoryCase.disrupt_(address, record);
        }
        for (auto &thread : threads) {
            thread.join();
        }
    }
    auto runs = std::set<std::string> {};
    for (const auto &server : servers) {
        runs.merge(server->runs());
    }
    const auto losses = std::count_if(calls.begin(), calls.end(), [&](const Call &call) {
        return call.wasKept_ && call.end_ == CallEnd::Closed && runs.contains(call.id_);
    });
    record.add(std::to_string(calls.size()) + " small requests; " + std::to_string(losses)
               + " of a kept connection ran and were closed without an answer, allowed " + std::to_string(allowedLosses));
    return losses > allowedLosses ? ruleBroken : ruleHeld;
}

}
