/** Rule files that the command-line tool writes for operators: drains and shifts. */
#pragma once

#include "core/error.h"
#include "version/bundle.h"
#include "version/rulefile.h"

#include <string>

namespace lycheecleat
{

/** Error::step_ of the errors of removalEdit. */
inline constexpr auto editStep = "make edit";

/** A shift with its values as the operator wrote them; they are validated by checkRules. */
struct ShiftRequest
{
    std::string name_;
    std::string pool_;
    std::string from_;
    std::string to_;
    std::string share_;
    std::string rateCap_;
    std::string start_;
    std::string rampDuration_;
};

/** The rule file that drains a target such as `backend/NAME`. */
[[nodiscard]] auto drainFile(const std::string &target) -> RuleFile;

/** The rule file of a shift. */
[[nodiscard]] auto shiftFile(const ShiftRequest &request) -> RuleFile;

/** Name of the rule file of a shift. */
[[nodiscard]] auto shiftFileName(const std::string &name) -> std::string;

/** The edit that adds a file or replaces the one in the store. */
[[nodiscard]] auto replacementEdit(const RuleFiles &stored, const RuleFile &file) -> FileEdit;

/** The edit that removes a file. Errors: the store does not contain it. */
[[nodiscard]] auto removalEdit(const RuleFiles &stored, const std::string &fileName) -> Result<FileEdit>;

}
