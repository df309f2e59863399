/** What a command tells the operator, and its exit code. */
#pragma once

#include "core/error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lycheecleat
{

/** Exit codes of the tool. Scripts rely on them. */
enum class ExitCode {
    Success = 0,
    /** The rules or the request are wrong; nothing was written. */
    InvalidInput = 1,
    /** The command line is wrong. */
    Usage = 2,
    /** The store or a host gave no answer; a change may have taken effect if the message says so. */
    Unreachable = 3,
    /** Another operator's edit is in the way; nothing was written. */
    Conflict = 4,
};

/** Step of errors that come from a request that can't be carried out. */
inline constexpr auto requestStep = "check request";

/** The result of a command. */
struct Report
{
    ExitCode code_ = ExitCode::Success;
    /** For an operator to read. */
    std::string text_;
    /** For --json. */
    nlohmann::json json_ = nlohmann::json::object();
};

/** The report of an error, with the exit code that follows from its step. */
[[nodiscard]] auto makeErrorReport(const Error &error) -> Report;

/** Writes a report: to standard output, or to standard error when it is a failure and not JSON. */
auto printReport(const Report &report, bool asJson) -> void;

/** Writes a progress line to standard error. */
auto printProgress(const std::string &line) -> void;

}
