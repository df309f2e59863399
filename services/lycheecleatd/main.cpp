/** The daemon of one entry host. */
#include "adapter.h"
#include "core/clock.h"
#include "core/log.h"
#include "process/daemon.h"
#include "process/settings.h"

#include <absl/synchronization/mutex.h>
#include <docopt/docopt.h>
#include <fmt/format.h>
#include <malloc.h>

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
  --settings FILE  YAML settings of this host, see docs/OPERATIONS.md.
  --platform       Run on the users' platform, with the settings that it provides, see docs/platform.md.
)";

constexpr auto exitFailure = 1;
constexpr auto exitInvalidSettings = 2;

/** Larger buffers are mapped, so that they go back to the system when they are freed instead of staying with the thread that had them. */
constexpr auto mmapThreshold = 256 * 1024;

/** Time between two looks whether the settings file has changed without a signal. */
constexpr auto settingsPollSeconds = 5;

/** Time between two looks whether the daemon could not start. */
constexpr auto failurePollNanoseconds = 100'000'000;

/** Blocks the stop signals in this thread and all threads that it starts, so that only waitForStop receives them. */
auto blockStopSignals() -> sigset_t
{
    auto signals = sigset_t {};
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

/** Waits for a stop signal; false when the daemon could not start to serve. A further signal during the stop stays blocked. */
auto waitForStop(const Daemon &daemon, const sigset_t &signals) -> bool
{
    while (!daemon.hasFailed()) {
        const auto timeout = timespec { 0, failurePollNanoseconds };
        const auto signal = sigtimedwait(&signals, nullptr, &timeout);
        if (signal == SIGHUP) {
            logLine(wallNow(), LogLevel::Warning, "settings_kept", { { "reason", "these settings change by a restart only" } });
        } else if (signal > 0) {
            return true;
        }
    }
    return false;
}

auto reportFailure(const Error &error) -> void
{
    logLine(wallNow(), LogLevel::Error, "start_failed", { { "error", describe(error) } });
}

/** Takes over changed settings, or keeps the old ones and logs why. */
auto reload(FleetDaemon &daemon, platform::NodeSettings &current) -> void
{
    const auto reloaded = attempt([&]() -> Result<platform::NodeSettings> {
        BOOST_LEAF_AUTO(next, platform::readNodeSettings());
        if (next == current) {
            return next;
        }
        if (next.storeAddress_ != current.storeAddress_) {
            return makeError("reload settings", next.storeAddress_, "the store's address changes by a restart only");
        }
        BOOST_LEAF_CHECK(daemon.reload(next.daemon_));
        return next;
    });
    if (const auto *error = std::get_if<Error>(&reloaded)) {
        logLine(wallNow(), LogLevel::Error, "settings_kept", { { "reason", describe(*error) } });
        return;
    }
    const auto &next = std::get<platform::NodeSettings>(reloaded);
    logLine(wallNow(), LogLevel::Info, "settings_reloaded", { { "changed", next == current ? "false" : "true" } });
    current = next;
}

/** Serves until a stop signal comes. The settings are read again on SIGHUP, and when the file has changed. */
auto serveUntilStopped(FleetDaemon &daemon, platform::NodeSettings settings, const sigset_t &signals) -> void
{
    auto changedAt = platform::settingsModifiedAt();
    while (true) {
        const auto timeout = timespec { settingsPollSeconds, 0 };
        const auto signal = sigtimedwait(&signals, nullptr, &timeout);
        if (signal == SIGTERM || signal == SIGINT) {
            return;
        }
        const auto fileChangedAt = platform::settingsModifiedAt();
        if (signal == SIGHUP || fileChangedAt != changedAt) {
            changedAt = fileChangedAt;
            reload(daemon, settings);
        }
    }
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
        return exitInvalidSettings;
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
    serveUntilStopped(daemon, node, signals);
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
    // Debian's build of the library looks for lock cycles at each lock, which takes a share of every request.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    mallopt(M_MMAP_THRESHOLD, mmapThreshold);
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
        return exitInvalidSettings;
    }
    const auto &daemonSettings = std::get<DaemonSettings>(settings);
    configureLog(daemonSettings.settings_.log_);
    return run(daemonSettings);
}
