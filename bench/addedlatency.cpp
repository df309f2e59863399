/** Measures the latency that one entry host adds: sends the same requests directly to a backend server, then through CallerServer and RequestHandler. */
#include "connection/scriptedserver.h"
#include "core/clock.h"
#include "core/digest.h"
#include "core/log.h"
#include "process/callerserver.h"
#include "process/requesthandler.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <string>
#include <thread>
#include <vector>

using namespace lycheecleat;

namespace
{

constexpr auto usage = R"(Measures the latency that one entry host adds on loopback.

Usage: addedlatency [--requests=N] [--connections=N] [--pause=MICROSECONDS]

Options:
  --requests=N            Requests per connection and path [default: 2000].
  --connections=N         Connections at once [default: 4].
  --pause=MICROSECONDS    Pause of each connection between requests [default: 500].
)";

constexpr auto secret = "fleet-secret";
constexpr auto key = "caller-key-1";

struct Load
{
    int requests_ = 0;
    int connections_ = 0;
    absl::Duration pause_;
};

struct Latencies
{
    double p50_ = 0;
    double p99_ = 0;
};

auto makeConfiguration(const ScriptedServer &backend) -> Configuration
{
    auto configuration = Configuration {};
    configuration.revision_ = 1;
    configuration.regions_ = { { "region", { "zone" } } };
    configuration.entryHosts_ = { { "host", "zone", "127.0.0.1:1", "127.0.0.1:1" } };
    configuration.organisations_ = { { "org", 1e6, 1e6, 1 } };
    configuration.keys_ = { { "k1", "org", hmacHex(secret, key), true } };
    configuration.pools_ = { { "pool", 64, { { "b0", "zone", backend.address() } }, absl::ZeroDuration() } };
    configuration.routes_ = { { "route", "route.yaml", "*", "/", "pool", Access::Keyed, true } };
    return configuration;
}

auto measureConnectionLatencies(const std::string &address, const Load &load) -> std::vector<double>
{
    const auto request = std::string("GET /a HTTP/1.1\r\nHost: h\r\nX-Api-Key: ") + key + "\r\n\r\n";
    auto connected = attempt([&] {
        return TcpConnection::connect(address, monotonicNow() + absl::Seconds(5));
    });
    auto microseconds = std::vector<double> {};
    if (!std::holds_alternative<TcpConnection>(connected)) {
        return microseconds;
    }
    auto &connection = std::get<TcpConnection>(connected);
    for (auto number = 0; number < load.requests_; ++number) {
        const auto sentAt = monotonicNow();
        const auto deadline = sentAt + absl::Seconds(5);
        auto response = IncomingResponse {};
        const auto isComplete = connection.write(request, deadline) == TransferStatus::Done
            && readResponse(connection, "GET", { 65536, 65536 }, deadline, response) == MessageStatus::Complete;
        if (!isComplete || response.httpResponse_.status_ != 200) {
            fmt::print(stderr, "request failed: status {}\n", response.httpResponse_.status_);
            std::exit(EXIT_FAILURE);
        }
        microseconds.push_back(absl::ToDoubleMicroseconds(monotonicNow() - sentAt));
        absl::SleepFor(load.pause_);
    }
    return microseconds;
}

auto measure(const std::string &address, const Load &load) -> Latencies
{
    auto results = std::vector<std::vector<double>>(static_cast<std::size_t>(load.connections_));
    auto threads = std::vector<std::thread> {};
    for (auto &result : results) {
        threads.emplace_back([&] {
            result = measureConnectionLatencies(address, load);
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    auto all = std::vector<double> {};
    for (const auto &result : results) {
        all.insert(all.end(), result.begin(), result.end());
    }
    if (all.empty()) {
        return {};
    }
    std::sort(all.begin(), all.end());
    return { all[all.size() / 2], all[all.size() * 99 / 100] };
}

auto print(const std::string &path, const Latencies &latencies) -> void
{
    fmt::print("{:<8} p50 {:8.1f} us  p99 {:8.1f} us\n", path, latencies.p50_, latencies.p99_);
}

}

auto main(int argc, char **argv) -> int
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    const auto load = Load {
        static_cast<int>(arguments.at("--requests").asLong()),
        static_cast<int>(arguments.at("--connections").asLong()),
        absl::Microseconds(arguments.at("--pause").asLong()),
    };
    configureLog({ LogLevel::Warning });
    const auto backend = ScriptedServer("127.0.0.1", [](const ScriptedRequest &) {
        return ScriptedReply { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok" };
    });
    auto current = CurrentConfiguration();
    auto freshness = FreshnessTracker();
    auto peers = PeerClients();
    auto clockOffset = absl::Duration(absl::Hours(1));
    const auto loanClient = LoanClient {
        [&clockOffset] {
            return monotonicNow() - clockOffset;
        },
        [](const auto &...) {
            return std::nullopt;
        },
        [](const auto &...) {
            return std::nullopt;
        },
    };
    auto limitEnforcer = LimitEnforcer("host", loanClient);
    const auto configuration = std::make_shared<const Configuration>(makeConfiguration(backend));
    current.advance(configuration);
    limitEnforcer.configure(monotonicNow() - clockOffset, configuration);
    // The limit shares of a new host become effective only after a wait. The enforcer was configured one hour in the past, so the wait is already over.
    clockOffset = absl::ZeroDuration();
    auto isStopped = std::atomic<bool>(false);
    auto freshnessRefresher = std::thread([&] {
        while (!isStopped) {
            freshness.recordStoreResponse(monotonicNow());
            absl::SleepFor(absl::Milliseconds(100));
        }
    });
    freshness.recordStoreResponse(monotonicNow());
    auto handler = RequestHandler({ "host", "run", "zone", secret, &current, &freshness, &limitEnforcer, &peers, nullptr });
    auto settings = CallerServerSettings {};
    settings.address_ = "127.0.0.1:0";
    auto server = CallerServer(settings,
                               { [&](const auto &request, auto &response, absl::Time receivedAt) {
                                    handler.handle(request, response, receivedAt);
                                },
                                 [](const auto &, auto &) {},
                                 [&](const auto &request) {
                                     return handler.bodyLimit(request);
                                 } });
    if (!server.start()) {
        fmt::print(stderr, "caller server failed to start\n");
        return EXIT_FAILURE;
    }
    const auto address = "127.0.0.1:" + std::to_string(server.port());
    // The first round warms up connections and caches.
    static_cast<void>(measure(address, { 200, load.connections_, load.pause_ }));
    const auto direct = measure(backend.address(), load);
    const auto through = measure(address, load);
    print("direct", direct);
    print("through", through);
    print("added", { through.p50_ - direct.p50_, through.p99_ - direct.p99_ });
    isStopped = true;
    freshnessRefresher.join();
    server.stop();
    return EXIT_SUCCESS;
}
