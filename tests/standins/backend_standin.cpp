/** Program of the stand-in for a backend server. */
#include "support/backendserver.h"
#include "support/program.h"

#include <cstdio>

namespace
{

constexpr auto usage = R"(Stand-in for a backend server.

Usage:
  backend_standin --listen ADDRESS --name NAME [--slots N] [--service-ms N] [--slow-start-factor F] [--slow-start-ms N]
                  [--connections N] [--record N] [--executions FILE]

Options:
  --listen ADDRESS        IP address and port.
  --name NAME             Name in answers.
  --slots N               Requests executed at once; those beyond are answered with status 503. [default: 4]
  --service-ms N          Service time of a request. [default: 5]
  --slow-start-factor F   Factor on the service time at a cold start. [default: 1]
  --slow-start-ms N       Time over which the factor falls to 1. [default: 0]
  --connections N         Connections held at once; those beyond are closed. [default: 700]
  --record N              Newest requests kept in the record. [default: 100000]
  --executions FILE       File to which the test identifier of each execution is appended.
)";

auto settingsOf(const standin::Options &options) -> standin::BackendSettings
{
    auto settings = standin::BackendSettings {};
    settings.name_ = options.at("--name").asString();
    settings.slots_ = static_cast<int>(standin::numberOption(options, "--slots"));
    settings.serviceTime_ = std::chrono::milliseconds(static_cast<int>(standin::numberOption(options, "--service-ms")));
    settings.slowStartFactor_ = standin::numberOption(options, "--slow-start-factor");
    settings.slowStartDuration_ = std::chrono::milliseconds(static_cast<int>(standin::numberOption(options, "--slow-start-ms")));
    settings.maximumConnections_ = static_cast<int>(standin::numberOption(options, "--connections"));
    settings.recordLimit_ = static_cast<std::size_t>(standin::numberOption(options, "--record"));
    settings.executionsFile_ = options.at("--executions") ? options.at("--executions").asString() : "";
    return settings;
}

}

auto main(int argumentCount, char **arguments) -> int
{
    const auto options = standin::parseOptions(usage, argumentCount, arguments);
    standin::blockTerminationSignals();
    auto backend = standin::BackendServer(settingsOf(options));
    const auto &address = options.at("--listen").asString();
    if (!backend.start(address)) {
        std::fprintf(stderr, "backend_standin: can't listen on %s\n", address.c_str());
        return 1;
    }
    standin::waitForTermination();
    return 0;
}
