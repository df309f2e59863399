#include "support/process.h"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <mutex>
#include <set>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

extern char **environ;

namespace integration
{

namespace
{

using Clock = std::chrono::steady_clock;

constexpr auto pollInterval = std::chrono::milliseconds { 10 };
/** Shorter than the test timeout set in CMakeLists.txt (180 s), so that the children are killed before the test program is. */
constexpr auto programTimeLimit = std::chrono::seconds { 165 };
constexpr auto timeLimitExitCode = 124;
constexpr auto signalExitBase = 128;

/** The running child processes, which are killed at the time limit. */
struct Children
{
    std::mutex mutex_;
    std::set<pid_t> pids_;
};

auto children() -> Children &
{
    // Never destroyed, because the thread of the time limit may still use it while the program exits.
    static auto *const instance = new Children();
    return *instance;
}

auto startTimeLimit() -> void
{
    static auto once = std::once_flag {};
    std::call_once(once, [] {
        std::thread([] {
            std::this_thread::sleep_for(programTimeLimit);
            std::fprintf(stderr, "the test program exceeded its time limit; its children are killed\n");
            const auto lock = std::lock_guard(children().mutex_);
            for (const auto pid : children().pids_) {
                ::kill(pid, SIGKILL);
            }
            _exit(timeLimitExitCode);
        }).detach();
    });
}

auto sizeOf(const std::string &file) -> std::size_t
{
    auto error = std::error_code {};
    const auto size = std::filesystem::file_size(file, error);
    return error ? 0 : static_cast<std::size_t>(size);
}

auto spawn(const std::vector<std::string> &command, const std::string &outputFile, const std::string &errorFile) -> pid_t
{
    auto actions = posix_spawn_file_actions_t {};
    posix_spawn_file_actions_init(&actions);
    constexpr auto flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), flags, 0644);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile.c_str(), flags, 0644);
    auto arguments = std::vector<char *> {};
    for (const auto &word : command) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    auto pid = pid_t { -1 };
    const auto failure = posix_spawn(&pid, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0) {
        throw std::runtime_error("can't start " + command.front());
    }
    return pid;
}

}

auto programPath(const std::string &program) -> std::string
{
    return std::string(PROGRAM_FOLDER) + "/" + program;
}

auto readText(const std::string &file) -> std::string
{
    auto stream = std::ifstream(file, std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(stream), {});
}

auto writeText(const std::string &file, const std::string &text) -> void
{
    std::filesystem::create_directories(std::filesystem::path(file).parent_path());
    auto stream = std::ofstream(file, std::ios::binary);
    stream << text;
    if (!stream) {
        throw std::runtime_error("can't write " + file);
    }
}

Process::Process(std::string name, const std::vector<std::string> &command, const std::string &folder)
    : name_(std::move(name))
    , outputFile_(folder + "/" + name_ + ".out")
    , errorFile_(folder + "/" + name_ + ".err")
    , outputStart_(sizeOf(outputFile_))
    , errorStart_(sizeOf(errorFile_))
{
    startTimeLimit();
    const auto lock = std::lock_guard(children().mutex_);
    pid_ = spawn(command, outputFile_, errorFile_);
    children().pids_.insert(pid_);
}

Process::~Process()
{
    kill();
}

auto Process::name() const -> const std::string &
{
    return name_;
}

auto Process::pid() const -> pid_t
{
    return pid_;
}

auto Process::isRunning() -> bool
{
    reap(false);
    return !exitCode_.has_value();
}

auto Process::kill() -> void
{
    signal(SIGKILL);
    reap(true);
}

auto Process::suspend() -> void
{
    signal(SIGSTOP);
    // Threads run on until the stop has reached them all, which is when the parent is told.
    auto information = siginfo_t {};
    waitid(P_PID, static_cast<id_t>(pid_), &information, WSTOPPED | WEXITED | WNOWAIT);
}

auto Process::resume() -> void
{
    signal(SIGCONT);
}

auto Process::terminate() -> void
{
    signal(SIGTERM);
}

auto Process::waitForExit(std::chrono::milliseconds limit) -> std::optional<int>
{
    const auto deadline = Clock::now() + limit;
    while (isRunning() && Clock::now() < deadline) {
        std::this_thread::sleep_for(pollInterval);
    }
    return exitCode_;
}

auto Process::output() const -> std::string
{
    const auto text = readText(outputFile_);
    return text.substr(std::min(outputStart_, text.size()));
}

auto Process::errorOutput() const -> std::string
{
    const auto text = readText(errorFile_);
    return text.substr(std::min(errorStart_, text.size()));
}

auto Process::waitForText(const std::string &text, std::chrono::milliseconds limit) -> bool
{
    const auto deadline = Clock::now() + limit;
    while (true) {
        const auto isRunningNow = isRunning();
        if (output().find(text) != std::string::npos || errorOutput().find(text) != std::string::npos) {
            return true;
        }
        if (!isRunningNow || Clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

auto Process::signal(int number) -> void
{
    // The id of a reaped process may already belong to another process.
    if (isRunning()) {
        ::kill(pid_, number);
    }
}

auto Process::reap(bool isBlocking) -> void
{
    if (exitCode_) {
        return;
    }
    const auto lock = std::lock_guard(children().mutex_);
    auto status = 0;
    auto reaped = pid_t { -1 };
    do {
        reaped = waitpid(pid_, &status, isBlocking ? 0 : WNOHANG);
    } while (reaped < 0 && errno == EINTR);
    if (reaped == pid_) {
        exitCode_ = WIFEXITED(status) ? WEXITSTATUS(status) : signalExitBase + WTERMSIG(status);
        children().pids_.erase(pid_);
    }
}

auto runProgram(const std::string &name, const std::vector<std::string> &command, const std::string &folder, std::chrono::milliseconds limit) -> ProgramResult
{
    auto process = Process(name, command, folder);
    const auto exitCode = process.waitForExit(limit);
    return ProgramResult { exitCode.value_or(-1), process.output(), process.errorOutput() };
}

}
