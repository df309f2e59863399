/** One fault found in a rule file. */
#pragma once

#include <string>

namespace lycheecleat
{

/** Where a rule file is wrong and what is allowed there. */
struct RuleProblem
{
    std::string file_;
    /** First line is 1; 0 when the problem has no line. */
    int line_ = 0;
    /** Field name; empty when the problem concerns the whole file. */
    std::string field_;
    /** What is wrong and what is allowed. */
    std::string message_;

    auto operator==(const RuleProblem &other) const -> bool = default;
};

/** Formats a problem as "file:line: field: message". */
[[nodiscard]] inline auto describe(const RuleProblem &problem) -> std::string
{
    const auto field = problem.field_.empty() ? std::string {} : problem.field_ + ": ";
    return problem.file_ + ":" + std::to_string(problem.line_) + ": " + field + problem.message_;
}

}
