/** Child processes of the integration tests. */
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace integration
{

/** Path of a program of this build. */
[[nodiscard]] auto programPath(const std::string &program) -> std::string;

/** The text of a file; empty when it can't be read. */
[[nodiscard]] auto readText(const std::string &file) -> std::string;

/** Writes a file and creates its folders. */
auto writeText(const std::string &file, const std::string &text) -> void;

/**
 * A child process whose output goes to files. The destructor kills it if it still runs. When the test program exceeds its time limit, all children
 * are killed and the program ends, so that no child outlives it.
 */
class Process
{
public:
    /** Starts a program. Output goes to FOLDER/NAME.out and FOLDER/NAME.err, after what an earlier process of that name wrote. */
    Process(std::string name, const std::vector<std::string> &command, const std::string &folder);
    ~Process();
    Process(const Process &) = delete;
    auto operator=(const Process &) -> Process & = delete;

    [[nodiscard]] auto name() const -> const std::string &;
    [[nodiscard]] auto pid() const -> pid_t;
    [[nodiscard]] auto isRunning() -> bool;

    /** Ends the process at once, as a crash of its host does. */
    auto kill() -> void;

    /** Pauses the process. */
    auto suspend() -> void;
    auto resume() -> void;

    /** Asks the process to stop in good order. */
    auto terminate() -> void;

    /** Waits for the end; gives the exit code, or 128 plus the signal number. None when the process still runs after the time. */
    [[nodiscard]] auto waitForExit(std::chrono::milliseconds limit) -> std::optional<int>;

    /** What this run wrote. */
    [[nodiscard]] auto output() const -> std::string;
    [[nodiscard]] auto errorOutput() const -> std::string;

    /** Waits until this run has written a text to standard output or standard error; false after the time or when the process has ended. */
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

/** What a finished program wrote and its exit code. */
struct ProgramResult
{
    int exitCode_ = -1;
    std::string output_;
    std::string errorOutput_;
};

/** Runs a program to its end; one that exceeds the time is killed and has exit code -1. */
[[nodiscard]] auto runProgram(const std::string &name, const std::vector<std::string> &command, const std::string &folder, std::chrono::milliseconds limit)
    -> ProgramResult;

}
