/** The daemon of one entry host. */
#include "adapter.h"
#include "core/clock.h"
#include "core/log.h"
#include "process/daemon.h"
#include "process/settings.h"

#include <docopt/docopt.h>
#include <fmt/format.h>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>

namespace
{

using namespace lycheecleat;

constexpr auto usage = R"(Steers callers' requests to backend servers on one entry host.

Usage:
  lycheecleatd --settings FILE
  lycheecleatd --platform
  lycheecleatd --help

Options:
  --settings FILE  YAML settings of this host, see docs/operations.md.
  --platform       Run on the users' platform, with the settings that it provides, see docs/platform.md.
)";

constexpr auto exitFailure = 1;
constexpr auto exitWrongSettings = 2;

/** Time between two looks whether the daemon could not start. */
constexpr auto failurePollNanoseconds = 100'000'000;

/** Blocks the stop signals in this thread and all threads that it starts, so that only waitForStop receives them. */
auto blockStopSignals() -> sigset_t
{
    auto signals = sigset_t {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** Waits for a stop signal; false when the daemon could not start to serve. A further signal during the stop stays blocked. */
auto waitForStop(const Daemon &daemon, const sigset_t &signals) -> bool
{
    while (!daemon.hasFailed()) {
        const auto timeout = timespec { 0, failurePollNanoseconds };
        if (sigtimedwait(&signals, nullptr, &timeout) > 0) {
            return true;
        }
    }
    return false;
}

auto reportFailure(const Error &error) -> void
{
    logLine(wallNow(), LogLevel::Error, "start_failed", { { "error", describe(error) } });
}

auto runOnPlatform() -> int
{
    auto log = LogSettings {};
    log.format_ = LogFormat::Json;
    log.stream_ = LogStream::Output;
    configureLog(log);
    const auto signals = blockStopSignals();
    const auto settings = attempt([] {
        return platform::readNodeSettings();
    });
    if (const auto *error = std::get_if<Error>(&settings)) {
        reportFailure(*error);
        return exitWrongSettings;
    }
    const auto &node = std::get<platform::NodeSettings>(settings);
    auto daemon = FleetDaemon(node.daemon_, platform::makeAdapter(node));
    const auto started = attempt([&] {
        return daemon.start();
    });
    if (const auto *error = std::get_if<Error>(&started)) {
        reportFailure(*error);
        std::_Exit(exitFailure);
    }
    auto signal = 0;
    sigwait(&signals, &signal);
    daemon.stop();
    // Threads that wait for the store or for callers would only delay the end.
    std::_Exit(0);
}

auto run(const DaemonSettings &settings) -> int
{
    const auto signals = blockStopSignals();
    auto daemon = Daemon(settings);
    const auto started = attempt([&] {
        return daemon.start();
    });
    if (const auto *error = std::get_if<Error>(&started)) {
        logLine(wallNow(), LogLevel::Error, "start_failed", { { "error", describe(*error) } });
        return exitFailure;
    }
    const auto stopped = waitForStop(daemon, signals);
    daemon.stop();
    return stopped ? 0 : exitFailure;
}

}

auto main(int argc, char **argv) -> int
{
    const auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    if (arguments.at("--platform").asBool()) {
        return runOnPlatform();
    }
    const auto file = arguments.at("--settings").asString();
    const auto settings = attempt([&]() -> Result<DaemonSettings> {
        BOOST_LEAF_AUTO(read, readSettings(file));
        return readDaemonSettings(read);
    });
    if (const auto *error = std::get_if<Error>(&settings)) {
        fmt::print(stderr, "{}\n", describe(*error));
        return exitWrongSettings;
    }
    const auto &daemonSettings = std::get<DaemonSettings>(settings);
    configureLog(daemonSettings.settings_.log_);
    return run(daemonSettings);
}
