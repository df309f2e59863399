#include "support/fleet.h"

#include "support/controlcall.h"

#include "core/testaddress.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <stdexcept>
#include <thread>
#include <unistd.h>
#include <utility>

namespace platformtest
{

namespace
{

using Json = nlohmann::json;

constexpr auto zones = std::array { "r1-a", "r2-a" };
constexpr auto callerPort = 8001;
constexpr auto readyPort = 8002;
constexpr auto lookupPort = 8003;
constexpr auto peerPort = 8004;
constexpr auto firstFreePort = 8010;
constexpr auto lastFreePort = 8015;
/** First value of the last octet in the addresses of a zone's hosts and of its backend servers. */
constexpr auto firstHostOctet = 10;
constexpr auto firstBackendOctet = 100;
/** First value of the third octet in the addresses of the fault proxy's links. */
constexpr auto firstProxyOctet = 20;
constexpr auto proxyPort = 8005;
constexpr auto pollInterval = std::chrono::milliseconds { 20 };

constexpr auto okStatus = 200;
constexpr auto firstErrorStatus = 400;
/** Statuses that guarantee that a request has not run and will not run. */
constexpr auto notRunStatuses = std::array { 408, 421, 429, 503 };

auto makeFolder() -> std::string
{
    static auto number = std::atomic<int> { 0 };
    const auto folder = std::filesystem::temp_directory_path() / fmt::format("lycheecleat-fleet-{}-{}", getpid(), ++number);
    std::filesystem::create_directories(folder);
    return folder.string();
}

auto nextRequestId() -> std::string
{
    static auto number = std::atomic<int> { 0 };
    return fmt::format("r{}-{}", getpid(), ++number);
}

auto routeJson(const std::string &name, const std::string &prefix, const std::string &kind, std::chrono::milliseconds timeout) -> Json
{
    return { { "name", name },
             { "host", "service.example" },
             { "prefix", prefix },
             { "kind", kind },
             { "timeout", fmt::format("{}ms", timeout.count()) },
             { "max_attempts", 3 },
             { "target_latency", "800ms" },
             { "priority", 1 },
             { "service", "s" },
             { "public", false },
             { "home_regions", Json::array() } };
}

}

Fleet::Fleet(FleetSettings settings)
    : settings_(settings)
    , folder_(makeFolder())
{
    configure();
    auto thirdOctet = 0;
    for (const auto *const zone : zones) {
        ++thirdOctet;
        for (auto number = 0; number < settings_.backendsPerZone_; ++number) {
            addBackend(zone, thirdOctet, number);
        }
        for (auto number = 0; number < settings_.hostsPerZone_; ++number) {
            addHost(zone, thirdOctet, number);
        }
    }
    startProxy();
    for (auto &host : hosts_) {
        writeSettings(host);
        startHost(host);
    }
    waitUntilServing();
}

Fleet::~Fleet()
{
    hosts_.clear();
    // The folder is kept for debugging when a test ends with an exception, such as a failed REQUIRE.
    if (std::uncaught_exceptions() == 0 && std::getenv("KEEP_TEST_FILES") == nullptr) {
        std::filesystem::remove_all(folder_);
    }
}

auto Fleet::addBackend(const std::string &zone, int thirdOctet, int number) -> void
{
    const auto instance = fmt::format("i-{}-{}", zone, number);
    auto backend = std::make_unique<PlatformBackend>(instance, zone, lycheecleat::testIp(thirdOctet, firstBackendOctet + number), store_, log_);
    if (settings_.usesFaultProxy_) {
        const auto listen = fmt::format("{}:{}", lycheecleat::testIp(thirdOctet + firstProxyOctet, firstBackendOctet + number), proxyPort);
        links_.push_back({ "upstream-" + instance, listen, backend->address() });
        backend->setRegisteredAddress(listen);
    }
    backend->registerAs("ready");
    backends_.push_back(std::move(backend));
}

auto Fleet::addHost(const std::string &zone, int thirdOctet, int number) -> void
{
    const auto ip = lycheecleat::testIp(thirdOctet, firstHostOctet + number);
    auto host = FleetHost {};
    host.name_ = fmt::format("host-{}-{}", zone, number);
    host.zone_ = zone;
    host.callerAddress_ = fmt::format("{}:{}", ip, callerPort);
    host.readyAddress_ = fmt::format("{}:{}", ip, readyPort);
    host.lookupAddress_ = fmt::format("{}:{}", ip, lookupPort);
    host.storeAddress_ = store_.listen(lycheecleat::testIp(0, firstHostOctet + static_cast<int>(hosts_.size())) + ":0");
    host.configuredStoreAddress_ = host.storeAddress_;
    if (settings_.usesFaultProxy_) {
        host.configuredStoreAddress_ = fmt::format("{}:{}", lycheecleat::testIp(firstProxyOctet, firstHostOctet + static_cast<int>(hosts_.size())), proxyPort);
        links_.push_back({ "store-" + host.name_, host.configuredStoreAddress_, host.storeAddress_ });
    }
    host.settingsFile_ = folder_ + "/" + host.name_ + ".json";
    hosts_.push_back(std::move(host));
}

auto Fleet::startProxy() -> void
{
    if (!settings_.usesFaultProxy_) {
        return;
    }
    proxy_ = std::make_unique<standin::FaultProxy>(links_);
    if (!proxy_->start(lycheecleat::testIp(firstProxyOctet, 1) + ":0")) {
        throw std::runtime_error("the fault proxy cannot listen");
    }
}

auto Fleet::injectFault(const std::string &fault, const std::string &link, nlohmann::json body) -> void
{
    body["links"] = { link };
    integration::postControl(proxy_->controlAddress(), "/control/" + fault, body);
}

auto Fleet::writeSettings(const FleetHost &host) const -> void
{
    const auto ip = host.callerAddress_.substr(0, host.callerAddress_.find(':'));
    auto seeds = Json::array();
    seeds.push_back(fmt::format("{}:{}", lycheecleat::testIp(1, firstHostOctet), peerPort));
    seeds.push_back(fmt::format("{}:{}", lycheecleat::testIp(2, firstHostOctet), peerPort));
    const auto json = Json {
        { "node", host.name_ },
        { "ip", ip },
        { "zone", host.zone_ },
        { "zones", { { "r1-a", "r1" }, { "r2-a", "r2" } } },
        { "listen",
          { { "front", host.callerAddress_ },
            { "ready", host.readyAddress_ },
            { "directory", host.lookupAddress_ },
            { "control", fmt::format("{}:{}", ip, peerPort) } } },
        { "port_range", { firstFreePort, lastFreePort } },
        { "seeds", seeds },
        { "limits", { { "memory_mb", settings_.memoryMegabytes_ }, { "max_fds", settings_.maximumDescriptors_ } } },
        { "bounds",
          { { "quota_window", "5s" },
            { "quota_overage", 0.1 },
            { "quota_slack", 20 },
            { "grace", fmt::format("{}ms", settings_.grace_.count()) },
            { "retry_budget_ratio", 0.2 },
            { "budget_extra", 100 } } },
        { "platform", { { "address", host.configuredStoreAddress_ } } },
    };
    integration::writeText(host.settingsFile_, json.dump());
}

auto Fleet::store() -> KeyValueServer &
{
    return store_;
}

auto Fleet::hosts() -> std::vector<FleetHost> &
{
    return hosts_;
}

auto Fleet::backends() -> std::vector<std::unique_ptr<PlatformBackend>> &
{
    return backends_;
}

auto Fleet::runs() const -> std::multimap<std::string, RequestRun>
{
    return log_.runs();
}

auto Fleet::arrivals() const -> std::vector<RequestArrival>
{
    return log_.arrivals();
}

auto Fleet::runCountOn(const std::string &instance) const -> int
{
    const auto all = runs();
    return static_cast<int>(std::count_if(all.begin(), all.end(), [&](const auto &run) {
        return run.second.instance_ == instance;
    }));
}

auto Fleet::startHost(FleetHost &host) -> void
{
    const auto command =
        std::vector<std::string> { "/usr/bin/env", "LYCHEECLEAT_NODE_FILE=" + host.settingsFile_, integration::programPath("lycheecleatd"), "--platform" };
    host.process_ = std::make_unique<integration::Process>(host.name_, command, folder_);
}

auto Fleet::configure(const std::vector<std::string> &withdrawnKeys) -> void
{
    const auto keysOf = [&](const std::string &key) {
        const auto isWithdrawn = std::find(withdrawnKeys.begin(), withdrawnKeys.end(), key) != withdrawnKeys.end();
        return isWithdrawn ? Json::array() : Json::array({ key });
    };
    ++version_;
    const auto json = Json {
        { "version", version_ },
        { "routes",
          Json::array({ routeJson("read", "/read/", "safe", settings_.routeTimeout_), routeJson("book", "/book/", "unsafe", settings_.routeTimeout_) }) },
        { "services",
          Json::array({ Json { { "name", "s" }, { "health_path", "/health" }, { "max_conns", 300 }, { "cold_start", "0ms" }, { "cold_per_s", 9 } } }) },
        { "limits", Json { { "idle_timeout", "15s" } } },
        { "tenants",
          Json::array(
              { Json { { "name", "free" }, { "api_keys", keysOf("key-free") } },
                Json { { "name", "limited" }, { "api_keys", keysOf("key-limited") }, { "rate_per_s", settings_.rate_ }, { "burst", settings_.burst_ } } }) },
    };
    store_.put("op/config", json.dump());
}

auto Fleet::setLimit(double rate, int burst) -> void
{
    settings_.rate_ = rate;
    settings_.burst_ = burst;
    configure();
}

auto Fleet::call(const FleetHost &host,
                 const std::string &path,
                 const std::string &key,
                 std::chrono::milliseconds timeout,
                 std::optional<std::chrono::milliseconds> statedTime) -> FleetCall
{
    auto request = integration::CallerRequest {};
    auto call = FleetCall { nextRequestId(), {}, std::chrono::steady_clock::now() };
    request.path_ = path;
    request.timeout_ = timeout;
    request.headers_ = { { "X-Request-Id", call.id_ },
                         { "X-Affinity-Key", call.id_ },
                         { "X-Deadline-Ms", std::to_string(statedTime.value_or(timeout).count()) },
                         { "X-Credential", key } };
    call.response_ = caller_.send(host.callerAddress_, request);
    call.host_ = host.name_;
    call.receivedAt_ = std::chrono::steady_clock::now();
    return call;
}

auto Fleet::waitFor(const std::function<bool()> &condition, std::chrono::milliseconds limit) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

auto Fleet::waitUntilServing(std::chrono::milliseconds limit) -> void
{
    for (auto &host : hosts_) {
        const auto isServing = [&] {
            return !host.process_->isRunning() || call(host, "/read/ready").response_.status_ == okStatus;
        };
        if (!waitFor(isServing, limit)) {
            throw std::runtime_error(host.name_ + " does not serve: " + host.process_->output());
        }
    }
}

auto findContractViolations(const std::vector<FleetCall> &calls, const std::multimap<std::string, RequestRun> &runs) -> std::string
{
    auto violations = std::string {};
    for (const auto &call : calls) {
        const auto &response = call.response_;
        const auto isNotRun = std::find(notRunStatuses.begin(), notRunStatuses.end(), response.status_) != notRunStatuses.end();
        const auto count = runs.count(call.id_);
        if (isNotRun && count > 0) {
            violations += fmt::format("{} got status {} (not run) but ran {} times\n", call.id_, response.status_, count);
        }
        if (response.isComplete_ && response.status_ < firstErrorStatus && response.body_ != "answer to " + call.id_) {
            violations += fmt::format("{} got status {} with the unexpected body '{}'\n", call.id_, response.status_, response.body_);
        }
    }
    for (const auto &[id, run] : runs) {
        if (run.hasCredential_) {
            violations += fmt::format("{} reached {} with the caller's API key\n", id, run.instance_);
        }
    }
    return violations;
}

auto maximumRunsInWindow(const std::multimap<std::string, RequestRun> &runs, const std::string &organisation, std::chrono::milliseconds window) -> int
{
    auto times = std::vector<std::chrono::steady_clock::time_point> {};
    for (const auto &[id, run] : runs) {
        if (run.tenant_ == organisation) {
            times.push_back(run.startedAt_);
        }
    }
    std::sort(times.begin(), times.end());
    auto maximum = 0;
    for (auto first = std::size_t { 0 }, last = std::size_t { 0 }; last < times.size(); ++last) {
        while (times[last] - times[first] >= window) {
            ++first;
        }
        maximum = std::max(maximum, static_cast<int>(last - first + 1));
    }
    return maximum;
}

auto findDuplicateRuns(const std::vector<FleetCall> &calls, const std::multimap<std::string, RequestRun> &runs) -> std::string
{
    auto duplicates = std::string {};
    for (const auto &call : calls) {
        const auto count = runs.count(call.id_);
        if (count > 1) {
            duplicates += fmt::format("{} ran {} times\n", call.id_, count);
        }
    }
    return duplicates;
}

}
