/** The output of a command and its exit code. */
#pragma once

#include "core/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lycheecleat
{

/** Exit codes of the tool. Scripts rely on them. */
enum class ExitCode {
    Success = 0,
    /** The rules or the request are invalid; nothing was written. */
    InvalidInput = 1,
    /** The command line does not match the usage text. */
    Usage = 2,
    /** A call to the store or a host failed or timed out; a change may have taken effect if the message says so. */
    Unreachable = 3,
    /** The edit conflicts with a concurrent one; nothing was written. */
    Conflict = 4,
};

/** Step of the errors that reject what the operator asked for. */
inline constexpr auto requestStep = "check request";

/** The result of a command. */
struct Report
{
    ExitCode code_ = ExitCode::Success;
    /** Output for people. */
    std::string text_;
    /** Output with --json. */
    nlohmann::json json_ = nlohmann::json::object();
};

/** The report of an error. Its exit code depends on the step that failed. */
[[nodiscard]] auto makeErrorReport(const Error &error) -> Report;

/** Writes JSON and successful reports to standard output, and the text of failures to standard error. */
auto printReport(const Report &report, bool asJson) -> void;

/** Writes a progress line to standard error. */
auto printProgress(const std::string &line) -> void;

}
