#include "process/daemon.h"

#include "core/clock.h"
#include "core/testaddress.h"
#include "version/bundle.h"

#include <absl/time/clock.h>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <atomic>
#include <functional>
#include <memory>
#include <thread>

using namespace lycheecleat;

namespace
{

constexpr auto secret = "fleet-secret";
constexpr auto callerPort = 19100;
constexpr auto peerPort = 19101;
constexpr auto adminPort = 19102;
constexpr auto storePort = 19103;
constexpr auto backendPort = 19104;

/** Longest time to wait for a condition. */
constexpr auto propagationTimeout = absl::Seconds(6);

auto hostIp(int index) -> std::string
{
    return testIp(10, index + 1);
}

auto storeIp() -> std::string
{
    return testIp(10, 100);
}

auto backendIp() -> std::string
{
    return testIp(10, 101);
}

auto hostName(int index) -> std::string
{
    return fmt::format("host-{}", index);
}

auto makeRules(int hosts) -> RuleFiles
{
    auto files = RuleFiles {
        { "00-platform.yaml", "kind: platform\nname: platform\nstore_zones: [zone-a]\n" },
        { "10-region.yaml", "kind: region\nname: north\nzones: [zone-a]\n" },
    };
    for (auto index = 0; index < hosts; ++index) {
        files.push_back({ fmt::format("20-host-{}.yaml", index),
                          fmt::format("kind: entry-host\nname: {}\nzone: zone-a\naddress: {}:{}\npeer: {}:{}\n",
                                      hostName(index),
                                      hostIp(index),
                                      callerPort,
                                      hostIp(index),
                                      peerPort) });
    }
    files.push_back({ "50-pool.yaml",
                      fmt::format("kind: pool\nname: pool\nslots: 4\nbackends:\n  - {{name: b1, zone: zone-a, address: {}:{}}}\n", backendIp(), backendPort) });
    files.push_back(
        { "60-route.yaml",
          "kind: route\nname: route\nhost: service.example\npath: /\npool: pool\naccess: open\nrepeatable: true\ndeadline: 10s\nbody_limit: 1KiB\n" });
    return files;
}

/** An HTTP server that runs until it is destroyed. */
class StubServer
{
public:
    StubServer(const std::string &ip, int port, const std::function<void(httplib::Server &)> &addRoutes)
    {
        server_.new_task_queue = [] {
            return new httplib::ThreadPool(32);
        };
        server_.set_keep_alive_timeout(1);
        server_.set_keep_alive_max_count(100000);
        addRoutes(server_);
        REQUIRE(server_.bind_to_port(ip.c_str(), port));
        thread_ = std::thread([this] {
            server_.listen_after_bind();
        });
        while (!server_.is_running()) {
            absl::SleepFor(absl::Milliseconds(1));
        }
    }

    ~StubServer()
    {
        server_.stop();
        thread_.join();
    }

    StubServer(const StubServer &) = delete;
    auto operator=(const StubServer &) -> StubServer & = delete;

private:
    httplib::Server server_;
    std::thread thread_;
};

auto sendEntry(httplib::Response &response, const std::string &value) -> void
{
    response.set_content(nlohmann::json { { "value", value }, { "version", 1 } }.dump(), "application/json");
}

/** Routes of a store that holds one fixed bundle. A watch that names the current version returns only after its whole wait. */
auto addStoreRoutes(httplib::Server &server, const Bundle &bundle) -> void
{
    server.Get("/v1/keys/head", [bundle](const httplib::Request &request, httplib::Response &response) {
        if (request.get_param_value("version") == "1") {
            absl::SleepFor(absl::Milliseconds(std::stoi(request.get_param_value("wait_ms"))));
        }
        sendEntry(response, serializeHead(bundle.head_));
    });
    server.Get(R"(/v1/keys/chunk/(.*))", [bundle](const httplib::Request &request, httplib::Response &response) {
        sendEntry(response, bundle.chunks_.at(request.matches[1].str()));
    });
    server.Get("/v1/hosts", [](const httplib::Request &, httplib::Response &response) {
        response.set_content(R"({"sequence":1,"hosts":[]})", "application/json");
    });
}

/** Routes of a backend server that responds after the number of milliseconds at the end of the path. */
auto addBackendRoutes(httplib::Server &server) -> void
{
    server.Get(R"(/wait/(\d+))", [](const httplib::Request &request, httplib::Response &response) {
        absl::SleepFor(absl::Milliseconds(std::stoi(request.matches[1].str())));
        response.set_content("done", "text/plain");
    });
}

auto settingsOf(int index) -> DaemonSettings
{
    auto settings = Settings {};
    settings.name_ = hostName(index);
    settings.zone_ = "zone-a";
    settings.listen_ = fmt::format("{}:{}", hostIp(index), callerPort);
    settings.peerListen_ = fmt::format("{}:{}", hostIp(index), peerPort);
    settings.adminListen_ = fmt::format("{}:{}", hostIp(index), adminPort);
    settings.store_ = fmt::format("{}:{}", storeIp(), storePort);
    settings.lookupLifetime_ = absl::Seconds(1);
    return DaemonSettings { settings, secret, {} };
}

auto becomesTrueWithin(absl::Duration bound, const std::function<bool()> &condition) -> bool
{
    const auto end = monotonicNow() + bound;
    while (!condition()) {
        if (monotonicNow() > end) {
            return false;
        }
        absl::SleepFor(absl::Milliseconds(10));
    }
    return true;
}

auto makeClient(int index, int port) -> httplib::Client
{
    auto client = httplib::Client(hostIp(index), port);
    client.set_connection_timeout(1);
    client.set_read_timeout(15);
    return client;
}

auto get(int index, const std::string &path) -> httplib::Result
{
    return makeClient(index, callerPort).Get(path, httplib::Headers { { "Host", "service.example" } });
}

/** Names of the hosts in a lookup response, sorted; empty if the lookup fails. */
auto lookupNames(int index) -> std::vector<std::string>
{
    const auto response = get(index, "/.well-known/lycheecleat/lookup");
    auto names = std::vector<std::string> {};
    if (!response || response->status != 200) {
        return names;
    }
    const auto body = nlohmann::json::parse(response->body);
    for (const auto &host : body.at("hosts")) {
        names.push_back(host.at("name").get<std::string>());
    }
    std::sort(names.begin(), names.end());
    return names;
}

struct StartCase
{
    std::string description_;
    StartupSnapshot snapshot_;
    bool expected_;
};

}

// Guards against a restarted host that serves with an outdated revision, and against one that waits for unreachable peers indefinitely.
TEST_CASE("a starting host serves once it has a configuration and the states of its peers")
{
    const auto cases = std::vector<StartCase> {
        { "no configuration", { 0, 0, true, absl::Seconds(9) }, false },
        { "states of all peers received", { 3, 3, true, absl::ZeroDuration() }, true },
        { "a peer's state is missing before the timeout", { 3, 3, false, absl::Milliseconds(500) }, false },
        { "a peer's state is missing after the timeout", { 3, 3, false, absl::Seconds(1) }, true },
        { "a peer has a newer revision, before the timeout", { 3, 4, true, absl::Seconds(2) }, false },
        { "a peer has a newer revision, after the timeout", { 3, 4, true, absl::Seconds(5) }, true },
    };
    for (const auto &startCase : cases) {
        CAPTURE(startCase.description_);
        CHECK(canStartServing(startCase.snapshot_) == startCase.expected_);
    }
}

// Guards against a graceful stop that aborts a request, refuses callers before their lookup responses have expired, or never ends.
TEST_CASE("a stop first announces to peers that the host leaves, then finishes the requests in flight")
{
    const auto bundle = packBundle(makeRules(2), 1, {}).value();
    auto store = StubServer(storeIp(), storePort, [&](httplib::Server &server) {
        addStoreRoutes(server, bundle);
    });
    auto backend = StubServer(backendIp(), backendPort, addBackendRoutes);
    auto first = std::make_unique<Daemon>(settingsOf(0));
    auto second = std::make_unique<Daemon>(settingsOf(1));
    REQUIRE(first->start());
    REQUIRE(second->start());
    REQUIRE(becomesTrueWithin(propagationTimeout, [&] {
        return first->isReady() && second->isReady();
    }));
    const auto both = std::vector<std::string> { "host-0", "host-1" };
    CHECK(becomesTrueWithin(propagationTimeout, [&] {
        return lookupNames(0) == both && lookupNames(1) == both;
    }));
    // A host that has just started may not use its slots until loans from an earlier run of the process have expired.
    CHECK(becomesTrueWithin(absl::Seconds(30), [&] {
        const auto response = get(0, "/wait/0");
        return response && response->status == 200;
    }));
    const auto status = makeClient(1, adminPort).Get("/v1/status");
    REQUIRE(status);
    CHECK(nlohmann::json::parse(status->body).at("peers").at(0).at("name") == "host-0");
    CHECK(makeClient(1, adminPort).Get("/metrics")->body.find("lycheecleat_configuration_revision 1") != std::string::npos);

    auto inFlightStatus = std::atomic<int> { 0 };
    auto inFlight = std::thread([&] {
        const auto response = get(0, "/wait/4000");
        inFlightStatus = response ? response->status : -1;
    });
    absl::SleepFor(absl::Milliseconds(200));
    auto stopped = std::atomic<bool> { false };
    auto stopper = std::thread([&] {
        first->stop();
        stopped = true;
    });
    CHECK(becomesTrueWithin(absl::Seconds(1), [&] {
        return lookupNames(1) == std::vector<std::string> { "host-1" };
    }));
    CHECK_FALSE(stopped);
    const auto whileLeaving = get(0, "/wait/0");
    REQUIRE(whileLeaving);
    CHECK(whileLeaving->status == 200);
    inFlight.join();
    CHECK(inFlightStatus == 200);
    stopper.join();
    CHECK_FALSE(get(0, "/wait/0"));
    second->stop();
}
