/** Child processes of the integration tests. */
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace integration
{

/** Path of a program built in this build folder. */
[[nodiscard]] auto programPath(const std::string &program) -> std::string;

/** Content of a file; empty if it can't be read. */
[[nodiscard]] auto readText(const std::string &file) -> std::string;

/** Writes a file and creates its parent folders. Throws if the file can't be written. */
auto writeText(const std::string &file, const std::string &text) -> void;

/**
 * A child process whose output is written to files. The destructor kills it if it is still running. If the test program exceeds its time limit, all
 * children are killed and the program exits, so that no child outlives it.
 */
class Process
{
public:
    /** Starts a program. Its output is appended to FOLDER/NAME.out and FOLDER/NAME.err. Throws if the program can't be started. */
    Process(std::string name, const std::vector<std::string> &command, const std::string &folder);
    ~Process();
    Process(const Process &) = delete;
    auto operator=(const Process &) -> Process & = delete;

    [[nodiscard]] auto name() const -> const std::string &;
    [[nodiscard]] auto pid() const -> pid_t;
    [[nodiscard]] auto isRunning() -> bool;

    /** Sends SIGKILL, which simulates a crash, and waits for the exit. */
    auto kill() -> void;

    /** Sends SIGSTOP and waits until the process has stopped; resume() sends SIGCONT. */
    auto suspend() -> void;
    auto resume() -> void;

    /** Sends SIGTERM, which requests a graceful stop. */
    auto terminate() -> void;

    /** Waits for the exit; returns the exit code, or 128 plus the signal number. None if the process is still running after the time limit. */
    [[nodiscard]] auto waitForExit(std::chrono::milliseconds limit) -> std::optional<int>;

    /** Output of this process, without that of earlier processes with the same name. */
    [[nodiscard]] auto output() const -> std::string;
    [[nodiscard]] auto errorOutput() const -> std::string;

    /** Waits until this process has written a text to standard output or standard error; false after the time limit or if the process has exited. */
    [[nodiscard]] auto waitForText(const std::string &text, std::chrono::milliseconds limit) -> bool;

private:
    auto signal(int number) -> void;
    auto reap(bool isBlocking) -> void;

    std::string name_;
    std::string outputFile_;
    std::string errorFile_;
    std::size_t outputStart_ = 0;
    std::size_t errorStart_ = 0;
    pid_t pid_ = -1;
    std::optional<int> exitCode_;
};

/** Exit code and output of a finished program. */
struct ProgramResult
{
    int exitCode_ = -1;
    std::string output_;
    std::string errorOutput_;
};

/** Runs a program until it exits; a program that exceeds the time limit is killed and gets the exit code -1. */
[[nodiscard]] auto runProgram(const std::string &name, const std::vector<std::string> &command, const std::string &folder, std::chrono::milliseconds limit)
    -> ProgramResult;

}
