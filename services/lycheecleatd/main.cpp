/** Main program of the daemon that runs on each entry host. */
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

/** Size in bytes from which allocations are mapped, so that freeing them returns the memory to the system instead of to the thread's arena. */
constexpr auto mmapThreshold = 64 * 1024;

/** Arenas of the allocator. Each keeps what was freed in it from the others, and the hosts have one core or less. */
constexpr auto maximumArenas = 2;

/** Interval at which the settings file is checked for changes, in case no signal is sent. */
constexpr auto settingsPollSeconds = 5;

/** Interval at which the main thread checks whether the daemon has failed to start. */
constexpr auto failurePollNanoseconds = 100'000'000;

/** Blocks the stop and reload signals in this thread and all threads that it starts, so that only sigtimedwait receives them. */
auto blockSignals() -> sigset_t
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

/** Waits for a stop signal; false when the daemon failed to start. Further signals during the stop remain blocked. */
auto waitForStop(const Daemon &daemon, const sigset_t &signals) -> bool
{
    while (!daemon.hasFailed()) {
        const auto timeout = timespec { 0, failurePollNanoseconds };
        const auto signal = sigtimedwait(&signals, nullptr, &timeout);
        if (signal == SIGHUP) {
            logLine(wallNow(), LogLevel::Warning, "settings_kept", { { "reason", "these settings take effect only after a restart" } });
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

/** Applies changed settings, or keeps the current ones and logs the reason. */
auto reload(FleetDaemon &daemon, platform::NodeSettings &current) -> void
{
    const auto reloaded = attempt([&]() -> Result<platform::NodeSettings> {
        BOOST_LEAF_AUTO(next, platform::readNodeSettings());
        if (next == current) {
            return next;
        }
        if (next.storeAddress_ != current.storeAddress_) {
            return makeError("reload settings", next.storeAddress_, "a change of the store's address takes effect only after a restart");
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

/** Serves until a stop signal arrives. Reloads the settings on SIGHUP and when the file has changed. */
auto serveUntilStopped(FleetDaemon &daemon, platform::NodeSettings settings, const sigset_t &signals) -> void
{
    auto lastModificationTime = platform::settingsModifiedAt();
    while (true) {
        const auto timeout = timespec { settingsPollSeconds, 0 };
        const auto signal = sigtimedwait(&signals, nullptr, &timeout);
        if (signal == SIGTERM || signal == SIGINT) {
            return;
        }
        const auto modificationTime = platform::settingsModifiedAt();
        if (signal == SIGHUP || modificationTime != lastModificationTime) {
            lastModificationTime = modificationTime;
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
    const auto signals = blockSignals();
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
    // Skips the join of threads that wait for the store or for callers, which would only delay the exit.
    std::_Exit(0);
}

auto run(const DaemonSettings &settings) -> int
{
    const auto signals = blockSignals();
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
    // Debian's build of Abseil checks for lock cycles on each lock, which slows down every request.
    absl::SetMutexDeadlockDetectionMode(absl::OnDeadlockCycle::kIgnore);
    mallopt(M_MMAP_THRESHOLD, mmapThreshold);
    mallopt(M_ARENA_MAX, maximumArenas);
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
