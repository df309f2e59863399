/** One problem found in a rule file. */
#pragma once

#include <string>

namespace lycheecleat
{

/** Location of a problem, with what is wrong and what is allowed. */
struct RuleProblem
{
    std::string file_;
    /** The first line is 1; 0 if the problem has no line. */
    int line_ = 0;
    /** Field name; empty if the problem concerns the whole file. */
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
