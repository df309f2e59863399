/** Measures the whole system with real processes: latency, processor time, memory with open connections and the time until changes are effective. */
#include "connection/httpmessage.h"
#include "connection/tcpconnection.h"
#include "core/clock.h"
#include "core/error.h"
#include "support/deployment.h"
#include "support/measurement.h"

#include <absl/time/clock.h>
#include <docopt/docopt.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

using namespace integration;

namespace
{

constexpr auto usage = R"(Measures the whole system with real processes on loopback addresses. Takes about two minutes.

Usage: systembench [--changes=N] [--rounds=N]

Options:
  --changes=N  Configuration changes [default: 100].
  --rounds=N   Rounds of the direct path and the path through a daemon [default: 3].
)";

constexpr auto lookupPath = "/.well-known/lycheecleat/lookup";
constexpr auto mebibyte = 1024.0 * 1024.0;

// Slots and service time of the one backend server in the latency deployment: it serves at most 1800 requests a second, and the offered load is half of that.
constexpr auto latencySlots = 9;
constexpr auto latencyServiceMilliseconds = 5;
constexpr auto halfLoad = "900";

constexpr auto connectionsPerServer = 650;
constexpr auto memoryServers = 4;
constexpr auto heldRequests = connectionsPerServer * memoryServers;

auto requestsPerCoreSecond(const LoadReport &report) -> double
{
    return static_cast<double>(report.served()) / absl::ToDoubleSeconds(report.processorTime_);
}

auto processorMicrosecondsPerRequest(const LoadReport &report) -> double
{
    return absl::ToDoubleMicroseconds(report.processorTime_) / static_cast<double>(report.served());
}

auto printLoad(const std::string &name, const LoadReport &report) -> void
{
    fmt::print("{:<34} served {:>6} of {:>6}  {:>8.1f} us processor time each  {:>8.0f} a second and core\n",
               name,
               report.served(),
               report.client_.at("sent").get<std::int64_t>(),
               processorMicrosecondsPerRequest(report),
               requestsPerCoreSecond(report));
}

auto measureLatency(Deployment &deployment, const std::string &key, int rounds) -> void
{
    const auto &host = deployment.hosts().front();
    const auto pid = host.process_->pid();
    const auto options = std::vector<std::string> { "--path", "/dives", "--key", key, "--rate", halfLoad, "--seconds", "4" };
    for (auto round = 0; round < rounds; ++round) {
        const auto direct = runLoad(deployment, deployment.backends().front().listen_, pid, options);
        const auto through = runLoad(deployment, host.address_, pid, options);
        fmt::print("latency, {} a second                direct p50 {:>6.0f} p99 {:>6.0f} us  through p50 {:>6.0f} p99 {:>6.0f} us  added p50 {:>6.0f} p99 "
                   "{:>6.0f} us\n",
                   halfLoad,
                   absl::ToDoubleMicroseconds(direct.serviceTime("p50")),
                   absl::ToDoubleMicroseconds(direct.serviceTime("p99")),
                   absl::ToDoubleMicroseconds(through.serviceTime("p50")),
                   absl::ToDoubleMicroseconds(through.serviceTime("p99")),
                   absl::ToDoubleMicroseconds(through.serviceTime("p50") - direct.serviceTime("p50")),
                   absl::ToDoubleMicroseconds(through.serviceTime("p99") - direct.serviceTime("p99")));
        printLoad("requests, half load", through);
    }
}

auto measureProcessorTime(Deployment &deployment, const std::string &key) -> void
{
    const auto &host = deployment.hosts().front();
    const auto pid = host.process_->pid();
    printLoad("requests, 4000 a second offered",
              runLoad(deployment,
                      host.address_,
                      pid,
                      { "--path", "/dives", "--key", key, "--header", "X-Test-Service-Ms:0", "--rate", "4000", "--seconds", "4", "--threads", "4" }));
    for (const auto *rate : { "500", "2000", "8000" }) {
        printLoad(fmt::format("lookups, {} a second offered", rate),
                  runLoad(deployment, host.address_, pid, { "--path", lookupPath, "--rate", rate, "--seconds", "4", "--threads", "2" }));
    }
}

auto measureRequests(int rounds) -> void
{
    auto settings = DeploymentSettings {};
    settings.zonesPerRegion_ = 1;
    settings.slots_ = latencySlots;
    settings.serviceMilliseconds_ = latencyServiceMilliseconds;
    settings.organisations_ = { { "alpha", "100000/s", 100000 } };
    auto deployment = Deployment(settings);
    const auto key = deployment.grantKey("alpha").key_;
    deployment.waitUntilKeyAccepted(key, std::chrono::seconds(20));
    measureLatency(deployment, key, rounds);
    measureProcessorTime(deployment, key);
}

// Opens connections to an entry host and sends one request on each; the backend server responds after 8 seconds.
auto holdRequests(const std::string &address, int count) -> std::vector<lycheecleat::TcpConnection>
{
    const auto request = std::string("GET /open/held HTTP/1.1\r\nHost: service.example\r\nX-Test-Service-Ms: 8000\r\n\r\n");
    auto connections = std::vector<lycheecleat::TcpConnection> {};
    for (auto number = 0; number < count; ++number) {
        const auto deadline = lycheecleat::monotonicNow() + absl::Seconds(5);
        auto connected = lycheecleat::attempt([&] {
            return lycheecleat::TcpConnection::connect(address, deadline);
        });
        if (std::holds_alternative<lycheecleat::Error>(connected)) {
            throw std::runtime_error(lycheecleat::describe(std::get<lycheecleat::Error>(connected)));
        }
        connections.push_back(std::get<lycheecleat::TcpConnection>(std::move(connected)));
        if (connections.back().write(request, deadline) != lycheecleat::TransferStatus::Done) {
            throw std::runtime_error("writing a request failed or timed out");
        }
    }
    return connections;
}

auto measureMemory() -> void
{
    auto settings = DeploymentSettings {};
    settings.zonesPerRegion_ = 1;
    settings.backendsPerZone_ = memoryServers;
    settings.slots_ = connectionsPerServer;
    settings.threads_ = heldRequests + 100;
    settings.routeDeadline_ = "10s";
    auto deployment = Deployment(settings);
    const auto &host = deployment.hosts().front();
    const auto before = residentMemory(host.process_->pid());
    auto connections = holdRequests(host.address_, heldRequests);
    absl::SleepFor(absl::Seconds(3));
    const auto during = residentMemory(host.process_->pid());
    auto served = 0;
    for (auto &connection : connections) {
        auto response = lycheecleat::IncomingResponse {};
        const auto status = lycheecleat::readResponse(connection, "GET", { 65536, 65536 }, lycheecleat::monotonicNow() + absl::Seconds(20), response);
        served += status == lycheecleat::MessageStatus::Complete && response.httpResponse_.status_ == 200 ? 1 : 0;
    }
    fmt::print("memory of the daemon               {:.0f} MiB idle, {:.0f} MiB with {} connections to each of {} backend servers; {} of {} requests served\n",
               static_cast<double>(before) / mebibyte,
               static_cast<double>(during) / mebibyte,
               connectionsPerServer,
               memoryServers,
               served,
               heldRequests);
}

auto measureChangeTimes(int count) -> void
{
    auto settings = DeploymentSettings {};
    settings.regions_ = 3;
    settings.hostsPerZone_ = 3;
    auto deployment = Deployment(settings);
    const auto times = measureChanges(deployment, count, absl::Milliseconds(200), absl::Seconds(6));
    const auto milliseconds = [&](double fraction) {
        return absl::ToDoubleMilliseconds(times.percentile(fraction));
    };
    fmt::print("changes in force on {} daemons     {} changes  p50 {:.0f} ms  p99 {:.0f} ms  largest {:.0f} ms  missing {}\n",
               deployment.hosts().size(),
               count,
               milliseconds(0.5),
               milliseconds(0.99),
               milliseconds(1),
               times.missing_);
}

}

auto main(int argc, char **argv) -> int
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    try {
        measureRequests(static_cast<int>(arguments.at("--rounds").asLong()));
        measureMemory();
        measureChangeTimes(static_cast<int>(arguments.at("--changes").asLong()));
    } catch (const std::exception &problem) {
        fmt::print(stderr, "{}\n", problem.what());
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
